//! Content-defined chunking of a deployment file into parts named by their hash.
//!
//! The boundaries depend on the content only, so that a small change anywhere in a large file
//! changes one or two parts, and a node fetches a few kilobytes instead of the whole file.

use std::collections::HashMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// Average number of tables per part.
const TABLES_PER_PART: u8 = 32;

/// Size at which a part ends at the next end of a line.
const MAX_PART_BYTES: usize = 16 << 10;

/// Start of a line that begins an element of an array of tables in TOML.
const TABLE_START: &str = "[[";

/// Name of a part: the first half of the BLAKE3 hash of its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub(crate) struct PartName([u8; 16]);

impl PartName {
    /// The name of a part with this content.
    pub(crate) fn of(content: &[u8]) -> Self {
        let hash = blake3::hash(content);
        let mut name = [0; 16];
        name.copy_from_slice(&hash.as_bytes()[..16]);
        Self(name)
    }
}

/// A text split into parts.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(crate) struct SplitText {
    /// Names of the parts, in order.
    pub(crate) names: Vec<PartName>,
    /// Content of the parts by name.
    pub(crate) parts: HashMap<PartName, Bytes>,
}

impl SplitText {
    pub(crate) fn split(text: &str) -> Self {
        let mut split = Self::default();
        let mut part_start = 0;
        let mut table_start = 0;
        let mut offset = 0;
        for line in text.split_inclusive('\n') {
            if line.starts_with(TABLE_START) {
                if ends_part(&text[table_start..offset]) {
                    split.push(&text[part_start..offset]);
                    part_start = offset;
                }
                table_start = offset;
            }
            offset += line.len();
            if offset - part_start >= MAX_PART_BYTES {
                split.push(&text[part_start..offset]);
                part_start = offset;
            }
        }
        split.push(&text[part_start..]);
        split
    }

    /// Joins the parts; `None` if a part is missing or the text is not UTF-8.
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

/// Whether a part ends after this table.
fn ends_part(table: &str) -> bool {
    let hash = blake3::hash(table.as_bytes());
    !table.is_empty() && hash.as_bytes()[0].is_multiple_of(TABLES_PER_PART)
}
