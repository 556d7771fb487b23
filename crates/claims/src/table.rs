//! In-memory table of a shard's claims.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::{MonotonicTime, RequestId};

use crate::entry::{ClaimState, Entry};
use crate::key::ClaimHash;

/// Minimum time for which a claim is remembered.
pub const CLAIM_LIFETIME: Duration = Duration::from_secs(600);

/// Maximum number of claims per shard; further claims are refused. A claim takes about 130 bytes.
pub const MAX_CLAIMS_PER_SHARD: usize = 100_000;

/// The claim on one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The request that claimed it.
    pub request: RequestId,
    /// Hash of the request's content.
    pub fingerprint: u32,
    /// Execution state of the request; never [`ClaimState::NotRun`].
    pub state: ClaimState,
    /// When this node first read or wrote the claim.
    pub learned_at: MonotonicTime,
}

/// The claims of one shard.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<ClaimHash, ClaimRecord>,
    /// Keys in the order of `learned_at`, oldest first.
    by_age: VecDeque<(MonotonicTime, ClaimHash)>,
}

impl ClaimTable {
    /// The claim on a key, if there is one.
    pub fn get(&self, key: ClaimHash) -> Option<&ClaimRecord> {
        self.claims.get(&key)
    }

    /// Whether `request` holds the key.
    pub fn is_held_by(&self, key: ClaimHash, request: RequestId) -> bool {
        self.get(key)
            .is_some_and(|record| record.request == request)
    }

    pub fn len(&self) -> usize {
        self.claims.len()
    }

    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether there is room for another claim.
    pub fn has_capacity(&self) -> bool {
        self.claims.len() < MAX_CLAIMS_PER_SHARD
    }

    /// Applies an entry of the record. An entry of a request other than the one that holds the key
    /// is ignored.
    pub fn apply(&mut self, now: MonotonicTime, entry: &Entry) {
        let held_by = self.claims.get(&entry.key).map(|record| record.request);
        if held_by.is_some_and(|request| request != entry.request) {
            return;
        }
        if entry.state == ClaimState::NotRun {
            self.claims.remove(&entry.key);
            return;
        }
        if let Some(record) = self.claims.get_mut(&entry.key) {
            if entry.state != ClaimState::Running {
                record.state = entry.state;
            }
            return;
        }
        let record = ClaimRecord {
            request: entry.request,
            fingerprint: entry.fingerprint,
            state: entry.state,
            learned_at: now,
        };
        self.claims.insert(entry.key, record);
        self.by_age.push_back((now, entry.key));
    }

    /// Removes claims older than [`CLAIM_LIFETIME`].
    pub fn expire(&mut self, now: MonotonicTime) {
        while let Some((learned_at, key)) = self.by_age.front().copied() {
            if now.since(learned_at) < CLAIM_LIFETIME {
                return;
            }
            self.by_age.pop_front();
            let current = self.claims.get(&key);
            if current.is_some_and(|record| record.learned_at == learned_at) {
                self.claims.remove(&key);
            }
        }
    }
}
