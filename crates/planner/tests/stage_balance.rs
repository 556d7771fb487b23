//! Balancing of prefill and decode engines.

use std::time::Duration;

use dalestand_planner::{
    PendingChanges, StageBalancer, StageBalancerConfig, StageChange, StageCounts, StageDemand,
    StageQueueTimes, StageRebalance, StageUtilization,
};
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rstest::rstest;

const BUSY: StageUtilization = StageUtilization {
    prefill: 0.5,
    decode: 0.5,
};

/// Interval between decisions.
const STEP: Duration = Duration::from_millis(500);

const MOSTLY_DISAGGREGATED: StageDemand = StageDemand {
    disaggregated_tokens_per_s: 200_000.0,
    colocated_tokens_per_s: 10_000.0,
};
const MOSTLY_COLOCATED: StageDemand = StageDemand {
    disaggregated_tokens_per_s: 1_000.0,
    colocated_tokens_per_s: 90_000.0,
};

/// Lets the balancer decide once per [`STEP`]. Returns the changes with their times.
fn run(
    demand: impl Fn(MonotonicTime) -> StageDemand,
    counts: StageCounts,
    steps: usize,
) -> Vec<(MonotonicTime, StageChange)> {
    run_with_queues(demand, |_| StageQueueTimes::default(), counts, steps)
}

/// Like [`run`], with queue times.
fn run_with_queues(
    demand: impl Fn(MonotonicTime) -> StageDemand,
    queues: impl Fn(MonotonicTime) -> StageQueueTimes,
    mut counts: StageCounts,
    steps: usize,
) -> Vec<(MonotonicTime, StageChange)> {
    let mut balancer = StageBalancer::new(StageBalancerConfig::default());
    let mut now = MonotonicTime::ZERO;
    let mut changes = Vec::new();
    for _ in 0..steps {
        now = now + STEP;
        let rebalance = balancer.decide(now, &demand(now), counts, queues(now), BUSY);
        let Some(StageRebalance { change, engines }) = rebalance else {
            continue;
        };
        balancer.record_order(now, change);
        changes.push((now, change));
        match change {
            StageChange::ToPrefill => {
                counts.prefill += engines;
                counts.decode -= engines;
            }
            StageChange::ToDecode => {
                counts.prefill -= engines;
                counts.decode += engines;
            }
        }
    }
    changes
}

const EVEN: StageCounts = StageCounts {
    prefill: 5,
    decode: 7,
};

#[rstest]
#[case::more_disaggregated(MOSTLY_DISAGGREGATED, StageChange::ToPrefill)]
#[case::more_colocated(MOSTLY_COLOCATED, StageChange::ToDecode)]
fn engines_follow_a_lasting_shift_of_demand(
    #[case] demand: StageDemand,
    #[case] expected: StageChange,
) {
    let changes = run(|_| demand, EVEN, 40);
    assert!(!changes.is_empty());
    assert!(changes.iter().all(|(_, change)| *change == expected));
}

#[rstest]
fn short_oscillations_of_demand_change_nothing() {
    let oscillation = |now: MonotonicTime| {
        let second = now.since(MonotonicTime::ZERO).as_secs();
        if second.is_multiple_of(2) {
            MOSTLY_DISAGGREGATED
        } else {
            MOSTLY_COLOCATED
        }
    };
    assert_eq!(run(oscillation, EVEN, 60), []);
}

/// The averaged demand lags a burst of prompts: a stage whose queue is already growing must keep its
/// engines.
#[rstest]
fn a_stage_with_a_queue_keeps_its_engines() {
    let queues = |_| StageQueueTimes {
        prefill_s: 0.2,
        decode_s: 0.02,
    };
    assert_eq!(run_with_queues(|_| MOSTLY_COLOCATED, queues, EVEN, 40), []);
}

#[rstest]
fn an_ordered_change_is_pending_until_it_is_refused_or_times_out() {
    let now = MonotonicTime::from_millis(1_000);
    let mut changes = PendingChanges::default();
    changes.record_order(now, 1, StageChange::ToPrefill);
    changes.record_order(now, 2, StageChange::ToDecode);
    changes.remove(2);
    assert_eq!(changes.get(now, 1), Some(StageChange::ToPrefill));
    assert_eq!(changes.get(now, 2), None);
    let later = now + Duration::from_secs(5);
    assert_eq!(changes.get(later, 1), None);
    changes.remove_expired(later);
    assert_eq!(changes.get(now, 1), None);
}

#[rstest]
fn nothing_is_decided_without_demand() {
    assert_eq!(run(|_| StageDemand::default(), EVEN, 40), []);
}

/// A shift of demand in a fleet of 9,560 engines must not be followed one engine at a time.
#[rstest]
fn a_large_fleet_follows_a_shift_of_demand_within_seconds() {
    let mut balancer = StageBalancer::new(StageBalancerConfig::default());
    let mut counts = StageCounts {
        prefill: 3_824,
        decode: 5_736,
    };
    let demand = StageDemand {
        disaggregated_tokens_per_s: 20e6,
        colocated_tokens_per_s: 10e6,
    };
    let mut orders = 0;
    let mut now = MonotonicTime::ZERO;
    for _ in 0..80 {
        now = now + STEP;
        let rebalance = balancer.decide(now, &demand, counts, StageQueueTimes::default(), BUSY);
        if let Some(StageRebalance { change, engines }) = rebalance {
            assert_eq!(change, StageChange::ToPrefill);
            balancer.record_order(now, change);
            counts.prefill += engines;
            counts.decode -= engines;
            orders += engines;
        }
    }
    // Colocated prompts cost twice as much, so both demands are equal and half of the engines prefill.
    assert!(counts.prefill > 4_700, "{} after {orders}", counts.prefill);
    assert!(counts.prefill <= 4_780, "{} after {orders}", counts.prefill);
}

/// Changes at low utilization cost availability without reducing queueing.
#[rstest]
fn an_idle_fleet_changes_nothing() {
    let mut balancer = StageBalancer::new(StageBalancerConfig::default());
    let counts = StageCounts {
        prefill: 3_824,
        decode: 5_736,
    };
    let idle = StageUtilization {
        prefill: 0.03,
        decode: 0.005,
    };
    let mut now = MonotonicTime::ZERO;
    for demand in [MOSTLY_DISAGGREGATED, MOSTLY_COLOCATED] {
        for _ in 0..20 {
            now = now + STEP;
            let rebalance = balancer.decide(now, &demand, counts, StageQueueTimes::default(), idle);
            assert_eq!(rebalance, None);
        }
    }
}

proptest! {
    #[test]
    fn changes_are_spaced_and_leave_an_engine_of_each_stage(
        demands in proptest::collection::vec((0.0..300_000.0_f64, 0.0..300_000.0_f64), 1..30),
        prefill in 1_usize..12,
        decode in 1_usize..12,
    ) {
        let counts = StageCounts { prefill, decode };
        let demand = |now: MonotonicTime| {
            let index = now.since(MonotonicTime::ZERO).as_secs() as usize / 3;
            let (disaggregated, colocated) = demands[index % demands.len()];
            StageDemand { disaggregated_tokens_per_s: disaggregated, colocated_tokens_per_s: colocated }
        };
        let changes = run(demand, counts, 300);
        let config = StageBalancerConfig::default();
        let mut left = counts;
        for (index, (at, change)) in changes.iter().enumerate() {
            match change {
                StageChange::ToPrefill => { left.prefill += 1; left.decode -= 1; }
                StageChange::ToDecode => { left.prefill -= 1; left.decode += 1; }
            }
            prop_assert!(left.prefill >= 1 && left.decode >= 1);
            if let Some((before, last)) = index.checked_sub(1).map(|index| changes[index]) {
                let pause = if last == *change { config.pause } else { config.pause_to_reverse };
                prop_assert!(at.since(before) >= pause);
            }
        }
    }
}
