//! Cuts a deployment file into parts that are named by their content.
//!
//! Cuts follow the content: a small change of a large file changes one or two parts, wherever it
//! stands, so that a node fetches some kilobytes instead of the whole file.

use std::collections::HashMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A part ends after one table in this many, on average.
const TABLES_A_PART: u8 = 32;

/// A part ends after this many bytes at the latest, at the end of a line.
const MAX_PART_BYTES: usize = 16 << 10;

/// Begins a table that may stand many times.
const TABLE_START: &str = "[[";

/// Names a part: the first half of its BLAKE3 hash.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PartName([u8; 16]);

impl PartName {
    /// The name of some content.
    pub(crate) fn of(content: &[u8]) -> Self {
        let hash = blake3::hash(content);
        let mut name = [0; 16];
        name.copy_from_slice(&hash.as_bytes()[..16]);
        Self(name)
    }
}

/// A file in parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct PartedText {
    /// The parts' names, in order.
    pub(crate) names: Vec<PartName>,
    /// The parts.
    pub(crate) parts: HashMap<PartName, Bytes>,
}

impl PartedText {
    /// Cuts a text.
    pub(crate) fn cut(text: &str) -> Self {
        let mut parted = Self::default();
        let mut part_start = 0;
        let mut table_start = 0;
        let mut place = 0;
        for line in text.split_inclusive('\n') {
            if line.starts_with(TABLE_START) {
                if ends_part(&text[table_start..place]) {
                    parted.push(&text[part_start..place]);
                    part_start = place;
                }
                table_start = place;
            }
            place += line.len();
            if place - part_start >= MAX_PART_BYTES {
                parted.push(&text[part_start..place]);
                part_start = place;
            }
        }
        parted.push(&text[part_start..]);
        parted
    }

    /// The text; `None` if a part is missing or is not UTF-8.
    pub(crate) fn text(&self) -> Option<String> {
        let mut bytes = Vec::new();
        for name in &self.names {
            bytes.extend_from_slice(self.parts.get(name)?);
        }
        String::from_utf8(bytes).ok()
    }

    fn push(&mut self, content: &str) {
        if content.is_empty() {
            return;
        }
        let name = PartName::of(content.as_bytes());
        let bytes = || Bytes::copy_from_slice(content.as_bytes());
        self.parts.entry(name).or_insert_with(bytes);
        self.names.push(name);
    }
}

fn ends_part(table: &str) -> bool {
    let hash = blake3::hash(table.as_bytes());
    !table.is_empty() && hash.as_bytes()[0].is_multiple_of(TABLES_A_PART)
}
