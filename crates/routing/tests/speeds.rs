//! What is believed of engines' speeds, by this node's answers and by all nodes'.

use std::time::Duration;

use dalestand_routing::speeds::{EngineRow, EngineSpeeds, PaceKey};
use dalestand_routing::staged::{EngineKey, PoolKey, Stage};
use dalestand_routing::{FitSums, SlownessFigures, WorkKind};
use dalestand_types::{EngineLoadReport, MonotonicTime};
use rstest::rstest;

const POOL: PoolKey = PoolKey(1);
const SLOW: EngineKey = EngineKey(7);
const FAST: EngineKey = EngineKey(8);
const PACE: PaceKey = PaceKey {
    pool: POOL,
    kind: WorkKind::Prefill,
};

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn row(engine: EngineKey, weight: f32, slowness: f32) -> EngineRow {
    EngineRow {
        engine,
        pace: PACE,
        figures: SlownessFigures {
            weight,
            log_slowness: weight * slowness.ln(),
        },
    }
}

/// A node that has just started believes what all nodes have seen, against the usual engine of its pool.
#[rstest]
fn what_all_nodes_have_seen_is_believed_at_once() {
    let mut speeds = EngineSpeeds::default();
    speeds.set_fleet_slowness(&[row(SLOW, 500.0, 1.6), row(FAST, 500.0, 0.4)]);
    let mut seen = FitSums::default();
    for tokens in [0.0, 8_000.0] {
        seen += &FitSums {
            weight: 500.0,
            x: 500.0 * tokens,
            y: 500.0 * (4e-3 + 3e-6 * tokens),
            xx: 500.0 * tokens * tokens,
            xy: 500.0 * tokens * (4e-3 + 3e-6 * tokens),
        };
    }
    assert!(seen.is_sound());
    speeds.set_fleet_paces([(PACE, seen)]);
    let usual_s = speeds.usual_s(POOL, Stage::Prefill, 8_000.0);
    assert!((usual_s - 28e-3).abs() < 1e-4, "{usual_s}");
    // A usual engine is the geometric mean of the two: each is a factor of two away.
    let slow = speeds.slowness(POOL, SLOW, Stage::Prefill);
    assert!((slow - 2.0).abs() < 0.02, "{slow}");
    let fast = speeds.slowness(POOL, FAST, Stage::Prefill);
    assert!((fast - 0.5).abs() < 0.02, "{fast}");
    let new = speeds.slowness(POOL, EngineKey(9), Stage::Prefill);
    assert_eq!(new, 1.0);
}

#[rstest]
fn an_engine_that_started_again_is_unknown() {
    let mut speeds = EngineSpeeds::default();
    for _ in 0..50 {
        speeds.observe_opaque(at(1), POOL, FAST, Duration::from_millis(10));
        speeds.observe_opaque(at(1), POOL, SLOW, Duration::from_millis(60));
    }
    assert!(speeds.opaque_slowness(at(2), POOL, SLOW) > 1.5);
    speeds.forget(SLOW);
    assert_eq!(speeds.opaque_slowness(at(2), POOL, SLOW), 1.0);
}

/// A server that is slow for half a second costs more at once, and no more a few seconds later.
#[rstest]
fn a_short_slowness_counts_while_it_lasts() {
    let mut speeds = EngineSpeeds::default();
    for answer in 0..100 {
        speeds.observe_opaque(at(answer * 50), POOL, FAST, Duration::from_millis(15));
    }
    let usual = speeds.opaque_slowness(at(5_000), POOL, FAST);
    speeds.observe_opaque(at(5_000), POOL, FAST, Duration::from_millis(38));
    assert!(speeds.opaque_slowness(at(5_010), POOL, FAST) > 2.0 * usual);
    assert!(speeds.opaque_slowness(at(8_000), POOL, FAST) < 1.1 * usual);
}

/// Neither times that are none nor a node that was frozen for a long time leave anything behind that is no number.
#[rstest]
#[case::nothing(0.0)]
#[case::below_zero(-1.0)]
#[case::no_number(f64::NAN)]
#[case::endless(f64::INFINITY)]
fn times_that_are_none_are_passed_over(#[case] seen_s: f64) {
    let mut speeds = EngineSpeeds::default();
    speeds.observe(at(1), POOL, SLOW, Stage::Prefill, 100.0, seen_s);
    speeds.observe_ratio(at(1), SLOW, Stage::Prefill, seen_s);
    assert_eq!(speeds.slowness(POOL, SLOW, Stage::Prefill), 1.0);
    assert_eq!(speeds.own_paces().count(), 0);
}

#[rstest]
fn observations_fade_and_a_clock_that_stands_back_brings_none_back() {
    let mut speeds = EngineSpeeds::default();
    speeds.observe_ratio(at(10_000), SLOW, Stage::Prefill, 4.0);
    let first = speeds.own_slowness(at(10_000));
    let earlier = speeds.own_slowness(at(2_000));
    assert_eq!(first, earlier);
    assert!(speeds.own_slowness(at(3_600_000)).is_empty());
    assert_eq!(speeds.slowness(POOL, SLOW, Stage::Prefill), 1.0);
}

#[rstest]
#[case::more_time_than_there_is(FitSums { weight: 1.0, x: 1.0, y: 1e9, xx: 1.0, xy: 1.0 })]
#[case::below_zero(FitSums { weight: -1.0, ..FitSums::default() })]
#[case::no_number(FitSums { weight: f64::NAN, ..FitSums::default() })]
#[case::of_nothing(FitSums { weight: 0.0, x: 1.0, ..FitSums::default() })]
fn paces_that_no_node_can_have_counted_are_unsound(#[case] sums: FitSums) {
    assert!(!sums.is_sound());
}

/// A report counts when it is fresh, with what was sent since; what nodes count stands alone without one.
#[rstest]
fn reported_loads_count_by_their_age() {
    let mut speeds = EngineSpeeds::default();
    assert_eq!(speeds.requests(at(100), SLOW, 3), 3.0);
    let report = EngineLoadReport::new(12, 5, 12, Some(250)).expect("a report");
    speeds.note_report(at(100), SLOW, report);
    speeds.sent(SLOW);
    assert_eq!(speeds.requests(at(100), SLOW, 3), 18.0);
    assert!((speeds.opaque_slowness(at(100), POOL, SLOW) - 2.5).abs() < 1e-9);
    assert!(speeds.requests(at(2_000), SLOW, 3) < 3.1);
    assert!(speeds.opaque_slowness(at(2_000), POOL, SLOW) < 1.1);
}
