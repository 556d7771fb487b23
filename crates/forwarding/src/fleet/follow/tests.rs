//! A follower against a key-value service that fails.

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

use super::{FollowTask, Follower, RecoverySignal, WATCH_WAIT, follow, pause};

const KEY: &str = "declaration";

/// What followers use of a service.
#[async_trait(?Send)]
trait Reading {
    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>>;

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>>;
}

/// A service that is only read.
struct ReadOnly<R>(Rc<R>);

#[async_trait(?Send)]
impl<R: Reading> KeyValue for ReadOnly<R> {
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

/// A watch that hears nothing.
async fn hear_nothing(
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

/// Follows [`KEY`] in `store`.
fn task(store: Rc<dyn KeyValue>, recovery: RecoverySignal) -> FollowTask {
    FollowTask {
        store,
        prefix: KEY.to_owned(),
        recovery,
        watch_wait: WATCH_WAIT,
        logger: discard_logger(),
    }
}

/// A follower that is never stopped.
fn always() -> watch::Receiver<bool> {
    watch::channel(true).1
}

fn no_answer(message: &str) -> Report<PlatformError> {
    Report::new(PlatformError::InDoubt {
        system: "store",
        message: message.to_owned(),
    })
}

/// One entry of the key, whose value is `value`.
fn one(key: &str, value: String, revision: Revision) -> Listing {
    let entry = Entry {
        key: key.to_owned(),
        value,
        revision,
    };
    let entries = vec![entry];
    Listing { revision, entries }
}

/// A service whose watches hear nothing of the second write: the first is cut after it, and the
/// later ones wait for a third.
#[derive(Default)]
struct DeafWatches {
    written: Cell<u64>,
    watches: Cell<u32>,
}

#[async_trait(?Send)]
impl Reading for DeafWatches {
    async fn range(&self, _prefix: &str) -> Result<Listing, Report<PlatformError>> {
        let revision = Revision(self.written.get());
        Ok(one(KEY, revision.to_string(), revision))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        self.watches.set(self.watches.get() + 1);
        if self.watches.get() == 1 {
            self.written.set(2);
            return Err(no_answer("reset"));
        }
        hear_nothing(after, wait).await
    }
}

#[derive(Clone, Default)]
struct Seen(Rc<RefCell<Vec<String>>>);

impl Follower for Seen {
    fn listed(&self, listing: Listing, _after_outage: bool) {
        let values = listing.entries.into_iter().map(|entry| entry.value);
        self.0.borrow_mut().extend(values);
    }

    fn changed(&self, events: Vec<WatchEvent>) {
        let values = events.into_iter().filter_map(|event| event.value);
        self.0.borrow_mut().extend(values);
    }
}

/// Seen on a day on which the service forgot its history: a watch that began right after the cut
/// said nothing of the change before it, and the node refused new routes for four seconds.
#[actix_rt::test]
async fn what_a_cut_watch_missed_is_read() {
    let store = Rc::new(DeafWatches::default());
    store.written.set(1);
    let seen = Seen::default();
    let task = task(Rc::new(ReadOnly(store)), RecoverySignal::default());
    let following = follow(task, seen.clone(), always());
    let _ = tokio::time::timeout(Duration::from_secs(1), following).await;
    assert_eq!(*seen.0.borrow(), ["1", "2"]);
}

/// A service that answers nobody until it is let, and then the first reader only.
#[derive(Default)]
struct DownThenUp {
    is_up: Cell<bool>,
    answered: Cell<u32>,
    asked: Cell<u32>,
}

#[async_trait(?Send)]
impl Reading for DownThenUp {
    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>> {
        self.asked.set(self.asked.get() + 1);
        if !self.is_up.get() {
            return Err(no_answer("down"));
        }
        self.answered.set(self.answered.get() + 1);
        Ok(one(prefix, prefix.to_owned(), Revision(1)))
    }

    async fn watch(
        &self,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        hear_nothing(after, wait).await
    }
}

/// Seen in an incident: after an outage a node read the declaration 0.4 s before its engines, and
/// refused what came between.
#[actix_rt::test]
async fn one_follower_that_reaches_the_service_wakes_the_others() {
    let store = Rc::new(DownThenUp::default());
    let (first, second) = (Seen::default(), Seen::default());
    let recovery = RecoverySignal::default();
    for (key, seen) in [("first", &first), ("second", &second)] {
        let store = Rc::new(ReadOnly(store.clone()));
        let mut task = task(store, recovery.clone());
        task.prefix = key.to_owned();
        actix_rt::spawn(follow(task, seen.clone(), always()));
    }
    // Both sit out long pauses.
    actix_rt::time::sleep(Duration::from_millis(900)).await;
    let asked = store.asked.get();
    while store.asked.get() == asked {
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

/// A node that knows nothing refuses everything, so it asks more often than one that does.
#[actix_rt::test]
async fn a_follower_that_has_read_nothing_asks_often() {
    let store = Rc::new(DownThenUp::default());
    let following = Rc::new(ReadOnly(store.clone()));
    let seen = Seen::default();
    let task = task(following, RecoverySignal::default());
    actix_rt::spawn(follow(task, seen, always()));
    actix_rt::time::sleep(Duration::from_secs(5)).await;
    assert!(store.asked.get() >= 22, "asked {} times", store.asked.get());
}

/// A service at which a key changes every few milliseconds.
struct Restless {
    revision: Cell<u64>,
    /// Watches that told a change.
    answered: Cell<u32>,
}

#[async_trait(?Send)]
impl Reading for Restless {
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

const GATHERED: Duration = Duration::from_millis(100);

/// Notes every change, and gathers.
struct Gathering(Rc<RefCell<Vec<u64>>>);

impl Follower for Gathering {
    fn listed(&self, _listing: Listing, _after_outage: bool) {}

    fn changed(&self, events: Vec<WatchEvent>) {
        let revisions = events.iter().map(|event| event.revision.0);
        self.0.borrow_mut().extend(revisions);
    }

    fn gather(&self) -> Duration {
        GATHERED
    }
}

/// Found on the grown sites: each of 66 nodes called once for each change of any of them, 6,732
/// calls in a quiet minute.
#[actix_rt::test]
async fn changes_that_come_together_are_asked_for_together() {
    const CHANGES: u64 = 60;
    let service = Rc::new(Restless {
        revision: Cell::new(0),
        answered: Cell::new(0),
    });
    let seen = Rc::new(RefCell::new(Vec::new()));
    let task = task(
        Rc::new(ReadOnly(Rc::clone(&service))),
        RecoverySignal::default(),
    );
    let following = follow(task, Gathering(Rc::clone(&seen)), always());
    let begun = BootInstant::now();
    let changing = async {
        for _ in 0..CHANGES {
            service.revision.set(service.revision.get() + 1);
            actix_rt::time::sleep(Duration::from_millis(5)).await;
        }
        actix_rt::time::sleep(Duration::from_millis(250)).await;
    };
    tokio::select! {
        () = following => unreachable!("it follows for ever"),
        () = changing => {}
    }
    let all: Vec<u64> = (1..=CHANGES).collect();
    assert_eq!(*seen.borrow(), all, "no change is missed");
    let gathered = begun.elapsed().as_millis() / GATHERED.as_millis();
    let answered = service.answered.get();
    assert!(
        u128::from(answered) <= gathered + 1,
        "{answered} answers in {gathered}"
    );
}

/// A node that listens to a relay makes no calls; when it reads again it reads all, since a watch from
/// the former position may have missed changes.
#[actix_rt::test]
async fn a_follower_that_is_stopped_makes_no_calls_and_then_reads_all() {
    let store = Rc::new(DeafWatches::default());
    store.written.set(1);
    let (sender, reading) = watch::channel(true);
    let seen = Seen::default();
    let task = task(
        Rc::new(ReadOnly(Rc::clone(&store))),
        RecoverySignal::default(),
    );
    actix_rt::spawn(follow(task, seen.clone(), reading));
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

/// Pauses of many nodes after one failure that asks for `asked_ms`, in milliseconds: shortest and longest.
fn pauses(asked_ms: Option<u64>, is_throttled: bool) -> (u128, u128) {
    let asked = asked_ms.map(Duration::from_millis);
    let error = if is_throttled {
        PlatformError::RateLimited {
            system: "store",
            retry_after: asked.unwrap_or_default(),
        }
    } else {
        PlatformError::OutOfService {
            system: "store",
            retry_after: asked,
        }
    };
    let longest = Duration::from_millis(500);
    let pauses = (0..500).map(|_| pause(1, longest, &error).as_millis());
    let pauses: Vec<u128> = pauses.collect();
    let (first, last) = (pauses.iter().min(), pauses.iter().max());
    (*first.expect("some"), *last.expect("some"))
}

/// A service that asks for a time without calls was called again after six tenths of it, and one that is
/// out of service was not asked how long.
#[rstest]
#[case::throttled(Some(300), true, 300, 325)]
#[case::out_of_service(Some(300), false, 300, 325)]
#[case::nothing_asked(None, false, 36, 60)]
#[case::less_than_the_own_pause(Some(10), true, 36, 60)]
#[case::longer_than_a_node_may_be_behind(Some(10_000), false, 300, 500)]
fn no_call_is_made_before_the_service_wants_one(
    #[case] asked_ms: Option<u64>,
    #[case] is_throttled: bool,
    #[case] from_ms: u128,
    #[case] to_ms: u128,
) {
    let (first, last) = pauses(asked_ms, is_throttled);
    assert!(first >= from_ms && last <= to_ms, "{first} to {last} ms");
    assert!(last > first, "nodes do not call in step");
}
