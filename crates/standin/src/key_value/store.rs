//! The store itself: keys, leases and a bounded log of changes.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::{Duration, Instant};

use dalestand_edge::{
    CasOutcome, Entry, LeaseId, Listing, WatchBatch, WatchEvent, WriteExpectation,
};
use dalestand_types::Revision;

/// Changes kept for watchers; older ones are reported as compacted.
const LOG_LENGTH: usize = 4_096;

struct Stored {
    value: String,
    revision: Revision,
    lease: Option<LeaseId>,
}

struct Lease {
    time_to_live: Duration,
    expires: Instant,
    keys: BTreeSet<String>,
}

/// An in-memory key-value store with compare-and-swap, leases and a change log.
#[derive(Default)]
pub struct Store {
    revision: Revision,
    next_lease: u64,
    entries: BTreeMap<String, Stored>,
    leases: BTreeMap<LeaseId, Lease>,
    log: VecDeque<WatchEvent>,
    compacted: Revision,
}

impl Store {
    /// Reads one key.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|stored| entry(key, stored))
    }

    /// Reads all keys under a prefix.
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

    /// Writes or deletes `key` if the expectation holds. `None` if the lease is unknown.
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

    /// Grants a lease.
    pub fn grant_lease(&mut self, time_to_live: Duration, now: Instant) -> LeaseId {
        self.next_lease += 1;
        let id = LeaseId(self.next_lease);
        let lease = Lease {
            time_to_live,
            expires: now + time_to_live,
            keys: BTreeSet::new(),
        };
        self.leases.insert(id, lease);
        id
    }

    /// Renews a lease; `false` if it is gone.
    pub fn renew_lease(&mut self, id: LeaseId, now: Instant) -> bool {
        match self.leases.get_mut(&id) {
            Some(lease) => {
                lease.expires = now + lease.time_to_live;
                true
            }
            None => false,
        }
    }

    /// Removes a lease and its keys.
    pub fn revoke_lease(&mut self, id: LeaseId) {
        let Some(lease) = self.leases.remove(&id) else {
            return;
        };
        for key in lease.keys {
            let held = self
                .entries
                .get(&key)
                .is_some_and(|stored| stored.lease == Some(id));
            if held {
                self.write(&key, None, None);
            }
        }
    }

    /// Removes every lease that has run out.
    pub fn expire_leases(&mut self, now: Instant) {
        let expired: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Changes under `prefix` after a revision.
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
            compacted: after < self.compacted,
        }
    }

    fn write(&mut self, key: &str, value: Option<String>, lease: Option<LeaseId>) -> Revision {
        self.revision = self.revision.next();
        let revision = self.revision;
        match value.clone() {
            Some(value) => {
                self.entries.insert(
                    key.to_owned(),
                    Stored {
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
        if self.log.len() > LOG_LENGTH
            && let Some(dropped) = self.log.pop_front()
        {
            self.compacted = dropped.revision;
        }
        revision
    }
}

fn entry(key: &str, stored: &Stored) -> Entry {
    Entry {
        key: key.to_owned(),
        value: stored.value.clone(),
        revision: stored.revision,
    }
}
