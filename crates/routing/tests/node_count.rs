//! Delay before a lower count of nodes takes effect.

use std::time::Duration;

use dalestand_routing::NodeCount;
use dalestand_types::MonotonicTime;
use rstest::rstest;

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_secs(seconds)
}

/// Arguments: counts with the second at which each was recorded, the second of the query, and the count in effect.
#[rstest]
#[case::none(&[], 5, None)]
#[case::first(&[(0, 9)], 500, Some(9))]
#[case::increase_takes_effect_at_once(&[(0, 6), (1, 9)], 1, Some(9))]
#[case::decrease_is_delayed(&[(0, 9), (10, 6)], 70, Some(9))]
#[case::decrease_after_the_delay(&[(0, 9), (10, 6)], 71, Some(6))]
#[case::repeated_count(&[(0, 9), (10, 6), (40, 6), (80, 6)], 80, Some(6))]
#[case::in_steps(&[(0, 9), (10, 7), (20, 3)], 75, Some(7))]
#[case::recovery_before_the_delay(&[(0, 9), (10, 6), (20, 9)], 200, Some(9))]
#[case::zero_is_one(&[(0, 0)], 0, Some(1))]
fn the_highest_count_of_the_last_minute_is_in_effect(
    #[case] recorded: &[(u64, usize)],
    #[case] query_s: u64,
    #[case] expected: Option<usize>,
) {
    let mut count = NodeCount::default();
    for (second, nodes) in recorded {
        count.set(at(*second), *nodes);
    }
    assert_eq!(count.get(at(query_s)), expected);
}
