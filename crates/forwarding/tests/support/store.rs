//! A key-value service in memory, with faults that tests switch.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WatchEvent,
    WriteExpectation,
};
use dalestand_types::Revision;
use error_stack::Report;

/// A store in memory.
#[derive(Default)]
pub struct MemoryStore {
    revision: Cell<u64>,
    entries: RefCell<BTreeMap<String, Entry>>,
    events: RefCell<Vec<WatchEvent>>,
    is_away: Cell<bool>,
    holds_watches: Cell<bool>,
    refused_prefix: RefCell<Option<&'static str>>,
}

impl MemoryStore {
    /// Has all reading calls fail, or lets them succeed again.
    pub fn set_away(&self, is_away: bool) {
        self.is_away.set(is_away);
    }

    /// Has all writes under a prefix fail.
    pub fn refuse_writes(&self, prefix: &'static str) {
        self.refused_prefix.replace(Some(prefix));
    }

    /// Has watches wait without hearing of changes, or hear of all at once.
    pub fn hold_watches(&self, hold: bool) {
        self.holds_watches.set(hold);
    }

    /// The keys under a prefix, with their values.
    pub fn entries(&self, prefix: &str) -> Vec<(String, String)> {
        let entries = self.entries.borrow();
        let under = entries.values().filter(|one| one.key.starts_with(prefix));
        under
            .map(|one| (one.key.clone(), one.value.clone()))
            .collect()
    }

    fn reachable(&self) -> Result<(), Report<PlatformError>> {
        if self.is_away.get() {
            return Err(Report::new(PlatformError::InDoubt {
                system: "store",
                message: "away".to_owned(),
            }));
        }
        Ok(())
    }

    /// Writes a key, or removes it.
    pub fn write(&self, key: &str, value: Option<&str>) {
        self.revision.set(self.revision.get() + 1);
        let revision = Revision(self.revision.get());
        let value = value.map(str::to_owned);
        let mut entries = self.entries.borrow_mut();
        match &value {
            Some(value) => {
                let entry = Entry {
                    key: key.to_owned(),
                    value: value.clone(),
                    revision,
                };
                entries.insert(key.to_owned(), entry);
            }
            None => {
                entries.remove(key);
            }
        }
        self.events.borrow_mut().push(WatchEvent {
            key: key.to_owned(),
            value,
            revision,
        });
    }
}

#[async_trait(?Send)]
impl KeyValue for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        Ok(self.entries.borrow().get(key).cloned())
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        self.reachable()?;
        let entries = self.entries.borrow();
        let under = entries
            .values()
            .filter(|entry| entry.key.starts_with(prefix));
        Ok(Listing {
            revision: Revision(self.revision.get()),
            entries: under.cloned().collect(),
        })
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        _lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        let refused = *self.refused_prefix.borrow();
        if refused.is_some_and(|prefix| key.starts_with(prefix)) {
            return Err(Report::new(PlatformError::OutOfService {
                system: "store",
                retry_after: None,
            }));
        }
        let current = self.entries.borrow().get(key).cloned();
        let holds = match (expectation, &current) {
            (WriteExpectation::Absent, None) => true,
            (WriteExpectation::At(revision), Some(entry)) => entry.revision == revision,
            _ => false,
        };
        if !holds {
            return Ok(CasOutcome::Conflict { current });
        }
        self.write(key, value);
        let revision = Revision(self.revision.get());
        Ok(CasOutcome::Written { revision })
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        let until = tokio::time::Instant::now() + wait;
        loop {
            self.reachable()?;
            let events: Vec<WatchEvent> = self
                .events
                .borrow()
                .iter()
                .filter(|event| event.revision > after && event.key.starts_with(prefix))
                .cloned()
                .collect();
            let events = if self.holds_watches.get() {
                Vec::new()
            } else {
                events
            };
            if !events.is_empty() || tokio::time::Instant::now() >= until {
                return Ok(WatchBatch {
                    revision: Revision(self.revision.get()),
                    events,
                    compacted: false,
                });
            }
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, Report<PlatformError>> {
        Ok(LeaseId(1))
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<bool, Report<PlatformError>> {
        Ok(true)
    }

    async fn revoke_lease(&self, _lease: LeaseId) -> Result<(), Report<PlatformError>> {
        Ok(())
    }
}
