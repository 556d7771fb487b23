//! What a shard takes and yields.

use std::time::Duration;

use dalestand_types::{RequestId, Revision};
use serde::{Deserialize, Serialize};

use crate::entry::{ClaimState, Entry};
use crate::key::ClaimHash;

/// Names a caller of [`Shard::claim`], for its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ticket(pub u64);

/// Wish to run a request under a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// The key.
    pub key: ClaimHash,
    /// The request that is to run.
    pub request: RequestId,
    /// What it asks for, hashed.
    pub fingerprint: u32,
}

/// Reply to a claim.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// This request, and no other under the key, may run.
    Granted,
    /// Another request holds the key.
    Held {
        request: RequestId,
        state: ClaimState,
    },
    /// The key is held for a request that asks for something else.
    KeyReused,
    /// No claim can be made now; the request must not run.
    Refused { retry_after: Duration },
}

/// What the driver is to do; each result is reported back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Read the head record and then the sealed segments.
    Load,
    /// Store a segment under the revision of the head it was, unless it is there already.
    Seal { name: Revision, entries: Vec<Entry> },
    /// Replace the head record, if it is still at `expected`.
    Write {
        expected: Option<Revision>,
        entries: Vec<Entry>,
    },
}

/// The record as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LoadedRecord {
    /// Revision of the head; `None` if there is none yet.
    pub revision: Option<Revision>,
    /// Entries of the head.
    pub head: Vec<Entry>,
    /// Entries of the sealed segments, oldest first.
    pub sealed: Vec<Entry>,
}

/// Why a write or a seal has no answer that says it is done.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteFailure {
    /// Another head stands there.
    Conflict,
    /// It may have taken effect, now or later.
    InDoubt,
    /// It had no effect.
    NoEffect,
}
