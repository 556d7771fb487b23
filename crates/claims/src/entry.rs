//! Entries of a shard's record and their text form, one a line.

use std::collections::HashMap;

use dalestand_types::RequestId;
use serde::{Deserialize, Serialize};

use crate::key::ClaimHash;

/// Digits of a key's hash.
const HASH_DIGITS: usize = 24;

/// Digits of a request's id.
const REQUEST_DIGITS: usize = 32;

/// Digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 8;

/// Length of a line.
const LINE_LENGTH: usize = 1 + HASH_DIGITS + REQUEST_DIGITS + FINGERPRINT_DIGITS;

/// How far a claimed request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimState {
    /// It may be dispatched, may run, and its end was not told.
    Running,
    /// It ran to its end.
    Complete,
    /// It may have run.
    Unknown,
    /// It did not run: the key is free again.
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

/// A change of one key's claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The key.
    pub key: ClaimHash,
    /// The request that claims it.
    pub request: RequestId,
    /// What the request asks for, hashed.
    pub fingerprint: u32,
    /// How far it has come.
    pub state: ClaimState,
}

/// A record that cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line {line} of a claim record cannot be read")]
pub struct EntryError {
    /// Line, counted from 1.
    pub line: usize,
}

/// A head with a batch in it. An end takes the place of the claim it ends, where that is still in
/// the head, which saves half of the bytes.
pub(crate) fn head_with_batch(head: &[Entry], batch: &[Entry]) -> Vec<Entry> {
    let mut entries = head.to_vec();
    let running = head.iter().enumerate();
    let running: HashMap<(ClaimHash, RequestId), usize> = running
        .filter(|(_, entry)| entry.state == ClaimState::Running)
        .map(|(place, entry)| ((entry.key, entry.request), place))
        .collect();
    for entry in batch {
        match running.get(&(entry.key, entry.request)) {
            Some(place) => entries[*place] = *entry,
            None => entries.push(*entry),
        }
    }
    entries
}

/// Writes entries, oldest first.
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

/// Reads entries.
pub fn entries_from_text(text: &str) -> Result<Vec<Entry>, EntryError> {
    let lines = text.lines().enumerate();
    lines
        .map(|(index, line)| entry(line).ok_or(EntryError { line: index + 1 }))
        .collect()
}

fn entry(line: &str) -> Option<Entry> {
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
