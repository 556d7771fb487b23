//! A follower against a key-value service that fails.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WatchEvent,
    WriteExpectation,
};
use dalestand_telemetry::discard_logger;
use dalestand_types::Revision;
use error_stack::Report;

use super::{Follower, follow};

const KEY: &str = "declaration";

/// A service whose watches hear nothing of the second write: the first is cut after it, and the
/// later ones wait for a third.
#[derive(Default)]
struct DeafWatches {
    written: Cell<u64>,
    watches: Cell<u32>,
}

#[async_trait(?Send)]
impl KeyValue for DeafWatches {
    async fn get(&self, _key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        Ok(None)
    }

    async fn range(&self, _prefix: &str) -> Result<Listing, Report<PlatformError>> {
        let revision = Revision(self.written.get());
        let entry = Entry {
            key: KEY.to_owned(),
            value: revision.to_string(),
            revision,
        };
        let entries = vec![entry];
        Ok(Listing { revision, entries })
    }

    async fn watch(
        &self,
        _prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        self.watches.set(self.watches.get() + 1);
        if self.watches.get() == 1 {
            self.written.set(2);
            let message = "reset".to_owned();
            let system = "store";
            return Err(Report::new(PlatformError::InDoubt { system, message }));
        }
        actix_rt::time::sleep(wait).await;
        Ok(WatchBatch {
            revision: after,
            events: Vec::new(),
            compacted: false,
        })
    }

    async fn compare_and_swap(
        &self,
        _key: &str,
        _expectation: WriteExpectation,
        _value: Option<&str>,
        _lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        Ok(CasOutcome::Conflict { current: None })
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

#[derive(Clone, Default)]
struct Seen(Rc<RefCell<Vec<String>>>);

impl Follower for Seen {
    fn listed(&self, listing: Listing) {
        let values = listing.entries.into_iter().map(|entry| entry.value);
        self.0.borrow_mut().extend(values);
    }

    fn changed(&self, event: WatchEvent) {
        self.0.borrow_mut().extend(event.value);
    }
}

/// Seen on a day on which the service forgot its history: a watch that began right after the cut
/// said nothing of the change before it, and the node refused new routes for four seconds.
#[actix_rt::test]
async fn what_a_cut_watch_missed_is_read() {
    let store = Rc::new(DeafWatches::default());
    store.written.set(1);
    let seen = Seen::default();
    let following = follow(store, KEY.to_owned(), seen.clone(), discard_logger());
    let _ = tokio::time::timeout(Duration::from_secs(1), following).await;
    assert_eq!(*seen.0.borrow(), ["1", "2"]);
}
