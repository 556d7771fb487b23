//! Inputs and outputs of a shard.

use std::time::Duration;

use dalestand_types::{RequestId, Revision};
use serde::{Deserialize, Serialize};

use crate::entry::{ClaimState, Entry};
use crate::key::ClaimHash;

/// Matches a reply to its call of [`Shard::claim`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// A request for the exclusive right to run under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Hash of the tenant and key.
    pub key: ClaimHash,
    /// The request that wants to run.
    pub request: RequestId,
    /// Hash of the request's content.
    pub fingerprint: u32,
}

/// Reply to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request may run; no other request under the key may.
    Granted,
    /// Another request holds the key.
    Held {
        request: RequestId,
        state: ClaimState,
    },
    /// Another request with different content holds the key.
    KeyReused,
    /// The claim could not be made; the request must not run.
    Refused { retry_after: Duration },
}

/// An operation for the driver, which reports the result back to the shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head record first and the sealed segments after it.
    Load,
    /// Store a copy of the head as a segment named after the head's revision, unless that segment
    /// already exists.
    Seal { name: Revision, entries: Vec<Entry> },
    /// Replace the head record if its revision is still `expected`.
    Write {
        expected: Option<Revision>,
        entries: Vec<Entry>,
    },
}

/// A shard's record as read from the key-value service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedRecord {
    /// Revision of the head; `None` if there is no head yet.
    pub revision: Option<Revision>,
    /// Entries of the head.
    pub head: Vec<Entry>,
    /// Entries of the sealed segments, oldest first.
    pub sealed: Vec<Entry>,
}

/// Why a write or a seal was not confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// The head has another revision than expected.
    Conflict,
    /// It may have taken effect, or may still do so.
    InDoubt,
    /// It had no effect.
    NoEffect,
}
