//! A shard's claims in memory.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::{MonotonicTime, RequestId};

use crate::entry::{ClaimState, Entry};
use crate::key::ClaimHash;

/// A claim is remembered at least this long after it was made.
pub const CLAIM_LIFETIME: Duration = Duration::from_secs(600);

/// Most claims of a shard; beyond it new ones are refused. About 130 bytes each.
pub const MAX_CLAIMS_PER_SHARD: usize = 100_000;

/// What is known of a claimed key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClaimRecord {
    /// The request that claimed it.
    pub request: RequestId,
    /// What that request asks for, hashed.
    pub fingerprint: u32,
    /// How far it has come; never [`ClaimState::NotRun`].
    pub state: ClaimState,
    /// When this node learnt of the claim.
    pub learned_at: MonotonicTime,
}

/// The claims of one shard.
#[derive(Clone, Debug, Default)]
pub struct ClaimTable {
    claims: HashMap<ClaimHash, ClaimRecord>,
    /// Keys in the order they were learnt.
    by_age: VecDeque<(MonotonicTime, ClaimHash)>,
}

impl ClaimTable {
    /// What is known of a key.
    pub fn get(&self, key: ClaimHash) -> Option<&ClaimRecord> {
        self.claims.get(&key)
    }

    /// Whether a request holds a key.
    pub fn is_held_by(&self, key: ClaimHash, request: RequestId) -> bool {
        self.get(key)
            .is_some_and(|record| record.request == request)
    }

    /// Claims held.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Whether another claim fits.
    pub fn has_capacity(&self) -> bool {
        self.claims.len() < MAX_CLAIMS_PER_SHARD
    }

    /// Applies an entry of the record. A change that names another request than the one that
    /// holds the key changes nothing.
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

    /// Forgets claims whose lifetime is over.
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
