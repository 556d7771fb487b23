//! Which of the counts of nodes that were heard holds.

use std::time::Duration;

use dalestand_routing::NodeCount;
use dalestand_types::MonotonicTime;
use rstest::rstest;

fn at(seconds: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_secs(seconds)
}

/// Counts as they were heard, at which second; which one holds at which.
#[rstest]
#[case::none(&[], 5, None)]
#[case::first(&[(0, 9)], 500, Some(9))]
#[case::more_at_once(&[(0, 6), (1, 9)], 1, Some(9))]
#[case::fewer_only_later(&[(0, 9), (10, 6)], 70, Some(9))]
#[case::fewer_in_the_end(&[(0, 9), (10, 6)], 71, Some(6))]
#[case::heard_again_and_again(&[(0, 9), (10, 6), (40, 6), (80, 6)], 80, Some(6))]
#[case::in_steps(&[(0, 9), (10, 7), (20, 3)], 75, Some(7))]
#[case::back_before_it_held(&[(0, 9), (10, 6), (20, 9)], 200, Some(9))]
#[case::zero_is_one(&[(0, 0)], 0, Some(1))]
fn the_highest_count_of_the_last_minute_holds(
    #[case] heard: &[(u64, usize)],
    #[case] asked_s: u64,
    #[case] holds: Option<usize>,
) {
    let mut count = NodeCount::default();
    for (second, nodes) in heard {
        count.set(at(*second), *nodes);
    }
    assert_eq!(count.get(at(asked_s)), holds);
}
