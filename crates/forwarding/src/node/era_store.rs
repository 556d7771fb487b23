//! Wraps a key-value service that may be restored from a backup some seconds old.
//!
//! Each restore starts a new era: writes and leases since the backup are lost, and revision numbers
//! continue from the backup's. A revision therefore carries its era, so that revisions of a later era
//! compare higher in messages between nodes, as fencing tokens and as watch positions. Nodes count eras
//! from the one in which the fleet first started, which is stored under one key: in that era, revisions
//! are the same as in builds without eras.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_clock::{BootInstant, sleep};
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, ListingPage, PlatformError, WatchBatch,
    WriteExpectation,
};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use error_stack::Report;

use crate::context::Context;

/// Key that stores the era in which the fleet first started.
const FIRST_ERA_KEY: &str = "dalestand-era";

/// Upper bound on the age of a backup: older writes are contained in it.
const MAX_BACKUP_AGE: Duration = Duration::from_secs(60);

/// Number of remembered writes above which old ones are removed; a node writes only a few keys.
const PRUNE_THRESHOLD: usize = 64;

/// Attempts to repeat a lost write; the service may still be starting.
const WRITE_ATTEMPTS: u32 = 8;

/// Delay between these attempts.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(250);

/// Forwards each call, with revisions that increase across eras.
pub(crate) struct EraStore {
    store: Rc<dyn KeyValue>,
    context: Rc<Context>,
    /// The era from which nodes count, once known.
    first_era: Cell<Option<u64>>,
    /// The newest era seen in an answer.
    newest_era: Cell<Option<u64>>,
    /// Recent writes of this node without a lease, by key.
    own_writes: RefCell<HashMap<String, OwnWrite>>,
}

/// A value that this node wrote without a lease.
#[derive(Clone, Debug)]
struct OwnWrite {
    value: String,
    /// Revision of the write, as the service counts it.
    revision: Revision,
    at: BootInstant,
}

/// Repeats own writes that the backup lacks; no other node would restore them. A stored value with a lower
/// revision number is older, because the backup is a prefix of the history.
async fn repeat_lost_writes(
    store: Rc<dyn KeyValue>,
    context: Rc<Context>,
    lost: Vec<(String, OwnWrite)>,
) {
    for (key, write) in lost {
        for _ in 0..WRITE_ATTEMPTS {
            match write_if_lost(&*store, &key, &write).await {
                Ok(is_written) => {
                    if is_written {
                        log_event!(context.logger, Event::KeyRewritten, "key" => &key);
                    }
                    break;
                }
                Err(error) => {
                    log_event!(context.logger, Event::KeyValueFailed, "prefix" => &key,
                        "error" => %error.current_context());
                    sleep(WRITE_RETRY_DELAY).await;
                }
            }
        }
    }
}

/// Repeats one write if it was lost; returns whether it did.
async fn write_if_lost(
    store: &dyn KeyValue,
    key: &str,
    write: &OwnWrite,
) -> Result<bool, Report<PlatformError>> {
    let expectation = match store.get(key).await? {
        None => WriteExpectation::Absent,
        Some(stored) if stored.value == write.value => return Ok(false),
        Some(stored) if stored.revision.number() < write.revision.number() => {
            WriteExpectation::At(stored.revision)
        }
        Some(_) => return Ok(false),
    };
    let written = store.compare_and_swap(key, expectation, Some(&write.value), None);
    Ok(matches!(written.await?, CasOutcome::Written { .. }))
}

impl EraStore {
    /// Wraps `store`; reports new eras to `context`.
    pub(crate) fn new(store: Rc<dyn KeyValue>, context: Rc<Context>) -> Self {
        Self {
            store,
            context,
            first_era: Cell::new(None),
            newest_era: Cell::new(None),
            own_writes: RefCell::default(),
        }
    }

    /// Handles the era of an answer: starts a new era, or fails for an answer that was sent before the
    /// service was restored and describes lost state.
    async fn observe_era(&self, answered: Revision) -> Result<(), Report<PlatformError>> {
        let era = answered.era();
        let newest = self.newest_era.get();
        if newest.is_some_and(|newest| era < newest) {
            return Err(Report::new(PlatformError::Malformed {
                system: "store",
                message: format!("the answer is from the earlier era {era}"),
            }));
        }
        if self.first_era.get().is_none() {
            self.first_era.set(Some(self.read_first_era(era).await?));
        }
        if newest.is_some_and(|newest| era > newest) {
            log_event!(self.context.logger, Event::KeyValueRestored, "era" => era,
                "former" => newest);
            self.newest_era.set(Some(era));
            self.context.begin_store_era(era);
            actix_rt::spawn(repeat_lost_writes(
                Rc::clone(&self.store),
                Rc::clone(&self.context),
                self.lost_writes(),
            ));
        }
        self.newest_era
            .set(Some(era.max(self.newest_era.get().unwrap_or(era))));
        Ok(())
    }

    /// The era in which the fleet first started; the current `era` if none is stored yet.
    async fn read_first_era(&self, era: u64) -> Result<u64, Report<PlatformError>> {
        if era == 0 {
            return Ok(0);
        }
        let stored = match self.store.get(FIRST_ERA_KEY).await? {
            Some(entry) => Some(entry),
            None => {
                let (text, absent) = (era.to_string(), WriteExpectation::Absent);
                let written = self
                    .store
                    .compare_and_swap(FIRST_ERA_KEY, absent, Some(&text), None);
                match written.await? {
                    CasOutcome::Written { .. } => None,
                    CasOutcome::Conflict { current } => current,
                }
            }
        };
        // Cap a wrong value: the first era cannot be later than the current one.
        let first = stored.and_then(|entry| entry.value.trim().parse().ok());
        Ok(first.map_or(era, |first: u64| first.min(era)))
    }

    /// Recent writes of this node, which the backup may lack; clears the list.
    fn lost_writes(&self) -> Vec<(String, OwnWrite)> {
        let writes = std::mem::take(&mut *self.own_writes.borrow_mut());
        let recent = writes.into_iter();
        let recent = recent.filter(|(_, write)| write.at.elapsed() <= MAX_BACKUP_AGE);
        let first = self.first_era.get().map(|first| {
            let write = OwnWrite {
                value: first.to_string(),
                revision: Revision::default(),
                at: BootInstant::now(),
            };
            (FIRST_ERA_KEY.to_owned(), write)
        });
        recent.chain(first).collect()
    }

    /// Remembers a write without a lease.
    fn remember(&self, key: &str, value: &str, revision: Revision) {
        let mut writes = self.own_writes.borrow_mut();
        if writes.len() >= PRUNE_THRESHOLD {
            writes.retain(|_, write| write.at.elapsed() <= MAX_BACKUP_AGE);
        }
        let write = OwnWrite {
            value: value.to_owned(),
            revision,
            at: BootInstant::now(),
        };
        writes.insert(key.to_owned(), write);
    }

    /// Converts a revision of the service to one with the era as nodes count it.
    fn to_node_revision(&self, revision: Revision) -> Revision {
        let first = self.first_era.get().unwrap_or_default();
        Revision::in_era(revision.era().saturating_sub(first), revision.number())
    }

    /// Converts a revision with the era as nodes count it to one of the service.
    fn to_service_revision(&self, revision: Revision) -> Revision {
        let first = self.first_era.get().unwrap_or_default();
        Revision::in_era(revision.era() + first, revision.number())
    }

    fn to_node_entry(&self, entry: Entry) -> Entry {
        Entry {
            revision: self.to_node_revision(entry.revision),
            ..entry
        }
    }

    async fn to_node_listing(&self, listing: Listing) -> Result<Listing, Report<PlatformError>> {
        self.observe_era(listing.revision).await?;
        let entries = listing.entries.into_iter();
        Ok(Listing {
            revision: self.to_node_revision(listing.revision),
            entries: entries.map(|entry| self.to_node_entry(entry)).collect(),
        })
    }
}

#[async_trait(?Send)]
impl KeyValue for EraStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        let Some(entry) = self.store.get(key).await? else {
            return Ok(None);
        };
        self.observe_era(entry.revision).await?;
        Ok(Some(self.to_node_entry(entry)))
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        let listing = self.store.range(prefix).await?;
        self.to_node_listing(listing).await
    }

    async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<ListingPage, Report<PlatformError>> {
        let page = self.store.page(prefix, after).await?;
        Ok(ListingPage {
            listing: self.to_node_listing(page.listing).await?,
            next_after: page.next_after,
        })
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        let expected = match expectation {
            WriteExpectation::Absent => None,
            WriteExpectation::At(revision) => Some(self.to_service_revision(revision)),
        };
        let newest = self.newest_era.get();
        if expected.is_some_and(|expected| newest.is_some_and(|newest| expected.era() < newest)) {
            // The expected write may be lost, and its revision number reused.
            let current = self.get(key).await?;
            return Ok(CasOutcome::Conflict { current });
        }
        let service_expectation = expected.map_or(WriteExpectation::Absent, WriteExpectation::At);
        let outcome = self
            .store
            .compare_and_swap(key, service_expectation, value, lease)
            .await?;
        match outcome {
            CasOutcome::Written { revision } => {
                self.observe_era(revision).await?;
                match value {
                    Some(value) if lease.is_none() => self.remember(key, value, revision),
                    _ => {
                        self.own_writes.borrow_mut().remove(key);
                    }
                }
                if expected.is_some_and(|expected| expected.era() != revision.era()) {
                    return Err(Report::new(PlatformError::InDoubt {
                        system: "store",
                        message: "the service was restored during the write".to_owned(),
                    }));
                }
                let revision = self.to_node_revision(revision);
                Ok(CasOutcome::Written { revision })
            }
            CasOutcome::Conflict { current } => {
                if let Some(current) = &current {
                    self.observe_era(current.revision).await?;
                }
                let current = current.map(|current| self.to_node_entry(current));
                Ok(CasOutcome::Conflict { current })
            }
        }
    }

    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        let from = self.to_service_revision(after);
        if self
            .newest_era
            .get()
            .is_some_and(|newest| from.era() < newest)
        {
            // The same revision number stands for another change in the new era.
            return Ok(WatchBatch {
                revision: after,
                events: Vec::new(),
                compacted: true,
            });
        }
        let batch = self.store.watch(prefix, from, wait).await?;
        if batch.compacted {
            return Ok(WatchBatch {
                revision: after,
                ..batch
            });
        }
        self.observe_era(batch.revision).await?;
        let events = batch.events.into_iter().map(|mut event| {
            event.revision = self.to_node_revision(event.revision);
            event
        });
        Ok(WatchBatch {
            revision: self.to_node_revision(batch.revision),
            events: events.collect(),
            compacted: false,
        })
    }

    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Report<PlatformError>> {
        self.store.grant_lease(time_to_live).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Report<PlatformError>> {
        self.store.renew_lease(lease).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), Report<PlatformError>> {
        self.store.revoke_lease(lease).await
    }

    fn discard_connections(&self) {
        self.store.discard_connections();
    }
}
