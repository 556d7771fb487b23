//! The budget of repeated sends that all nodes share.

use std::time::Duration;

use dalestand_routing::{SharedRetryBudget, SharedRetryTerms};
use dalestand_types::{MonotonicTime, PoolName};
use proptest::prelude::*;
use rstest::rstest;

const TERMS: SharedRetryTerms = SharedRetryTerms {
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
            node.set_nodes(7);
        }
        let mut now = MonotonicTime::ZERO;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (node, pause_ms, is_request) in steps {
            now = now + Duration::from_millis(pause_ms);
            if is_request {
                nodes[node].request(now, &pool);
                requests.push(now);
            } else if nodes[node].take(now, &pool) {
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

/// Seen in a hunt: five nodes were stopped and started within ten seconds while engines failed, and
/// each life of a node spent the node's whole part of the slack.
#[rstest]
fn two_lives_of_a_node_spend_one_part_of_the_slack() {
    let pool = PoolName::from("pool");
    let spend = |budget: &mut SharedRetryBudget, now| {
        let mut spent = 0;
        while budget.take(now, &pool) {
            spent += 1;
        }
        spent
    };
    let start = MonotonicTime::from_millis(5_000);
    let mut former = SharedRetryBudget::new(TERMS);
    let spent_before = spend(&mut former, start);
    assert!(spent_before > 0);
    let mut budget = SharedRetryBudget::new(TERMS);
    budget.restarted(start);
    assert_eq!(spend(&mut budget, start + Duration::from_secs(9)), 0);
    let later = start + Duration::from_secs(10);
    assert_eq!(spend(&mut budget, later), spent_before);
}
