//! Priority ageing, retry budgets and tenant limits.

use std::time::Duration;

use dalestand_routing::{
    FailedAttempt, FailureKind, RetryBudget, RetryBudgetConfig, RetryDecision, TenantDemand,
    TenantLimits, TenantRule, TenantTotals, aged_priority, summing_node,
};
use dalestand_types::{MonotonicTime, NodeId, Priority, TenantName};
use rstest::rstest;

const RULE: TenantRule = TenantRule {
    tokens_per_second: 10_000,
    burst_tokens: 20_000,
};

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

#[test]
fn a_waiting_request_eventually_overtakes_more_important_ones() {
    let waited = Duration::from_secs(30);
    assert!(aged_priority(Priority(1), waited) > Priority(6));
    assert_eq!(aged_priority(Priority(1), Duration::ZERO), Priority(1));
    let longest = Duration::from_secs(1 << 40);
    assert_eq!(aged_priority(Priority(250), longest), Priority(255));
}

fn failed(kind: FailureKind, repeatable: bool, retries: u32) -> FailedAttempt {
    FailedAttempt {
        kind,
        repeatable,
        retries,
    }
}

#[rstest]
#[case::not_sent(failed(FailureKind::NotSent, false, 0), RetryDecision::Retry)]
#[case::refused(failed(FailureKind::Refused, false, 1), RetryDecision::Retry)]
#[case::sent(failed(FailureKind::MayHaveRun, false, 0), RetryDecision::MayHaveRun)]
#[case::sent_and_repeatable(failed(FailureKind::MayHaveRun, true, 0), RetryDecision::Retry)]
#[case::too_many_retries(
    failed(FailureKind::Refused, true, 2),
    RetryDecision::RequestLimitReached
)]
fn a_retry_depends_on_what_is_known_of_the_attempt(
    #[case] attempt: FailedAttempt,
    #[case] decision: RetryDecision,
) {
    let mut budget = RetryBudget::new(RetryBudgetConfig::default());
    assert_eq!(budget.decide(&attempt), decision);
}

#[test]
fn retries_are_bounded_when_a_group_fails() {
    let mut budget = RetryBudget::new(RetryBudgetConfig::default());
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_first_attempt();
        for retry in 0..2 {
            let attempt = failed(FailureKind::NotSent, true, retry);
            if budget.decide(&attempt) == RetryDecision::Retry {
                retries += 1;
            }
        }
    }
    assert!(retries <= 1_000 + 20, "{retries} retries of 10000 requests");
}

/// Tokens admitted by each node. Nodes exchange demands once a second, and each gets a demand of `per_second` tokens.
fn admitted_tokens(per_second: &[u64], seconds: u64) -> Vec<u64> {
    let tenant = TenantName::from("archive");
    let names: Vec<NodeId> = (0..per_second.len())
        .map(|number| NodeId::from(format!("node-{number}")))
        .collect();
    let mut nodes = vec![TenantLimits::new(100, per_second.len()); per_second.len()];
    let mut totals = TenantTotals::default();
    let mut admitted = vec![0; per_second.len()];
    for tick in 0..seconds * 10 {
        let now = at(tick * 100);
        for (node, asked) in per_second.iter().enumerate() {
            let tokens = asked / 10;
            if tokens > 0 && nodes[node].admit(now, &tenant, &RULE, tokens).is_ok() {
                admitted[node] += tokens;
            }
        }
        if tick % 10 == 9 {
            for (node, limits) in nodes.iter_mut().enumerate() {
                let demands = limits.demands(now, 64);
                let sums = totals.report(now, &names[node], &demands);
                limits.observe_totals(now, &sums);
            }
        }
    }
    admitted
}

#[rstest]
#[case::one_node(&[40_000])]
#[case::two_nodes(&[40_000, 40_000])]
#[case::uneven(&[90_000, 1_000, 1_000, 1_000])]
#[case::many(&[5_000; 20])]
fn a_tenant_gets_exactly_its_limit_over_all_nodes(#[case] per_second: &[u64]) {
    let seconds = 120;
    let admitted: u64 = admitted_tokens(per_second, seconds).iter().sum();
    let limit = RULE.tokens_per_second * seconds;
    let share = admitted as f64 / limit as f64;
    assert!((0.9..1.1).contains(&share), "{share} of the limit");
}

#[test]
fn a_tenant_within_its_limit_is_not_limited() {
    let admitted = admitted_tokens(&[3_000, 3_000, 2_000], 60);
    let all: u64 = admitted.iter().sum();
    assert!(all >= 8_000 * 60 * 98 / 100, "{all} tokens admitted");
}

#[test]
fn a_refused_tenant_is_admitted_after_the_retry_delay() {
    let tenant = TenantName::from("archive");
    let mut limits = TenantLimits::new(10, 1);
    let mut now = at(0);
    let wait = loop {
        match limits.admit(now, &tenant, &RULE, 1_000) {
            Ok(()) => now = now + Duration::from_millis(1),
            Err(wait) => break wait,
        }
    };
    let retry_at = now + wait + Duration::from_millis(1);
    assert_eq!(limits.admit(retry_at, &tenant, &RULE, 1_000), Ok(()));
}

#[test]
fn memory_is_bounded_with_fifteen_thousand_tenants() {
    let mut limits = TenantLimits::new(2_000, 380);
    let mut totals = TenantTotals::default();
    let node = NodeId::from("node");
    for number in 0..15_000_u64 {
        let tenant = TenantName::from(format!("tenant-{number}"));
        let _ = limits.admit(at(number * 10), &tenant, &RULE, 100);
        if number % 100 == 0 {
            let demands = limits.demands(at(number * 10), 64);
            assert!(demands.len() <= 64);
            totals.report(at(number * 10), &node, &demands);
            totals.forget_silent(at(number * 10));
        }
    }
    assert!(limits.len() <= 2_000);
    assert!(totals.len() <= 2_000);
}

#[test]
fn all_nodes_agree_on_the_summing_node_and_tenants_are_spread() {
    let nodes: Vec<NodeId> = (0..10)
        .map(|number| NodeId::from(format!("node-{number}")))
        .collect();
    let mut reversed = nodes.clone();
    reversed.reverse();
    let mut counts = vec![0; nodes.len()];
    for number in 0..1_000 {
        let tenant = TenantName::from(format!("tenant-{number}"));
        let chosen = summing_node(&tenant, &nodes).expect("there are nodes");
        assert_eq!(Some(chosen), summing_node(&tenant, &reversed));
        let index = nodes.iter().position(|node| node == chosen);
        counts[index.expect("one of them")] += 1;
    }
    assert!(
        counts.iter().all(|count| (50..200).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn a_total_of_an_unknown_tenant_is_ignored() {
    let mut limits = TenantLimits::new(10, 1);
    let total = TenantDemand {
        tenant: TenantName::from("nobody"),
        tokens_per_s: 1.0,
    };
    limits.observe_totals(at(0), &[total]);
    assert!(limits.is_empty());
}
