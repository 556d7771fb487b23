//! Keys, leases and the bounded change log of the key-value test double.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use dalestand_edge::{
    CasOutcome, Entry, LeaseId, Listing, WatchBatch, WatchEvent, WriteExpectation,
};
use dalestand_types::Revision;

/// Maximum number of changes kept for watchers; older ones are reported as compacted.
const MAX_LOG_EVENTS: usize = 4_096;

struct StoredValue {
    value: String,
    revision: Revision,
    lease: Option<LeaseId>,
}

struct Lease {
    time_to_live: Duration,
    expires_at: Instant,
    keys: BTreeSet<String>,
}

/// An in-memory key-value store with compare-and-swap, leases and a change log.
#[derive(Default)]
pub struct Store {
    revision: Revision,
    next_lease: u64,
    entries: BTreeMap<String, StoredValue>,
    leases: BTreeMap<LeaseId, Lease>,
    log: VecDeque<WatchEvent>,
    compacted_revision: Revision,
}

impl Store {
    /// Returns the entry of `key`.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|stored| entry(key, stored))
    }

    /// Returns all entries whose key starts with `prefix`.
    pub fn range(&self, prefix: &str) -> Listing {
        let entries = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, stored)| entry(key, stored))
            .collect();
        Listing {
            revision: self.revision,
            entries,
        }
    }

    /// Writes `key`, or deletes it if `value` is `None`, if the expectation holds. Returns `None`
    /// if the lease is unknown.
    pub fn compare_and_swap(
        &mut self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<String>,
        lease: Option<LeaseId>,
    ) -> Option<CasOutcome> {
        let holds = match (expectation, self.entries.get(key)) {
            (WriteExpectation::Absent, None) => true,
            (WriteExpectation::At(revision), Some(stored)) => stored.revision == revision,
            _ => false,
        };
        if !holds {
            return Some(CasOutcome::Conflict {
                current: self.get(key),
            });
        }
        if let Some(lease) = lease {
            self.leases.get_mut(&lease)?.keys.insert(key.to_owned());
        }
        let revision = self.write(key, value, lease);
        Some(CasOutcome::Written { revision })
    }

    /// Grants a lease that expires after `time_to_live` unless it is renewed.
    pub fn grant_lease(&mut self, time_to_live: Duration, now: Instant) -> LeaseId {
        self.next_lease += 1;
        let id = LeaseId(self.next_lease);
        let lease = Lease {
            time_to_live,
            expires_at: now + time_to_live,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease; returns `false` if it has expired or was revoked.
    pub fn renew_lease(&mut self, id: LeaseId, now: Instant) -> bool {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires_at = now + lease.time_to_live;
                true
            }
            None => false,
        }
    }

    /// Removes a lease and the keys attached to it.
    pub fn revoke_lease(&mut self, id: LeaseId) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        for key in lease.keys {
            let is_attached = self
                .entries
                .get(&key)
                .is_some_and(|stored| stored.lease == Some(id));
            if is_attached {
                self.write(&key, None, None);
            }
        }
    }

    /// Removes the leases that have expired at `now`, with their keys.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Changes of keys under `prefix` after the revision `after`.
    pub fn changes(&self, prefix: &str, after: Revision) -> WatchBatch {
        let events = self
            .log
            .iter()
            .filter(|event| event.revision > after && event.key.starts_with(prefix))
            .cloned()
            .collect();
        WatchBatch {
            revision: self.revision,
            events,
            compacted: after < self.compacted_revision,
        }
    }

    fn write(&mut self, key: &str, value: Option<String>, lease: Option<LeaseId>) -> Revision {
        self.revision = self.revision.next();
        let revision = self.revision;
        match value.clone() {
            Some(value) => {
                self.entries.insert(
                    key.to_owned(),
                    StoredValue {
                        value,
                        revision,
                        lease,
                    },
                );
            }
            None => {
                self.entries.remove(key);
            }
        }
        self.log.push_back(WatchEvent {
            key: key.to_owned(),
            value,
            revision,
        });
        if self.log.len() > MAX_LOG_EVENTS
            && let Some(oldest) = self.log.pop_front()
        {
            self.compacted_revision = oldest.revision;
        }
        revision
    }
}

fn entry(key: &str, stored: &StoredValue) -> Entry {
    Entry {
        key: key.to_owned(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}
