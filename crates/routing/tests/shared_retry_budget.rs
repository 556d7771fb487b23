//! The budget of repeated sends that all nodes share.

use std::time::Duration;

use dalestand_routing::{
    CallCounts, CallOutcome, CallPurpose, SharedRetryBudget, SharedRetryLimits,
};
use dalestand_types::{MonotonicTime, PoolName};
use proptest::prelude::*;
use rstest::rstest;

const TERMS: SharedRetryLimits = SharedRetryLimits {
    ratio: 0.2,
    slack: 54.0,
    window: Duration::from_secs(10),
};

proptest! {
    /// Whatever each node does at whatever time, all nodes together stay within the ratio of all
    /// requests and the slack, in every window.
    #[test]
    fn all_nodes_together_stay_within_the_budget(
        steps in proptest::collection::vec((0_usize..7, 0_u64..400, any::<bool>()), 1..1_500),
    ) {
        let pool = PoolName::from("captions");
        let mut nodes: Vec<SharedRetryBudget> =
            (0..7).map(|_| SharedRetryBudget::new(TERMS)).collect();
        for node in &mut nodes {
            node.set_nodes(MonotonicTime::ZERO, 7);
        }
        let mut now = MonotonicTime::ZERO;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (node, pause_ms, is_request) in steps {
            now = now + Duration::from_millis(pause_ms);
            if is_request {
                nodes[node].request(now, &pool);
                requests.push(now);
            } else if nodes[node].take(now, &pool).is_some() {
                repeats.push(now);
            }
            let within = |times: &[MonotonicTime]| {
                times.iter().filter(|at| now.since(**at) <= TERMS.window).count() as f64
            };
            let allowed = TERMS.ratio * within(&requests) + TERMS.slack;
            prop_assert!(within(&repeats) <= allowed);
        }
    }
}

/// A count of nodes that some of them hear for a time, instead of the right one.
#[derive(Clone, Debug)]
struct WrongCount {
    hears: usize,
    counted: usize,
    from_s: u64,
    for_s: u64,
}

fn wrong_count() -> impl Strategy<Value = WrongCount> {
    let counted = prop_oneof![Just(NODES - 1), Just(NODES / 2), Just(1)];
    (0..NODES, counted, 0_u64..60, 1_u64..30).prop_map(|(hears, counted, from_s, for_s)| {
        WrongCount {
            hears,
            counted,
            from_s,
            for_s,
        }
    })
}

const NODES: usize = 8;

proptest! {
    /// Nodes that take others for gone, whose entries lapsed while the key-value service was away, stay within the
    /// budget with those that are there all the same: wrong by one, by half, or alone.
    #[test]
    fn a_wrong_count_of_nodes_spends_no_more(
        wrong in proptest::collection::vec(wrong_count(), 1..10),
        is_repeat in proptest::collection::vec(proptest::bool::weighted(0.7), 600),
    ) {
        let pool = PoolName::from("captions");
        let mut nodes: Vec<SharedRetryBudget> =
            (0..NODES).map(|_| SharedRetryBudget::new(TERMS)).collect();
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for second in 0..60 {
            let now = MonotonicTime::from_millis(second * 1_000);
            for (number, node) in nodes.iter_mut().enumerate() {
                let counted = wrong.iter().find(|one| {
                    one.hears == number
                        && (one.from_s..one.from_s + one.for_s).contains(&second)
                });
                // All nodes hear the right count at first.
                let counted = counted.filter(|_| second > 0);
                node.set_nodes(now, counted.map_or(NODES, |one| one.counted));
                for place in 0..10 {
                    let at = (second as usize * 10 + place * 7 + number) % is_repeat.len();
                    if !is_repeat[at] {
                        node.request(now, &pool);
                        requests.push(now);
                    } else if node.take(now, &pool).is_some() {
                        repeats.push(now);
                    }
                }
            }
            let within = |times: &[MonotonicTime]| {
                times.iter().filter(|at| now.since(**at) <= TERMS.window).count() as f64
            };
            let allowed = TERMS.ratio * within(&requests) + TERMS.slack;
            prop_assert!(within(&repeats) <= allowed, "{} of {allowed}", within(&repeats));
        }
    }
}

/// A node that does not know how many there are takes no part of what they share.
#[rstest]
#[case::never_told(None, false)]
#[case::alone(Some(1), false)]
#[case::hears_nobody(Some(8), true)]
fn a_node_without_a_count_has_no_slack(#[case] nodes: Option<usize>, #[case] cut_off: bool) {
    let pool = PoolName::from("pool");
    let now = MonotonicTime::from_millis(5_000);
    let mut budget = SharedRetryBudget::new(TERMS);
    if let Some(nodes) = nodes {
        budget.set_nodes(now, nodes);
    }
    budget.set_isolated(cut_off);
    let is_counted = nodes.is_some() && !cut_off;
    assert_eq!(budget.take(now, &pool).is_some(), is_counted);
}

/// Seen in a hunt: five nodes were stopped and started within ten seconds while engines failed, and
/// each life of a node spent the node's whole part of the slack.
#[rstest]
fn two_lives_of_a_node_spend_one_part_of_the_slack() {
    let pool = PoolName::from("pool");
    let spend = |budget: &mut SharedRetryBudget, now| {
        let mut spent = 0;
        while budget.take(now, &pool).is_some() {
            spent += 1;
        }
        spent
    };
    let start = MonotonicTime::from_millis(5_000);
    let mut former = SharedRetryBudget::new(TERMS);
    former.set_nodes(MonotonicTime::ZERO, 1);
    let spent_before = spend(&mut former, start);
    assert!(spent_before > 0);
    let mut budget = SharedRetryBudget::new(TERMS);
    budget.set_nodes(MonotonicTime::ZERO, 1);
    budget.note_restart(start);
    assert_eq!(spend(&mut budget, start + Duration::from_secs(9)), 0);
    let later = start + Duration::from_secs(10);
    assert_eq!(spend(&mut budget, later), spent_before);
}

fn purpose() -> impl Strategy<Value = CallPurpose> {
    prop_oneof![Just(CallPurpose::Prefill), Just(CallPurpose::Run)]
}

fn outcome() -> impl Strategy<Value = CallOutcome> {
    prop_oneof![
        1 => Just(CallOutcome::Accepted),
        3 => Just(CallOutcome::NotAccepted),
        1 => Just(CallOutcome::NotDelivered),
    ]
}

/// Calls of one request beyond the first, counted as the users do from what engines saw: the first prefill
/// that is taken up is left out.
fn beyond_the_first(calls: &[(CallPurpose, CallOutcome)]) -> usize {
    let arrived = calls
        .iter()
        .filter(|(_, outcome)| *outcome != CallOutcome::NotDelivered);
    let is_prefilled = calls.contains(&(CallPurpose::Prefill, CallOutcome::Accepted));
    arrived
        .count()
        .saturating_sub(usize::from(is_prefilled) + 1)
}

proptest! {
    /// Whatever calls the requests of all nodes make, in any order and however they come out, those that
    /// count stay within what is allowed, and a budget that is there is used.
    #[test]
    fn every_call_that_counts_is_taken_from_the_budget(
        requests in proptest::collection::vec(
            (0_usize..5, proptest::collection::vec((purpose(), outcome()), 1..7)),
            1..200,
        ),
    ) {
        let pool = PoolName::from("captions");
        let mut nodes: Vec<SharedRetryBudget> =
            (0..5).map(|_| SharedRetryBudget::new(TERMS)).collect();
        for node in &mut nodes {
            node.set_nodes(MonotonicTime::ZERO, 5);
        }
        let now = MonotonicTime::from_millis(5_000);
        let mut beyond = 0;
        let count = requests.len();
        for (node, calls) in requests {
            let budget = &mut nodes[node];
            budget.request(now, &pool);
            let mut counts = CallCounts::default();
            let mut made = Vec::new();
            for (purpose, outcome) in calls {
                let is_repeat = counts.is_repeat();
                let taken = if is_repeat {
                    budget.take(now, &pool)
                } else {
                    None
                };
                if is_repeat && taken.is_none() {
                    break;
                }
                made.push((purpose, outcome));
                let is_free = counts.record(purpose, outcome);
                if let Some(send) = taken.filter(|_| is_free) {
                    budget.give_back(&pool, send);
                }
            }
            beyond += beyond_the_first(&made);
        }
        let allowed = TERMS.ratio * count as f64 + TERMS.slack;
        prop_assert!(beyond as f64 <= allowed, "{beyond} of {allowed}");
    }
}

#[rstest]
#[case::refused_then_run(&[(CallPurpose::Prefill, CallOutcome::NotAccepted), (CallPurpose::Run, CallOutcome::Accepted)], 1)]
#[case::prefilled_then_run(&[(CallPurpose::Prefill, CallOutcome::Accepted), (CallPurpose::Run, CallOutcome::Accepted)], 0)]
#[case::run_refused_then_prefill_refused(&[(CallPurpose::Run, CallOutcome::NotAccepted), (CallPurpose::Prefill, CallOutcome::NotAccepted), (CallPurpose::Run, CallOutcome::Accepted)], 2)]
#[case::prefilled_twice(&[(CallPurpose::Prefill, CallOutcome::Accepted), (CallPurpose::Prefill, CallOutcome::Accepted), (CallPurpose::Run, CallOutcome::Accepted)], 1)]
#[case::nothing_arrived(&[(CallPurpose::Run, CallOutcome::NotDelivered), (CallPurpose::Run, CallOutcome::Accepted)], 0)]
fn calls_that_are_taken(#[case] calls: &[(CallPurpose, CallOutcome)], #[case] expected: usize) {
    let mut counts = CallCounts::default();
    let mut taken = 0;
    for (purpose, outcome) in calls {
        let is_repeat = counts.is_repeat();
        let is_free = counts.record(*purpose, *outcome);
        taken += usize::from(is_repeat && !is_free);
    }
    assert_eq!(taken, expected);
    assert_eq!(taken, beyond_the_first(calls));
}
