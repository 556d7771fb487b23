//! Balance of the stages of a pool's engines.

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

const STEP: Duration = Duration::from_millis(500);

const PROMPTS: StageDemand = StageDemand {
    disaggregated_tokens_per_s: 200_000.0,
    colocated_tokens_per_s: 10_000.0,
};
const TAGS: StageDemand = StageDemand {
    disaggregated_tokens_per_s: 1_000.0,
    colocated_tokens_per_s: 90_000.0,
};

/// Lets the balance decide every half second; yields the changes with their times.
fn play(
    demand: impl Fn(MonotonicTime) -> StageDemand,
    counts: StageCounts,
    steps: usize,
) -> Vec<(MonotonicTime, StageChange)> {
    play_queued(demand, |_| StageQueueTimes::default(), counts, steps)
}

/// The same with queues.
fn play_queued(
    demand: impl Fn(MonotonicTime) -> StageDemand,
    queues: impl Fn(MonotonicTime) -> StageQueueTimes,
    mut counts: StageCounts,
    steps: usize,
) -> Vec<(MonotonicTime, StageChange)> {
    let mut balance = StageBalancer::new(StageBalancerConfig::default());
    let mut now = MonotonicTime::ZERO;
    let mut changes = Vec::new();
    for _ in 0..steps {
        now = now + STEP;
        let shift = balance.decide(now, &demand(now), counts, queues(now), BUSY);
        let Some(StageRebalance { change, engines }) = shift else {
            continue;
        };
        balance.record_order(now, change);
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
#[case::more_prompts(PROMPTS, StageChange::ToPrefill)]
#[case::more_tags(TAGS, StageChange::ToDecode)]
fn engines_follow_a_shift_that_lasts(#[case] demand: StageDemand, #[case] expected: StageChange) {
    let changes = play(|_| demand, EVEN, 40);
    assert!(!changes.is_empty());
    assert!(changes.iter().all(|(_, change)| *change == expected));
}

#[rstest]
fn a_short_wave_changes_nothing() {
    let wave = |now: MonotonicTime| {
        let second = now.since(MonotonicTime::ZERO).as_secs();
        if second.is_multiple_of(2) {
            PROMPTS
        } else {
            TAGS
        }
    };
    assert_eq!(play(wave, EVEN, 60), []);
}

/// Seen on a day of Seberang: a burst of short prompts had just ended, their mean still stood, and an
/// engine that read was taken away as a burst of long prompts began.
#[rstest]
fn a_stage_with_a_queue_gives_no_engine_away() {
    let queues = |_| StageQueueTimes {
        prefill_s: 0.2,
        decode_s: 0.02,
    };
    assert_eq!(play_queued(|_| TAGS, queues, EVEN, 40), []);
}

#[rstest]
fn an_ordered_change_counts_until_the_list_shows_it_or_it_is_lost() {
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
    assert_eq!(play(|_| StageDemand::default(), EVEN, 40), []);
}

/// The pattern of a shift of the demand in a fleet of 9,560 engines. Changed one by one each 1.5 s, a tenth
/// of them would take 24 minutes.
#[rstest]
fn a_large_fleet_follows_a_shift_in_seconds() {
    let mut balance = StageBalancer::new(StageBalancerConfig::default());
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
        let shift = balance.decide(now, &demand, counts, StageQueueTimes::default(), BUSY);
        if let Some(StageRebalance { change, engines }) = shift {
            assert_eq!(change, StageChange::ToPrefill);
            balance.record_order(now, change);
            counts.prefill += engines;
            counts.decode -= engines;
            orders += engines;
        }
    }
    // Both weigh the same: half of the engines are wanted.
    assert!(counts.prefill > 4_700, "{} after {orders}", counts.prefill);
    assert!(counts.prefill <= 4_780, "{} after {orders}", counts.prefill);
}

/// The pattern of a large fleet with few requests, whatever these are: each change has its price, and
/// buys nothing.
#[rstest]
fn a_fleet_that_is_hardly_used_changes_nothing() {
    let mut balance = StageBalancer::new(StageBalancerConfig::default());
    let counts = StageCounts {
        prefill: 3_824,
        decode: 5_736,
    };
    let idle = StageUtilization {
        prefill: 0.03,
        decode: 0.005,
    };
    let mut now = MonotonicTime::ZERO;
    for demand in [PROMPTS, TAGS] {
        for _ in 0..20 {
            now = now + STEP;
            let shift = balance.decide(now, &demand, counts, StageQueueTimes::default(), idle);
            assert_eq!(shift, None);
        }
    }
}

proptest! {
    /// One engine of each stage stays, and changes are spaced, whatever the demand does.
    #[test]
    fn changes_are_spaced_and_leave_one_of_each(
        demands in proptest::collection::vec((0.0..300_000.0_f64, 0.0..300_000.0_f64), 1..30),
        prefill in 1_usize..12,
        decode in 1_usize..12,
    ) {
        let counts = StageCounts { prefill, decode };
        let demand = |now: MonotonicTime| {
            let place = now.since(MonotonicTime::ZERO).as_secs() as usize / 3;
            let (disaggregated, colocated) = demands[place % demands.len()];
            StageDemand { disaggregated_tokens_per_s: disaggregated, colocated_tokens_per_s: colocated }
        };
        let changes = play(demand, counts, 300);
        let config = StageBalancerConfig::default();
        let mut left = counts;
        for (place, (at, change)) in changes.iter().enumerate() {
            match change {
                StageChange::ToPrefill => { left.prefill += 1; left.decode -= 1; }
                StageChange::ToDecode => { left.prefill -= 1; left.decode += 1; }
            }
            prop_assert!(left.prefill >= 1 && left.decode >= 1);
            if let Some((before, last)) = place.checked_sub(1).map(|place| changes[place]) {
                let pause = if last == *change { config.pause } else { config.pause_to_reverse };
                prop_assert!(at.since(before) >= pause);
            }
        }
    }
}
