//! Entries of a shard's record and their text encoding: one entry per line, with fixed-width
//! hexadecimal fields.

use std::collections::HashMap;

use dalestand_types::RequestId;
use serde::{Deserialize, Serialize};

use crate::key::ClaimHash;

/// Hexadecimal digits of a key hash.
const HASH_DIGITS: usize = 24;

/// Hexadecimal digits of a request id.
const REQUEST_DIGITS: usize = 32;

/// Hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 8;

/// Bytes in a line, without the newline.
const LINE_LENGTH: usize = 1 + HASH_DIGITS + REQUEST_DIGITS + FINGERPRINT_DIGITS;

/// Execution state of the request that claimed a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimState {
    /// It may be dispatched or running; its end has not been recorded.
    Running,
    /// It ran to completion.
    Complete,
    /// It may or may not have run.
    Unknown,
    /// It did not run, so its key is free again.
    NotRun,
}

impl ClaimState {
    fn letter(self) -> char {
        match self {
            Self::Running => 'r',
            Self::Complete => 'c',
            Self::Unknown => 'u',
            Self::NotRun => 'n',
        }
    }

    fn from_letter(letter: &str) -> Option<Self> {
        match letter {
            "r" => Some(Self::Running),
            "c" => Some(Self::Complete),
            "u" => Some(Self::Unknown),
            "n" => Some(Self::NotRun),
            _ => None,
        }
    }
}

/// A change to the claim on one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Hash of the tenant and key.
    pub key: ClaimHash,
    /// The request that claims it.
    pub request: RequestId,
    /// Hash of the request's content.
    pub fingerprint: u32,
    /// Execution state of the request.
    pub state: ClaimState,
}

/// A stored record that cannot be parsed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line} of the claim record is malformed")]
pub struct EntryError {
    /// Number of the malformed line, counted from 1.
    pub line: usize,
}

/// Adds a batch to a head. An end replaces the `Running` entry of its request if that is still in
/// the head, so that a finished request takes one line instead of two.
pub(crate) fn merge_batch(head: &[Entry], batch: &[Entry]) -> Vec<Entry> {
    let mut entries = head.to_vec();
    let running = head.iter().enumerate();
    let running: HashMap<(ClaimHash, RequestId), usize> = running
        .filter(|(_, entry)| entry.state == ClaimState::Running)
        .map(|(index, entry)| ((entry.key, entry.request), index))
        .collect();
    for entry in batch {
        match running.get(&(entry.key, entry.request)) {
            Some(index) => entries[*index] = *entry,
            None => entries.push(*entry),
        }
    }
    entries
}

/// Encodes entries in the given order, which must be oldest first.
pub fn entries_to_text(entries: &[Entry]) -> String {
    let mut text = String::with_capacity(entries.len() * (LINE_LENGTH + 1));
    for entry in entries {
        text.push(entry.state.letter());
        text.push_str(&format!("{:0HASH_DIGITS$x}", entry.key.0));
        text.push_str(&format!("{:0REQUEST_DIGITS$x}", entry.request.0));
        text.push_str(&format!("{:0FINGERPRINT_DIGITS$x}", entry.fingerprint));
        text.push('\n');
    }
    text
}

/// Decodes entries written by [`entries_to_text`].
pub fn entries_from_text(text: &str) -> Result<Vec<Entry>, EntryError> {
    let lines = text.lines().enumerate();
    lines
        .map(|(index, line)| parse_entry(line).ok_or(EntryError { line: index + 1 }))
        .collect()
}

fn parse_entry(line: &str) -> Option<Entry> {
    if line.len() != LINE_LENGTH || !line.is_ascii() {
        return None;
    }
    let (letter, rest) = line.split_at(1);
    let (key, rest) = rest.split_at(HASH_DIGITS);
    let (request, fingerprint) = rest.split_at(REQUEST_DIGITS);
    Some(Entry {
        key: ClaimHash(u128::from_str_radix(key, 16).ok()?),
        request: request.parse().ok()?,
        fingerprint: u32::from_str_radix(fingerprint, 16).ok()?,
        state: ClaimState::from_letter(letter)?,
    })
}
