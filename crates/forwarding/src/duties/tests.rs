//! Usage reports, engine orders and stored losses under failing services and changes of lease holder.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use async_trait::async_trait;
use dalestand_duties::{ReportTiming, TenantCounts, UsageWindows, WindowIndex, WindowReport};
use dalestand_edge::duty_calls::ProvisioningModel;
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WriteExpectation,
};
use dalestand_planner::{LossRecord, ZoneEngines};
use dalestand_types::{MonotonicTime, PoolName, Revision, TenantName, ZoneName};
use error_stack::Report;
use proptest::prelude::*;

use super::report_slots::ReportSlots;
use super::scaling::limit_change;
use super::scaling::orders::{DueOrder, EngineOrders, OrderKey, OrderOutcome};
use super::scaling::stored_losses::StoredLosses;

/// Outcome of a write.
#[derive(Clone, Copy, Debug)]
enum WriteOutcome {
    Answered,
    /// The write took effect, but its answer was lost.
    AnswerLost,
    NotDone,
}

/// In-memory key-value service whose calls have the given outcomes, the last one first.
struct FailingStore {
    entries: RefCell<HashMap<String, Entry>>,
    revision: RefCell<u64>,
    outcomes: RefCell<Vec<WriteOutcome>>,
}

impl FailingStore {
    fn new(outcomes: Vec<WriteOutcome>) -> Self {
        Self {
            entries: RefCell::default(),
            revision: RefCell::new(0),
            outcomes: RefCell::new(outcomes),
        }
    }

    fn write(&self, key: &str, expected: WriteExpectation, value: &str) -> CasOutcome {
        let mut entries = self.entries.borrow_mut();
        let current = entries.get(key).cloned();
        let holds = match (&current, expected) {
            (None, WriteExpectation::Absent) => true,
            (Some(current), WriteExpectation::At(revision)) => current.revision == revision,
            _ => false,
        };
        if !holds {
            return CasOutcome::Conflict { current };
        }
        let mut newest = self.revision.borrow_mut();
        *newest += 1;
        let revision = Revision(*newest);
        let entry = Entry {
            key: key.to_owned(),
            value: value.to_owned(),
            revision,
        };
        entries.insert(key.to_owned(), entry);
        CasOutcome::Written { revision }
    }
}

fn in_doubt() -> Report<PlatformError> {
    Report::new(PlatformError::InDoubt {
        system: "store",
        message: "answer lost".to_owned(),
    })
}

#[async_trait(?Send)]
impl KeyValue for FailingStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        match self.outcomes.borrow_mut().pop() {
            Some(WriteOutcome::NotDone | WriteOutcome::AnswerLost) => Err(in_doubt()),
            Some(WriteOutcome::Answered) | None => Ok(self.entries.borrow().get(key).cloned()),
        }
    }

    async fn range(&self, _prefix: &str) -> Result<Listing, Report<PlatformError>> {
        Err(in_doubt())
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        _lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>> {
        let write_outcome = self
            .outcomes
            .borrow_mut()
            .pop()
            .unwrap_or(WriteOutcome::Answered);
        if matches!(write_outcome, WriteOutcome::NotDone) {
            return Err(in_doubt());
        }
        let outcome = self.write(key, expectation, value.unwrap_or_default());
        match write_outcome {
            WriteOutcome::AnswerLost => Err(in_doubt()),
            WriteOutcome::Answered | WriteOutcome::NotDone => Ok(outcome),
        }
    }

    async fn watch(
        &self,
        _prefix: &str,
        _after: Revision,
        _wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>> {
        Err(in_doubt())
    }

    async fn grant_lease(&self, _time: Duration) -> Result<LeaseId, Report<PlatformError>> {
        Err(in_doubt())
    }

    async fn renew_lease(&self, _lease: LeaseId) -> Result<bool, Report<PlatformError>> {
        Err(in_doubt())
    }

    async fn revoke_lease(&self, _lease: LeaseId) -> Result<(), Report<PlatformError>> {
        Err(in_doubt())
    }
}

fn timing() -> ReportTiming {
    ReportTiming {
        windows: UsageWindows::new(Duration::from_secs(5)),
        settle_delay: Duration::from_secs(1),
        deadline: Duration::from_secs(10),
    }
}

fn report(window: u64, requests: u64) -> WindowReport {
    WindowReport {
        window: WindowIndex(window),
        counts: TenantCounts::from([(TenantName::from("tenant"), requests)]),
    }
}

fn write_outcome() -> impl Strategy<Value = WriteOutcome> {
    prop_oneof![
        3 => Just(WriteOutcome::Answered),
        1 => Just(WriteOutcome::AnswerLost),
        1 => Just(WriteOutcome::NotDone),
    ]
}

proptest! {
    /// Lease holders with different counts freeze reports while writes fail: every frozen report of a
    /// window is the same. Guards the compare-and-swap; with unconditional writes this fails.
    #[test]
    fn a_window_has_one_report(
        outcomes in proptest::collection::vec(write_outcome(), 0..60),
        turns in proptest::collection::vec((0_usize..3, 0_u64..6), 1..60),
    ) {
        let store = FailingStore::new(outcomes);
        let mut holders: Vec<ReportSlots> = (0..3).map(|_| ReportSlots::new(timing())).collect();
        let mut sent: HashMap<u64, WindowReport> = HashMap::new();
        let mut newest = 0;
        for (attempt, (holder, window)) in turns.into_iter().enumerate() {
            // Windows are reported in order, and none after its deadline.
            newest = newest.max(window);
            let window = window.max(newest.saturating_sub(2));
            let counted = report(window, attempt as u64);
            let frozen = holders[holder].freeze(&store, counted);
            let frozen = futures_util::FutureExt::now_or_never(frozen)
                .expect("completes without waiting");
            if let Ok(Some(frozen)) = frozen {
                let first = sent.entry(window).or_insert_with(|| frozen.clone());
                prop_assert_eq!(&*first, &frozen);
            }
        }
    }
}

/// A new holder with different counts must send the report that its predecessor stored.
#[test]
fn a_new_holder_sends_the_stored_report() {
    let store = FailingStore::new(vec![WriteOutcome::AnswerLost]);
    let freeze = |slots: &mut ReportSlots, report| {
        let frozen = slots.freeze(&store, report);
        futures_util::FutureExt::now_or_never(frozen).expect("completes without waiting")
    };
    let first = freeze(&mut ReportSlots::new(timing()), report(7, 10));
    assert!(first.is_err(), "the answer was lost");
    let found = freeze(&mut ReportSlots::new(timing()), report(7, 12)).expect("the store answers");
    assert_eq!(found, Some(report(7, 10)));
    // A window whose deadline has passed is not reported.
    let next = freeze(&mut ReportSlots::new(timing()), report(11, 1)).expect("the store answers");
    assert_eq!(next, Some(report(11, 1)));
    let late = freeze(&mut ReportSlots::new(timing()), report(7, 12)).expect("the store answers");
    assert_eq!(late, None);
}

/// Engine counts change by a limited number at a time and reach the target.
#[test]
fn engine_counts_change_in_limited_steps() {
    assert_eq!(limit_change(18, 0, 7), 11);
    assert_eq!(limit_change(18, 36, 7), 25);
    assert_eq!(limit_change(18, 20, 7), 20);
    assert_eq!(limit_change(18, 0, 0), 18);
    let mut count = 750;
    for _ in 0..15 {
        count = limit_change(count, 0, 53);
    }
    assert_eq!(count, 0);
}

/// Outcome of an engine order at the platform.
#[derive(Clone, Copy, Debug)]
enum PlatformOutcome {
    Accepted,
    Refused,
    Unreachable,
    AnswerLost,
    /// Executed this many checks later; the answer is lost.
    Delayed(u64),
}

/// Time between two checks, in milliseconds.
const CHECK_INTERVAL_MS: u64 = 250;
const BOOT_TIME: Duration = Duration::from_secs(4);

/// A platform that holds the engine counts of one zone.
#[derive(Default)]
struct Platform {
    counts: ZoneEngines,
    delayed: Vec<(u64, DueOrder)>,
}

impl Platform {
    fn execute(&mut self, order: &DueOrder) {
        match order.key.provisioning {
            ProvisioningModel::Spot => self.counts.spot = order.count,
            ProvisioningModel::OnDemand => self.counts.on_demand = order.count,
        }
    }

    fn execute_delayed(&mut self, check: u64) {
        let due = self.delayed.extract_if(.., |(at, _)| *at <= check);
        let due: Vec<_> = due.collect();
        due.iter().for_each(|(_, order)| self.execute(order));
    }

    fn order(&mut self, check: u64, order: &DueOrder, outcome: PlatformOutcome) -> OrderOutcome {
        match outcome {
            PlatformOutcome::Accepted => {
                self.execute(order);
                OrderOutcome::Accepted
            }
            PlatformOutcome::Refused => OrderOutcome::Refused,
            PlatformOutcome::Unreachable => OrderOutcome::NoEffect,
            PlatformOutcome::AnswerLost => {
                self.execute(order);
                OrderOutcome::InDoubt
            }
            PlatformOutcome::Delayed(checks) => {
                self.delayed.push((check + checks, order.clone()));
                OrderOutcome::InDoubt
            }
        }
    }
}

fn platform_outcome() -> impl Strategy<Value = PlatformOutcome> {
    prop_oneof![
        3 => Just(PlatformOutcome::Accepted),
        1 => Just(PlatformOutcome::Refused),
        2 => Just(PlatformOutcome::Unreachable),
        1 => Just(PlatformOutcome::AnswerLost),
        2 => (1_u64..56).prop_map(PlatformOutcome::Delayed),
    ]
}

proptest! {
    /// Orders are refused, lost, delayed and reordered, and holders crash before they record an outcome. Once
    /// the platform answers again, it reaches the targets and gets no further orders.
    #[test]
    fn engine_counts_converge_once_the_platform_answers(
        outcomes in proptest::collection::vec(platform_outcome(), 0..40),
        wanted in proptest::collection::vec((0_u32..30, 0_u32..30), 1..8),
        crashes in proptest::collection::btree_set(0_u64..400, 0..4),
    ) {
        let zone = ZoneName::from("zone");
        let (mut platform, mut orders) = (Platform::default(), EngineOrders::default());
        let mut outcomes = outcomes.into_iter();
        let mut last_order_at = 0;
        let last = wanted.last().copied().expect("at least one");
        for check in 0..800_u64 {
            let now = MonotonicTime::from_millis(check * CHECK_INTERVAL_MS);
            platform.execute_delayed(check);
            let (on_demand, spot) = wanted.get(check as usize / 40).copied().unwrap_or(last);
            let targets = BTreeMap::from([(zone.clone(), ZoneEngines { on_demand, spot })]);
            let serving = BTreeMap::from([(zone.clone(), platform.counts)]);
            for due in orders.due(now, &serving, &targets) {
                let outcome = platform.order(
                    check,
                    &due,
                    outcomes.next().unwrap_or(PlatformOutcome::Accepted),
                );
                last_order_at = check;
                if crashes.contains(&check) {
                    // The order was sent, but no holder has a record of it.
                    orders = EngineOrders::default();
                } else {
                    orders.record_outcome(now, due.key, due.count, outcome, BOOT_TIME);
                }
            }
        }
        prop_assert_eq!(platform.counts, ZoneEngines { on_demand: last.0, spot: last.1 });
        prop_assert!(last_order_at < 720, "settled within 100 s of the last change: {}", last_order_at);
    }
}

/// A zone that refuses spot engines is retried after a delay, not at every check.
#[test]
fn a_zone_without_spot_engines_is_retried() {
    let zone = ZoneName::from("zone");
    let mut orders = EngineOrders::default();
    let targets = BTreeMap::from([(
        zone.clone(),
        ZoneEngines {
            on_demand: 0,
            spot: 9,
        },
    )]);
    let mut orders_sent = 0;
    for check in 0..40 {
        let now = MonotonicTime::from_millis(check * CHECK_INTERVAL_MS);
        for due in orders.due(now, &BTreeMap::new(), &targets) {
            orders_sent += 1;
            orders.record_outcome(now, due.key, due.count, OrderOutcome::Refused, BOOT_TIME);
            assert!(orders.spot_unavailable(now).contains(&zone));
        }
    }
    assert_eq!(orders_sent, 5, "every 2 s for 10 s");
}

/// On-demand engines that boot count in a zone that has lost all its engines.
#[test]
fn booting_on_demand_engines_count_where_none_serve() {
    let zone = ZoneName::from("zone");
    let mut orders = EngineOrders::default();
    let provisioning = ProvisioningModel::OnDemand;
    let key = OrderKey {
        zone: zone.clone(),
        provisioning,
    };
    orders.record_outcome(
        MonotonicTime::ZERO,
        key,
        9,
        OrderOutcome::Accepted,
        BOOT_TIME,
    );
    let baseline = BTreeMap::from([(zone.clone(), 15)]);
    let on_demand = orders.provisioned_on_demand(&baseline, &BTreeMap::new());
    assert_eq!(on_demand, BTreeMap::from([(zone, 9)]));
}

/// A new holder knows the losses that its predecessor stored, even if the answer to the write was lost.
#[test]
fn a_new_holder_reads_stored_losses() {
    let store = FailingStore::new(vec![WriteOutcome::AnswerLost]);
    let pool = PoolName::from("pool");
    let poll_once =
        |call| futures_util::FutureExt::now_or_never(call).expect("completes without waiting");
    let record = LossRecord {
        losses: 2,
        zones_at_once: 2,
        missed_s: 9.5,
        observed_s: 60.0,
    };
    store.outcomes.borrow_mut().push(WriteOutcome::Answered);
    let (mut stored, none) =
        poll_once(Box::pin(StoredLosses::read(&store, &pool))).expect("the store answers");
    assert_eq!(none, LossRecord::default());
    let write = futures_util::FutureExt::now_or_never(stored.write(&store, &record));
    assert!(
        write.expect("completes without waiting").is_err(),
        "the answer was lost"
    );
    let (mut stored, found) =
        poll_once(Box::pin(StoredLosses::read(&store, &pool))).expect("the store answers");
    assert_eq!(found, record);
    let more = LossRecord {
        losses: 3,
        ..record
    };
    let write = futures_util::FutureExt::now_or_never(stored.write(&store, &more));
    write
        .expect("completes without waiting")
        .expect("the write succeeds");
    let (_, found) =
        poll_once(Box::pin(StoredLosses::read(&store, &pool))).expect("the store answers");
    assert_eq!(found, more);
}
