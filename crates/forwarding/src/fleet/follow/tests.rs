//! A follower of a key-value service that fails.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_clock::BootInstant;
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WatchEvent,
    WriteExpectation,
};
use dalestand_telemetry::discard_logger;
use dalestand_types::Revision;
use error_stack::Report;
use rstest::rstest;
use tokio::sync::watch;

use super::{FollowTask, Follower, RecoverySignal, WATCH_WAIT, backoff, follow};

const KEY: &str = "declaration";

/// Read calls of the service.
#[async_trait(?Send)]
trait ReadCalls {
    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>>;

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>>;
}

/// A service without writes.
struct ReadOnly<R>(Rc<R>);

#[async_trait(?Send)]
impl<R: ReadCalls> KeyValue for ReadOnly<R> {
    async fn get(&self, _key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        Ok(None)
    }

    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        self.0.range(prefix).await
    }

    async fn watch(
        &self,
        _prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        self.0.watch(after, wait).await
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

/// A watch without changes.
async fn watch_nothing(
    after: Revision,
    wait: Duration,
) -> Result<WatchBatch, Report<PlatformError>> {
    actix_rt::time::sleep(wait).await;
    Ok(WatchBatch {
        revision: after,
        events: Vec::new(),
        compacted: false,
    })
}

fn task(store: Rc<dyn KeyValue>, recovery: RecoverySignal) -> FollowTask {
    FollowTask {
        store,
        prefix: KEY.to_owned(),
        recovery,
        watch_wait: Box::new(|| WATCH_WAIT),
        logger: discard_logger(),
    }
}

/// Enables a follower for the whole test.
fn always() -> watch::Receiver<bool> {
    watch::channel(true).1
}

fn in_doubt(message: &str) -> Report<PlatformError> {
    Report::new(PlatformError::InDoubt {
        system: "store",
        message: message.to_owned(),
    })
}

/// A listing with one entry.
fn single_entry(key: &str, value: String, revision: Revision) -> Listing {
    let entry = Entry {
        key: key.to_owned(),
        value,
        revision,
    };
    let entries = vec![entry];
    Listing { revision, entries }
}

/// A service whose watches miss the second write: the first watch fails after it, later ones wait for a
/// third write.
#[derive(Default)]
struct MissedChange {
    written: Cell<u64>,
    watches: Cell<u32>,
}

#[async_trait(?Send)]
impl ReadCalls for MissedChange {
    async fn range(&self, _prefix: &str) -> Result<Listing, Report<PlatformError>> {
        let revision = Revision(self.written.get());
        Ok(single_entry(KEY, revision.to_string(), revision))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        self.watches.set(self.watches.get() + 1);
        if self.watches.get() == 1 {
            self.written.set(2);
            return Err(in_doubt("reset"));
        }
        watch_nothing(after, wait).await
    }
}

#[derive(Clone, Default)]
struct Recorder(Rc<RefCell<Vec<String>>>);

impl Follower for Recorder {
    fn apply_listing(&self, listing: Listing, _after_outage: bool) {
        let values = listing.entries.into_iter().map(|entry| entry.value);
        self.0.borrow_mut().extend(values);
    }

    fn apply_events(&self, events: Vec<WatchEvent>) {
        let values = events.into_iter().filter_map(|event| event.value);
        self.0.borrow_mut().extend(values);
    }
}

/// A watch that starts after a failed one may miss a change made in between.
#[actix_rt::test]
async fn changes_missed_by_a_failed_watch_are_listed() {
    let store = Rc::new(MissedChange::default());
    store.written.set(1);
    let seen = Recorder::default();
    let task = task(Rc::new(ReadOnly(store)), RecoverySignal::default());
    let following = follow(task, seen.clone(), always());
    let _ = tokio::time::timeout(Duration::from_secs(1), following).await;
    assert_eq!(*seen.0.borrow(), ["1", "2"]);
}

/// A service that fails until it is brought up.
#[derive(Default)]
struct Outage {
    is_up: Cell<bool>,
    answered: Cell<u32>,
    calls: Cell<u32>,
}

#[async_trait(?Send)]
impl ReadCalls for Outage {
    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        self.calls.set(self.calls.get() + 1);
        if !self.is_up.get() {
            return Err(in_doubt("down"));
        }
        self.answered.set(self.answered.get() + 1);
        Ok(single_entry(prefix, prefix.to_owned(), Revision(1)))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        watch_nothing(after, wait).await
    }
}

/// After an outage all keys must be read at about the same time, or requests fail although the
/// declaration is known.
#[actix_rt::test]
async fn one_follower_that_reaches_the_service_wakes_the_others() {
    let store = Rc::new(Outage::default());
    let (first, second) = (Recorder::default(), Recorder::default());
    let recovery = RecoverySignal::default();
    for (key, seen) in [("first", &first), ("second", &second)] {
        let store = Rc::new(ReadOnly(store.clone()));
        let mut task = task(store, recovery.clone());
        task.prefix = key.to_owned();
        actix_rt::spawn(follow(task, seen.clone(), always()));
    }
    // Both followers are in long backoff delays.
    actix_rt::time::sleep(Duration::from_millis(900)).await;
    let calls = store.calls.get();
    while store.calls.get() == calls {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    store.is_up.set(true);
    while store.answered.get() == 0 {
        actix_rt::time::sleep(Duration::from_millis(1)).await;
    }
    actix_rt::time::sleep(Duration::from_millis(80)).await;
    assert_eq!(*first.0.borrow(), ["first"]);
    assert_eq!(*second.0.borrow(), ["second"]);
}

/// A node without any entries refuses all requests, so it retries more often.
#[actix_rt::test]
async fn a_follower_without_a_listing_retries_often() {
    let store = Rc::new(Outage::default());
    let following = Rc::new(ReadOnly(store.clone()));
    let seen = Recorder::default();
    let task = task(following, RecoverySignal::default());
    actix_rt::spawn(follow(task, seen, always()));
    actix_rt::time::sleep(Duration::from_secs(5)).await;
    assert!(
        store.calls.get() >= 22,
        "called {} times",
        store.calls.get()
    );
}

/// A service at which a key changes every few milliseconds.
struct BusyService {
    revision: Cell<u64>,
    /// Number of watches that returned changes.
    answered: Cell<u32>,
}

#[async_trait(?Send)]
impl ReadCalls for BusyService {
    async fn range(&self, _prefix: &str) -> Result<Listing, Report<PlatformError>> {
        Ok(Listing {
            revision: Revision(0),
            entries: Vec::new(),
        })
    }

    async fn watch(
        &self,
        after: Revision,
        _wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        actix_rt::time::sleep(Duration::from_millis(2)).await;
        let newest = self.revision.get();
        if newest > after.0 {
            self.answered.set(self.answered.get() + 1);
        }
        let events = (after.0 + 1..=newest).map(|revision| WatchEvent {
            key: KEY.to_owned(),
            value: Some(revision.to_string()),
            revision: Revision(revision),
        });
        Ok(WatchBatch {
            events: events.collect(),
            revision: Revision(newest),
            compacted: false,
        })
    }
}

const BATCH_DELAY: Duration = Duration::from_millis(100);

/// Records every change; delays watches by [`BATCH_DELAY`].
struct BatchingRecorder(Rc<RefCell<Vec<u64>>>);

impl Follower for BatchingRecorder {
    fn apply_listing(&self, _listing: Listing, _after_outage: bool) {}

    fn apply_events(&self, events: Vec<WatchEvent>) {
        let revisions = events.iter().map(|event| event.revision.0);
        self.0.borrow_mut().extend(revisions);
    }

    fn batch_delay(&self) -> Duration {
        BATCH_DELAY
    }
}

/// Without batching, every change would cost a call of every node.
#[actix_rt::test]
async fn changes_in_quick_succession_are_batched() {
    const CHANGES: u64 = 60;
    let service = Rc::new(BusyService {
        revision: Cell::new(0),
        answered: Cell::new(0),
    });
    let seen = Rc::new(RefCell::new(Vec::new()));
    let task = task(
        Rc::new(ReadOnly(Rc::clone(&service))),
        RecoverySignal::default(),
    );
    let following = follow(task, BatchingRecorder(Rc::clone(&seen)), always());
    let begun = BootInstant::now();
    let changing = async {
        for _ in 0..CHANGES {
            service.revision.set(service.revision.get() + 1);
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        actix_rt::time::sleep(Duration::from_millis(250)).await;
    };
    tokio::select! {
        () = following => unreachable!("the follower never returns"),
        () = changing => {}
    }
    let all: Vec<u64> = (1..=CHANGES).collect();
    assert_eq!(*seen.borrow(), all, "no change is missed");
    let batches = begun.elapsed().as_millis() / BATCH_DELAY.as_millis();
    let answered = service.answered.get();
    assert!(
        u128::from(answered) <= batches + 1,
        "{answered} answers in {batches} batches"
    );
}

/// A node that follows a relay makes no calls. When it is enabled again it lists all keys, because a
/// watch from the previous position may miss changes.
#[actix_rt::test]
async fn a_disabled_follower_makes_no_calls_and_then_lists_all() {
    let store = Rc::new(MissedChange::default());
    store.written.set(1);
    let (sender, enabled) = watch::channel(true);
    let seen = Recorder::default();
    let task = task(
        Rc::new(ReadOnly(Rc::clone(&store))),
        RecoverySignal::default(),
    );
    actix_rt::spawn(follow(task, seen.clone(), enabled));
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    sender.send_replace(false);
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let watches = store.watches.get();
    actix_rt::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(store.watches.get(), watches);
    store.written.set(7);
    sender.send_replace(true);
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(seen.0.borrow().last().map(String::as_str), Some("7"));
}

/// Shortest and longest delay of many nodes after one failure, in milliseconds.
fn backoff_range(requested_ms: Option<u64>, is_throttled: bool) -> (u128, u128) {
    let requested = requested_ms.map(Duration::from_millis);
    let error = if is_throttled {
        PlatformError::RateLimited {
            system: "store",
            retry_after: requested.unwrap_or_default(),
        }
    } else {
        PlatformError::OutOfService {
            system: "store",
            retry_after: requested,
        }
    };
    let max_backoff = Duration::from_millis(500);
    let delays = (0..500).map(|_| backoff(1, max_backoff, &error).as_millis());
    let delays: Vec<u128> = delays.collect();
    let (first, last) = (delays.iter().min(), delays.iter().max());
    (*first.expect("some"), *last.expect("some"))
}

/// The delay must be at least the one that the service requested, up to the maximum.
#[rstest]
#[case::throttled(Some(300), true, 300, 325)]
#[case::out_of_service(Some(300), false, 300, 325)]
#[case::nothing_requested(None, false, 36, 60)]
#[case::less_than_the_own_delay(Some(10), true, 36, 60)]
#[case::longer_than_the_maximum(Some(10_000), false, 300, 500)]
fn the_delay_respects_the_requested_retry_time(
    #[case] requested_ms: Option<u64>,
    #[case] is_throttled: bool,
    #[case] from_ms: u128,
    #[case] to_ms: u128,
) {
    let (first, last) = backoff_range(requested_ms, is_throttled);
    assert!(first >= from_ms && last <= to_ms, "{first} to {last} ms");
    assert!(last > first, "the delay has jitter");
}
