//! A key-value service that may be restored from a copy some seconds old.
//!
//! Each restoration begins a new era: what was written since the copy is gone, leases too, and revisions
//! count on from the copy's. Revisions carry their era, so that those of a later era are later everywhere:
//! in what nodes tell each other, as fencing tokens, as positions of watches. Eras are counted from the one
//! in which the fleet began, which one key names: builds that know of no eras have the same revisions there.

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

/// Names the era in which the fleet began.
const FIRST_ERA_KEY: &str = "dalestand-era";

/// A copy from which the service is restored is some seconds old; a write of this age is in it.
const COPY_AGE: Duration = Duration::from_secs(60);

/// Own writes from which on older ones are thrown away: nodes write a few keys each.
const MANY_WRITES: usize = 64;

/// Times that a lost write is tried: the service has just returned.
const WRITE_ATTEMPTS: u32 = 8;

/// Pause between them.
const WRITE_PAUSE: Duration = Duration::from_millis(250);

/// Passes each call on, with revisions that rise over all eras.
pub(crate) struct EraStore {
    store: Rc<dyn KeyValue>,
    context: Rc<Context>,
    /// The era from which they are counted, once it is known.
    first: Cell<Option<u64>>,
    /// The newest era seen.
    newest: Cell<Option<u64>>,
    /// What this node wrote, by key, as the service has it.
    own_writes: RefCell<HashMap<String, OwnWrite>>,
}

/// A value that this node wrote for good.
#[derive(Clone, Debug)]
struct OwnWrite {
    value: String,
    /// Of the era in which it was written.
    revision: Revision,
    at: BootInstant,
}

/// Writes what the copy lacks: no lease brings it back, and nobody else knows it. A value that stands there
/// of a lower number is older, as the copy has the history up to some moment.
async fn write_again(store: Rc<dyn KeyValue>, context: Rc<Context>, lost: Vec<(String, OwnWrite)>) {
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
                    sleep(WRITE_PAUSE).await;
                }
            }
        }
    }
}

/// Whether it was lost, and is written now.
async fn write_if_lost(
    store: &dyn KeyValue,
    key: &str,
    write: &OwnWrite,
) -> Result<bool, Report<PlatformError>> {
    let expectation = match store.get(key).await? {
        None => WriteExpectation::Absent,
        Some(standing) if standing.value == write.value => return Ok(false),
        Some(standing) if standing.revision.number() < write.revision.number() => {
            WriteExpectation::At(standing.revision)
        }
        Some(_) => return Ok(false),
    };
    let written = store.compare_and_swap(key, expectation, Some(&write.value), None);
    Ok(matches!(written.await?, CasOutcome::Written { .. }))
}

impl EraStore {
    /// Calls to `store` on behalf of `context`, which is told of new eras.
    pub(crate) fn new(store: Rc<dyn KeyValue>, context: Rc<Context>) -> Self {
        Self {
            store,
            context,
            first: Cell::new(None),
            newest: Cell::new(None),
            own_writes: RefCell::default(),
        }
    }

    /// Notes the era of an answer. One of a former era was on its way when the service was restored, and
    /// tells of what no longer stands.
    async fn note(&self, answered: Revision) -> Result<(), Report<PlatformError>> {
        let era = answered.era();
        let newest = self.newest.get();
        if newest.is_some_and(|newest| era < newest) {
            return Err(Report::new(PlatformError::Malformed {
                system: "store",
                message: format!("an answer of the former era {era}"),
            }));
        }
        if self.first.get().is_none() {
            self.first.set(Some(self.read_first(era).await?));
        }
        if newest.is_some_and(|newest| era > newest) {
            log_event!(self.context.logger, Event::KeyValueRestored, "era" => era,
                "former" => newest);
            self.newest.set(Some(era));
            self.context.era_has_risen(era);
            actix_rt::spawn(write_again(
                Rc::clone(&self.store),
                Rc::clone(&self.context),
                self.lost_writes(),
            ));
        }
        self.newest
            .set(Some(era.max(self.newest.get().unwrap_or(era))));
        Ok(())
    }

    /// The era in which the fleet began; the present one, if no node has said so yet.
    async fn read_first(&self, era: u64) -> Result<u64, Report<PlatformError>> {
        if era == 0 {
            return Ok(0);
        }
        let standing = match self.store.get(FIRST_ERA_KEY).await? {
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
        // A later one than the present cannot be the first, whoever wrote it.
        let first = standing.and_then(|entry| entry.value.trim().parse().ok());
        Ok(first.map_or(era, |first: u64| first.min(era)))
    }

    /// What this node wrote a short time ago: the copy may lack it.
    fn lost_writes(&self) -> Vec<(String, OwnWrite)> {
        let writes = std::mem::take(&mut *self.own_writes.borrow_mut());
        let recent = writes.into_iter();
        let recent = recent.filter(|(_, write)| write.at.elapsed() <= COPY_AGE);
        let first = self.first.get().map(|first| {
            let write = OwnWrite {
                value: first.to_string(),
                revision: Revision::default(),
                at: BootInstant::now(),
            };
            (FIRST_ERA_KEY.to_owned(), write)
        });
        recent.chain(first).collect()
    }

    /// Remembers a write that no lease ends.
    fn remember(&self, key: &str, value: &str, revision: Revision) {
        let mut writes = self.own_writes.borrow_mut();
        if writes.len() >= MANY_WRITES {
            writes.retain(|_, write| write.at.elapsed() <= COPY_AGE);
        }
        let write = OwnWrite {
            value: value.to_owned(),
            revision,
            at: BootInstant::now(),
        };
        writes.insert(key.to_owned(), write);
    }

    /// A revision as nodes use it.
    fn counted(&self, revision: Revision) -> Revision {
        let first = self.first.get().unwrap_or_default();
        Revision::in_era(revision.era().saturating_sub(first), revision.number())
    }

    /// The same as the service has it.
    fn uncounted(&self, revision: Revision) -> Revision {
        let first = self.first.get().unwrap_or_default();
        Revision::in_era(revision.era() + first, revision.number())
    }

    fn entry(&self, entry: Entry) -> Entry {
        Entry {
            revision: self.counted(entry.revision),
            ..entry
        }
    }

    async fn listing(&self, listing: Listing) -> Result<Listing, Report<PlatformError>> {
        self.note(listing.revision).await?;
        let entries = listing.entries.into_iter();
        Ok(Listing {
            revision: self.counted(listing.revision),
            entries: entries.map(|entry| self.entry(entry)).collect(),
        })
    }
}

#[async_trait(?Send)]
impl KeyValue for EraStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        let Some(entry) = self.store.get(key).await? else {
            return Ok(None);
        };
        self.note(entry.revision).await?;
        Ok(Some(self.entry(entry)))
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        let listing = self.store.range(prefix).await?;
        self.listing(listing).await
    }

    async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<ListingPage, Report<PlatformError>> {
        let page = self.store.page(prefix, after).await?;
        Ok(ListingPage {
            listing: self.listing(page.listing).await?,
            has_more: page.has_more,
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
            WriteExpectation::At(revision) => Some(self.uncounted(revision)),
        };
        let newest = self.newest.get();
        if expected.is_some_and(|expected| newest.is_some_and(|newest| expected.era() < newest)) {
            // What was written then may be gone, and its number given to another change.
            let current = self.get(key).await?;
            return Ok(CasOutcome::Conflict { current });
        }
        let raw = expected.map_or(WriteExpectation::Absent, WriteExpectation::At);
        let outcome = self.store.compare_and_swap(key, raw, value, lease).await?;
        match outcome {
            CasOutcome::Written { revision } => {
                self.note(revision).await?;
                match value {
                    Some(value) if lease.is_none() => self.remember(key, value, revision),
                    _ => {
                        self.own_writes.borrow_mut().remove(key);
                    }
                }
                if expected.is_some_and(|expected| expected.era() != revision.era()) {
                    return Err(Report::new(PlatformError::InDoubt {
                        system: "store",
                        message: "restored while it was written to".to_owned(),
                    }));
                }
                let revision = self.counted(revision);
                Ok(CasOutcome::Written { revision })
            }
            CasOutcome::Conflict { current } => {
                if let Some(current) = &current {
                    self.note(current.revision).await?;
                }
                let current = current.map(|current| self.entry(current));
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
        let from = self.uncounted(after);
        if self.newest.get().is_some_and(|newest| from.era() < newest) {
            // The same number of another era stands for another change.
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
        self.note(batch.revision).await?;
        let events = batch.events.into_iter().map(|mut event| {
            event.revision = self.counted(event.revision);
            event
        });
        Ok(WatchBatch {
            revision: self.counted(batch.revision),
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
}
