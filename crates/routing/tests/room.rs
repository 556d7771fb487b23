//! Admission control of a pool that is short of capacity, at several nodes.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_routing::ClassFigures;
use dalestand_routing::overload::{
    AdmissionOutcome, AdmissionQueue, AdmissionRequest, CapacityFactor, ClassScheduler,
    MIN_CLASS_SHARE, PoolAdmission, PoolLoad, QueueEntry, RetryAfterBounds, RetryAfterSchedule,
    RetryAfterSlot, RoomAccount, ShareStanding, WaiterId,
};
use dalestand_routing::staged::{LatencyEstimate, TimeBounds};
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rstest::rstest;

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);

fn after(milliseconds: u64) -> MonotonicTime {
    NOW + Duration::from_millis(milliseconds)
}

fn figures(asked_per_s: f32, begun_per_s: f32) -> ClassFigures {
    ClassFigures {
        asked_per_s,
        begun_per_s,
        ..ClassFigures::default()
    }
}

/// Places of the test pool: two per slot.
const PLACES: u32 = 400;

/// Places of this node, a tenth of the pool's.
const OWN_PLACES: u32 = 40;

/// A full pool of 20 engines with 10 slots each and a demand of twice its capacity. This node has a tenth of the load.
fn full() -> PoolLoad {
    PoolLoad {
        engines: 20,
        slots: 200,
        taken: PLACES,
        own_taken: OWN_PLACES,
        taken_age: Duration::from_millis(50),
        own: figures(400.0, 200.0),
        all: figures(4_000.0, 2_000.0),
        figures_age: Some(Duration::from_millis(300)),
        nodes: 10,
    }
}

fn account(load: &PoolLoad) -> Option<RoomAccount> {
    RoomAccount::of(load, CapacityFactor::full(NOW))
}

fn request(priority: u8, objective_ms: u64, left_ms: u64) -> AdmissionRequest {
    AdmissionRequest {
        priority,
        standing: ShareStanding::Within,
        bounds: TimeBounds {
            left: Duration::from_millis(left_ms),
            objective: Duration::from_millis(objective_ms),
        },
        expected: LatencyEstimate {
            total_s: 0.1,
            queue_s: 0.0,
        },
        more_urgent_per_s: 0.0,
    }
}

fn entry(priority: u8, standing: ShareStanding, on_time_ms: u64, expires_ms: u64) -> QueueEntry {
    QueueEntry {
        priority,
        standing,
        on_time_until: after(on_time_ms),
        expires_at: after(expires_ms),
    }
}

fn short_pool() -> PoolAdmission {
    let mut admission = PoolAdmission::default();
    admission.update(NOW, &full());
    assert!(admission.is_short());
    admission
}

#[rstest]
#[case::never_heard(PoolLoad { figures_age: None, ..full() })]
#[case::alone(PoolLoad { nodes: 1, ..full() })]
#[case::one_engine(PoolLoad { engines: 1, ..full() })]
#[case::no_slots(PoolLoad { slots: 0, ..full() })]
fn requests_are_not_limited_while_the_load_is_unknown(#[case] load: PoolLoad) {
    assert_eq!(account(&load), None);
    let mut admission = PoolAdmission::default();
    admission.update(NOW, &load);
    let decision = admission.decide(NOW, &request(2, 1_000, 3_000), load.own_taken);
    assert_eq!(decision.outcome, AdmissionOutcome::Ungated);
}

proptest! {
    /// The places of all nodes never exceed the pool's, except for the minimum of one per node.
    #[test]
    fn all_nodes_together_stay_within_the_places(
        nodes in prop::sample::select(vec![5_usize, 70, 986]),
        demands in prop::collection::vec(0.5_f32..50.0, 986),
        slots in 20_u32..5_000,
        taken_share in 0.0_f64..1.2,
    ) {
        let demands = &demands[..nodes];
        let sum: f32 = demands.iter().sum();
        let all_places = f64::from(slots) * f64::from(PLACES) / f64::from(full().slots);
        let taken = (all_places * taken_share) as u32;
        let places: f64 = demands.iter().map(|asked| {
            let part = f64::from(asked / sum);
            let load = PoolLoad {
                engines: 10,
                slots,
                taken,
                own_taken: (f64::from(taken) * part) as u32,
                own: figures(*asked, 0.0),
                all: figures(sum, 0.0),
                nodes,
                ..full()
            };
            account(&load).map_or(0.0, |account| account.own_places)
        }).sum();
        prop_assert!(places <= all_places + nodes as f64 + 1.0, "{places} of {all_places}");
    }

    /// Each waiting class gets its minimum share, however many more urgent classes wait.
    #[test]
    fn no_class_starves(classes in prop::collection::btree_set(0_u8..=255, 1..40)) {
        let waiting: Vec<u8> = classes.into_iter().collect();
        let share = MIN_CLASS_SHARE.min(1.0 / waiting.len() as f64);
        let rounds = 400;
        let mut scheduler = ClassScheduler::default();
        let mut released: BTreeMap<u8, u32> = BTreeMap::new();
        for _ in 0..rounds {
            let next = scheduler.next(&waiting).expect("some wait");
            *released.entry(next).or_default() += 1;
        }
        for class in &waiting {
            let got = f64::from(released.get(class).copied().unwrap_or_default());
            prop_assert!(got >= f64::from(rounds) * share - 2.0, "{class}: {got}");
        }
        prop_assert_eq!(released.values().sum::<u32>(), rounds);
    }

    /// Each request is released exactly once, unless it has expired.
    #[test]
    fn each_request_is_released_once_unless_expired(
        entries in prop::collection::vec((0_u8..4, 0_u64..500, 1_u64..1_000), 1..60),
        at in 0_u64..1_000,
    ) {
        let mut queue = AdmissionQueue::default();
        let mut live = Vec::new();
        for (priority, on_time, expires) in entries {
            let entry = entry(priority, ShareStanding::Within, on_time, expires);
            let waiter = queue.insert(NOW, entry);
            if expires > at {
                live.push(waiter);
            }
        }
        let mut released: Vec<WaiterId> = std::iter::from_fn(|| queue.pop(after(at))).collect();
        released.sort();
        prop_assert_eq!(released, live);
        prop_assert!(queue.is_empty());
    }

    /// Retry slots are assigned no faster than places become free.
    #[test]
    fn retry_slots_stay_below_the_rate_of_free_places(
        freed_per_s in 1.0_f64..2_000.0,
        priorities in prop::collection::vec(0_u8..3, 1..300),
    ) {
        let bounds = RetryAfterBounds { shortest: Duration::from_millis(50), longest: Duration::from_secs(1) };
        let mut schedule = RetryAfterSchedule::default();
        let mut slots = Vec::new();
        let mut sorted = priorities;
        sorted.sort_unstable();
        for priority in sorted {
            if let RetryAfterSlot::After(wait) = schedule.assign(NOW, &"pool", priority, freed_per_s, bounds) {
                slots.push(wait);
            }
        }
        let span = slots.iter().max().copied().unwrap_or_default().saturating_sub(bounds.shortest);
        prop_assert!(slots.len() as f64 <= freed_per_s * span.as_secs_f64() + 1.0);
    }
}

#[rstest]
fn a_retry_does_not_wait_for_all_newer_requests() {
    let mut queue = AdmissionQueue::default();
    for newcomer in 0..20 {
        queue.insert(NOW, entry(2, ShareStanding::Within, 800 + newcomer, 2_700));
    }
    let retry = queue.insert(NOW, entry(2, ShareStanding::Within, 900, 1_700));
    let released: Vec<_> = (0..4).filter_map(|_| queue.pop(NOW)).collect();
    assert_eq!(
        released[3], retry,
        "a quarter of the places goes to the requests with the least time left"
    );
}

#[rstest]
fn the_order_is_by_priority_then_objective_then_share() {
    let mut queue = AdmissionQueue::default();
    let late = queue.insert(NOW, entry(2, ShareStanding::Within, 0, 500));
    let over = queue.insert(NOW, entry(2, ShareStanding::Over, 800, 500));
    let within = queue.insert(NOW, entry(2, ShareStanding::Within, 800, 900));
    let urgent = queue.insert(NOW, entry(0, ShareStanding::Over, 800, 900));
    let released: Vec<_> = std::iter::from_fn(|| queue.pop(NOW)).collect();
    assert_eq!(released, [urgent, within, over, late]);
}

#[rstest]
fn a_request_that_can_no_longer_meet_its_objective_moves_back() {
    let mut queue = AdmissionQueue::default();
    let first = queue.insert(NOW, entry(2, ShareStanding::Within, 100, 2_000));
    let second = queue.insert(NOW, entry(2, ShareStanding::Within, 900, 2_500));
    assert_eq!(queue.pop(after(200)), Some(second));
    assert_eq!(queue.pop(after(200)), Some(first));
}

#[rstest]
fn a_full_pool_queues_requests_and_hands_out_free_places_in_order() {
    let mut admission = short_pool();
    let waits = admission
        .decide(NOW, &request(2, 1_000, 3_000), OWN_PLACES)
        .outcome;
    let urgent = admission
        .decide(NOW, &request(0, 1_000, 3_000), OWN_PLACES)
        .outcome;
    let (AdmissionOutcome::Queued(less, _), AdmissionOutcome::Queued(urgent, _)) = (waits, urgent)
    else {
        panic!("{waits:?} {urgent:?}");
    };
    assert_eq!(admission.release(NOW, OWN_PLACES), None);
    assert_eq!(admission.release(NOW, OWN_PLACES - 1), Some(urgent));
    assert_eq!(
        admission.release(NOW, OWN_PLACES - 1),
        None,
        "its place stays taken until it is sent"
    );
    admission.record_sent();
    assert_eq!(admission.release(NOW, OWN_PLACES - 1), Some(less));
}

#[rstest]
fn a_request_that_cannot_be_served_in_time_is_refused_at_once_with_a_slot() {
    let mut admission = short_pool();
    // Places become free at 200 per second and an answer takes 0.1 s, so 180 requests can be answered within their
    // deadline of one second. Queuing fewer than half of these would leave places unused.
    let outcomes: Vec<AdmissionOutcome> = (0..400)
        .map(|_| {
            admission
                .decide(NOW, &request(2, 1_000, 1_000), OWN_PLACES)
                .outcome
        })
        .collect();
    let waiting = outcomes
        .iter()
        .filter(|outcome| matches!(outcome, AdmissionOutcome::Queued(..)))
        .count();
    assert!((90..=180).contains(&waiting), "{waiting}");
    let AdmissionOutcome::Refused(RetryAfterSlot::After(first)) = outcomes[waiting] else {
        panic!("{:?}", outcomes[waiting]);
    };
    assert!(first < Duration::from_millis(100), "{first:?}");
    let Some(AdmissionOutcome::Refused(RetryAfterSlot::NoneWithin(none))) = outcomes.last() else {
        panic!("{:?}", outcomes.last());
    };
    assert!(
        *none >= Duration::from_millis(333),
        "not shortened to the bound: {none:?}"
    );
    // A more urgent request is still queued.
    let urgent = admission
        .decide(NOW, &request(0, 500, 1_000), OWN_PLACES)
        .outcome;
    assert!(matches!(urgent, AdmissionOutcome::Queued(..)), "{urgent:?}");
}

#[rstest]
fn queued_requests_are_released_once_the_load_is_unknown() {
    let mut admission = short_pool();
    let request = request(2, 1_000, 3_000);
    assert!(matches!(
        admission.decide(NOW, &request, OWN_PLACES).outcome,
        AdmissionOutcome::Queued(..)
    ));
    admission.update(
        after(100),
        &PoolLoad {
            figures_age: None,
            ..full()
        },
    );
    assert!(!admission.is_short());
    assert!(admission.release(after(100), OWN_PLACES).is_some());
}

#[rstest]
fn a_pool_near_its_limit_does_not_flap() {
    let mut admission = short_pool();
    for taken in [PLACES * 85 / 100, PLACES * 88 / 100, PLACES * 75 / 100] {
        let changed = admission.update(after(50), &PoolLoad { taken, ..full() });
        assert!(!changed && admission.is_short(), "{taken}");
    }
    assert!(admission.update(
        after(100),
        &PoolLoad {
            taken: PLACES * 65 / 100,
            ..full()
        }
    ));
    assert!(!admission.is_short());
}

#[rstest]
fn the_capacity_factor_follows_refusals_gradually() {
    let mut factor = CapacityFactor::full(NOW);
    for step in 1..40 {
        factor.update(after(step * 250), 0.3);
    }
    assert_eq!(factor.value(), 0.5, "one request per slot at least");
    factor.update(after(10_250), 0.0);
    assert!((0.5..0.54).contains(&factor.value()));
    let before = factor.value();
    // A clock that steps back changes nothing, and a long pause counts as one second.
    factor.update(NOW, 0.3);
    assert_eq!(factor.value(), before);
    factor.update(after(60_000), 0.0);
    assert!(factor.value() <= before * 1.06);
}

#[rstest]
fn a_more_urgent_caller_gets_the_next_slot() {
    let bounds = RetryAfterBounds {
        shortest: Duration::from_millis(50),
        longest: Duration::from_secs(1),
    };
    let mut schedule = RetryAfterSchedule::default();
    let mut slot = |priority| schedule.assign(NOW, &"pool", priority, 40.0, bounds);
    let ms = |milliseconds| RetryAfterSlot::After(Duration::from_millis(milliseconds));
    assert_eq!(slot(2), ms(50));
    assert_eq!(slot(2), ms(150));
    assert_eq!(slot(0), ms(50));
    assert_eq!(slot(2), ms(350));
}
