//! Reports and orders under services that fail, and holders that follow each other.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use async_trait::async_trait;
use dalestand_duties::{ScheduleTerms, TenantCounts, UsageWindows, WindowIndex, WindowReport};
use dalestand_edge::duty_calls::ProvisioningModel;
use dalestand_edge::{
    CasOutcome, Entry, KeyValue, LeaseId, Listing, PlatformError, WatchBatch, WriteExpectation,
};
use dalestand_planner::{LossRecord, ZoneEngines};
use dalestand_types::{MonotonicTime, PoolName, Revision, TenantName, ZoneName};
use error_stack::Report;
use proptest::prelude::*;

use super::report_slots::ReportSlots;
use super::scaling::kept_losses::KeptLosses;
use super::scaling::orders::{DueOrder, EngineOrders, OrderKey, OrderOutcome};
use super::scaling::step;

/// What becomes of a write.
#[derive(Clone, Copy, Debug)]
enum Fate {
    Answered,
    /// Done, and its answer lost.
    AnswerLost,
    NotDone,
}

/// Keys in memory; writes meet the fates in turn.
struct FailingStore {
    entries: RefCell<HashMap<String, Entry>>,
    revision: RefCell<u64>,
    fates: RefCell<Vec<Fate>>,
}

impl FailingStore {
    fn new(fates: Vec<Fate>) -> Self {
        Self {
            entries: RefCell::default(),
            revision: RefCell::new(0),
            fates: RefCell::new(fates),
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
        message: "lost".to_owned(),
    })
}

#[async_trait(?Send)]
impl KeyValue for FailingStore {
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>> {
        match self.fates.borrow_mut().pop() {
            Some(Fate::NotDone | Fate::AnswerLost) => Err(in_doubt()),
            Some(Fate::Answered) | None => Ok(self.entries.borrow().get(key).cloned()),
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
        let fate = self.fates.borrow_mut().pop().unwrap_or(Fate::Answered);
        if matches!(fate, Fate::NotDone) {
            return Err(in_doubt());
        }
        let outcome = self.write(key, expectation, value.unwrap_or_default());
        match fate {
            Fate::AnswerLost => Err(in_doubt()),
            Fate::Answered | Fate::NotDone => Ok(outcome),
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

fn terms() -> ScheduleTerms {
    ScheduleTerms {
        windows: UsageWindows::new(Duration::from_secs(5)),
        settle: Duration::from_secs(1),
        late: Duration::from_secs(10),
    }
}

fn report(window: u64, requests: u64) -> WindowReport {
    WindowReport {
        window: WindowIndex(window),
        counts: TenantCounts::from([(TenantName::from("tenant"), requests)]),
    }
}

fn fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        3 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::NotDone),
    ]
}

proptest! {
    /// Holders that know different counts take turns while writes fail in all ways: whoever may send
    /// a window's report sends the same one. (With a write that has no condition this fails.)
    #[test]
    fn a_window_has_one_report(
        fates in proptest::collection::vec(fate(), 0..60),
        turns in proptest::collection::vec((0_usize..3, 0_u64..6), 1..60),
    ) {
        let store = FailingStore::new(fates);
        let mut holders: Vec<ReportSlots> = (0..3).map(|_| ReportSlots::new(terms())).collect();
        let mut sent: HashMap<u64, WindowReport> = HashMap::new();
        let mut newest = 0;
        for (attempt, (holder, window)) in turns.into_iter().enumerate() {
            // Windows are reported in order, and none that is too late.
            newest = newest.max(window);
            let window = window.max(newest.saturating_sub(2));
            let counted = report(window, attempt as u64);
            let frozen = holders[holder].freeze(&store, counted);
            let frozen = futures_util::FutureExt::now_or_never(frozen).expect("no waiting");
            if let Ok(Some(frozen)) = frozen {
                let first = sent.entry(window).or_insert_with(|| frozen.clone());
                prop_assert_eq!(&*first, &frozen);
            }
        }
    }
}

/// A successor finds what its predecessor wrote, although it counted otherwise.
#[test]
fn a_successor_sends_what_its_predecessor_wrote() {
    let store = FailingStore::new(vec![Fate::AnswerLost]);
    let freeze = |slots: &mut ReportSlots, report| {
        let frozen = slots.freeze(&store, report);
        futures_util::FutureExt::now_or_never(frozen).expect("no waiting")
    };
    let first = freeze(&mut ReportSlots::new(terms()), report(7, 10));
    assert!(first.is_err(), "the answer is lost");
    let found = freeze(&mut ReportSlots::new(terms()), report(7, 12)).expect("an answer");
    assert_eq!(found, Some(report(7, 10)));
    // A window that is past is reported by nobody.
    let next = freeze(&mut ReportSlots::new(terms()), report(11, 1)).expect("an answer");
    assert_eq!(next, Some(report(11, 1)));
    let late = freeze(&mut ReportSlots::new(terms()), report(7, 12)).expect("an answer");
    assert_eq!(late, None);
}

/// Engines come and go a few at a time, and the number that is wanted is reached.
#[test]
fn numbers_of_engines_change_in_steps() {
    assert_eq!(step(18, 0, 7), 11);
    assert_eq!(step(18, 36, 7), 25);
    assert_eq!(step(18, 20, 7), 20);
    assert_eq!(step(18, 0, 0), 18);
    let mut count = 750;
    for _ in 0..15 {
        count = step(count, 0, 53);
    }
    assert_eq!(count, 0);
}

/// What becomes of an order for engines.
#[derive(Clone, Copy, Debug)]
enum OrderFate {
    Taken,
    Refused,
    Away,
    AnswerLost,
    /// Carried out so many looks later, without an answer.
    Late(u64),
}

/// Time between two looks.
const LOOK_MS: u64 = 250;
const BOOT: Duration = Duration::from_secs(4);

/// A platform that keeps numbers of engines of one zone.
#[derive(Default)]
struct Platform {
    counts: ZoneEngines,
    late: Vec<(u64, DueOrder)>,
}

impl Platform {
    fn carry_out(&mut self, order: &DueOrder) {
        match order.key.provisioning {
            ProvisioningModel::Spot => self.counts.spot = order.count,
            ProvisioningModel::OnDemand => self.counts.on_demand = order.count,
        }
    }

    fn pass(&mut self, look: u64) {
        let due = self.late.extract_if(.., |(at, _)| *at <= look);
        let due: Vec<_> = due.collect();
        due.iter().for_each(|(_, order)| self.carry_out(order));
    }

    fn order(&mut self, look: u64, order: &DueOrder, fate: OrderFate) -> OrderOutcome {
        match fate {
            OrderFate::Taken => {
                self.carry_out(order);
                OrderOutcome::Taken
            }
            OrderFate::Refused => OrderOutcome::Refused,
            OrderFate::Away => OrderOutcome::NotSent,
            OrderFate::AnswerLost => {
                self.carry_out(order);
                OrderOutcome::InDoubt
            }
            OrderFate::Late(looks) => {
                self.late.push((look + looks, order.clone()));
                OrderOutcome::InDoubt
            }
        }
    }
}

fn order_fate() -> impl Strategy<Value = OrderFate> {
    prop_oneof![
        3 => Just(OrderFate::Taken),
        1 => Just(OrderFate::Refused),
        2 => Just(OrderFate::Away),
        1 => Just(OrderFate::AnswerLost),
        2 => (1_u64..56).prop_map(OrderFate::Late),
    ]
}

proptest! {
    /// Orders are refused, lost, carried out late and after newer ones, and holders die between order and record:
    /// once the platform answers again, it has what the holder wants, and no more calls go out.
    #[test]
    fn numbers_come_true_once_the_platform_answers(
        fates in proptest::collection::vec(order_fate(), 0..40),
        wanted in proptest::collection::vec((0_u32..30, 0_u32..30), 1..8),
        dies in proptest::collection::btree_set(0_u64..400, 0..4),
    ) {
        let zone = ZoneName::from("zone");
        let (mut platform, mut orders) = (Platform::default(), EngineOrders::default());
        let mut fates = fates.into_iter();
        let mut ordered_at = 0;
        let last = wanted.last().copied().expect("at least one");
        for look in 0..800_u64 {
            let now = MonotonicTime::from_millis(look * LOOK_MS);
            platform.pass(look);
            let (on_demand, spot) = wanted.get(look as usize / 40).copied().unwrap_or(last);
            let targets = BTreeMap::from([(zone.clone(), ZoneEngines { on_demand, spot })]);
            let standing = BTreeMap::from([(zone.clone(), platform.counts)]);
            for due in orders.due(now, &standing, &targets) {
                let outcome = platform.order(look, &due, fates.next().unwrap_or(OrderFate::Taken));
                ordered_at = look;
                if dies.contains(&look) {
                    // The order is out, and nobody knows of it.
                    orders = EngineOrders::default();
                } else {
                    orders.answered(now, due.key, due.count, outcome, BOOT);
                }
            }
        }
        prop_assert_eq!(platform.counts, ZoneEngines { on_demand: last.0, spot: last.1 });
        prop_assert!(ordered_at < 720, "settled within 100 s of the last change: {}", ordered_at);
    }
}

/// A zone that refuses spot engines is asked again, and not at each look.
#[test]
fn a_zone_without_spot_engines_is_asked_again() {
    let zone = ZoneName::from("zone");
    let mut orders = EngineOrders::default();
    let targets = BTreeMap::from([(
        zone.clone(),
        ZoneEngines {
            on_demand: 0,
            spot: 9,
        },
    )]);
    let mut asked = 0;
    for look in 0..40 {
        let now = MonotonicTime::from_millis(look * LOOK_MS);
        for due in orders.due(now, &BTreeMap::new(), &targets) {
            asked += 1;
            orders.answered(now, due.key, due.count, OrderOutcome::Refused, BOOT);
            assert!(orders.without_spot(now).contains(&zone));
        }
    }
    assert_eq!(asked, 5, "each 2 s of 10 s");
}

/// All engines of a zone were taken away, and on-demand engines boot there.
#[test]
fn on_demand_engines_that_boot_count_where_none_stand() {
    let zone = ZoneName::from("zone");
    let mut orders = EngineOrders::default();
    let provisioning = ProvisioningModel::OnDemand;
    let key = OrderKey {
        zone: zone.clone(),
        provisioning,
    };
    orders.answered(MonotonicTime::ZERO, key, 9, OrderOutcome::Taken, BOOT);
    let own = BTreeMap::from([(zone.clone(), 15)]);
    let on_demand = orders.on_demand(&own, &BTreeMap::new());
    assert_eq!(on_demand, BTreeMap::from([(zone, 9)]));
}

/// Losses that one holder kept are known to the next, also where the answer to the write was lost.
#[test]
fn losses_outlive_their_holder() {
    let store = FailingStore::new(vec![Fate::AnswerLost]);
    let pool = PoolName::from("pool");
    let now = |call| futures_util::FutureExt::now_or_never(call).expect("no waiting");
    let record = LossRecord {
        losses: 2,
        zones_at_once: 2,
        missed_s: 9.5,
        observed_s: 60.0,
    };
    store.fates.borrow_mut().push(Fate::Answered);
    let (mut kept, none) = now(Box::pin(KeptLosses::read(&store, &pool))).expect("an answer");
    assert_eq!(none, LossRecord::default());
    let write = futures_util::FutureExt::now_or_never(kept.write(&store, &record));
    assert!(write.expect("no waiting").is_err(), "the answer is lost");
    let (mut kept, found) = now(Box::pin(KeptLosses::read(&store, &pool))).expect("an answer");
    assert_eq!(found, record);
    let more = LossRecord {
        losses: 3,
        ..record
    };
    let write = futures_util::FutureExt::now_or_never(kept.write(&store, &more));
    write.expect("no waiting").expect("written");
    let (_, found) = now(Box::pin(KeptLosses::read(&store, &pool))).expect("an answer");
    assert_eq!(found, more);
}
