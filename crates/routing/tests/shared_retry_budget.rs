//! The budget of repeated sends that all nodes share, and which calls count as repeated.

use std::time::Duration;

use dalestand_routing::staged::EngineKey;
use dalestand_routing::{
    CallCounts, CallOutcome, CallPurpose, SharedRetryBudget, SharedRetryLimits, TenantCode,
};
use dalestand_types::{MonotonicTime, PoolName};
use proptest::prelude::*;
use rstest::rstest;

const LIMITS: SharedRetryLimits = SharedRetryLimits {
    ratio: 0.2,
    slack: 54.0,
    window: Duration::from_secs(10),
    slack_delay: Some(Duration::ZERO),
};

/// The same for processes that may have had a former one.
const LIMITS_WITH_RESTARTS: SharedRetryLimits = SharedRetryLimits {
    slack_delay: None,
    ..LIMITS
};

proptest! {
    /// In every window, all nodes together stay within the ratio of all requests plus the slack.
    #[test]
    fn all_nodes_together_stay_within_the_budget(
        steps in proptest::collection::vec((0_usize..7, 0_u64..400, any::<bool>()), 1..1_500),
    ) {
        let pool = PoolName::from("captions");
        let mut nodes: Vec<SharedRetryBudget> =
            (0..7).map(|_| SharedRetryBudget::new(LIMITS)).collect();
        for node in &mut nodes {
            node.set_nodes(MonotonicTime::ZERO, 7);
        }
        let mut now = MonotonicTime::ZERO;
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for (node, pause_ms, is_request) in steps {
            now = now + Duration::from_millis(pause_ms);
            if is_request {
                nodes[node].record_request(now, &pool, None);
                requests.push(now);
            } else if nodes[node].take(now, &pool, None).is_some() {
                repeats.push(now);
            }
            let within = |times: &[MonotonicTime]| {
                times.iter().filter(|at| now.since(**at) <= LIMITS.window).count() as f64
            };
            let allowed = LIMITS.ratio * within(&requests) + LIMITS.slack;
            prop_assert!(within(&repeats) <= allowed);
        }
    }
}

/// A wrong count of nodes that one node sees for a time.
#[derive(Clone, Debug)]
struct WrongCount {
    node: usize,
    counted: usize,
    from_s: u64,
    for_s: u64,
}

fn wrong_count() -> impl Strategy<Value = WrongCount> {
    let counted = prop_oneof![Just(NODES - 1), Just(NODES / 2), Just(1)];
    (0..NODES, counted, 0_u64..60, 1_u64..30).prop_map(|(node, counted, from_s, for_s)| {
        WrongCount {
            node,
            counted,
            from_s,
            for_s,
        }
    })
}

const NODES: usize = 8;

proptest! {
    /// The budget holds while some nodes see too few others, for example because registrations expired during an outage
    /// of the key-value service.
    #[test]
    fn a_wrong_count_of_nodes_does_not_exceed_the_budget(
        wrong in proptest::collection::vec(wrong_count(), 1..10),
        is_repeat in proptest::collection::vec(proptest::bool::weighted(0.7), 600),
    ) {
        let pool = PoolName::from("captions");
        let mut nodes: Vec<SharedRetryBudget> =
            (0..NODES).map(|_| SharedRetryBudget::new(LIMITS)).collect();
        let mut requests = Vec::new();
        let mut repeats = Vec::new();
        for second in 0..60 {
            let now = MonotonicTime::from_millis(second * 1_000);
            for (number, node) in nodes.iter_mut().enumerate() {
                let counted = wrong.iter().find(|count| {
                    count.node == number
                        && (count.from_s..count.from_s + count.for_s).contains(&second)
                });
                // All nodes see the right count at first.
                let counted = counted.filter(|_| second > 0);
                node.set_nodes(now, counted.map_or(NODES, |count| count.counted));
                for step in 0..10 {
                    let at = (second as usize * 10 + step * 7 + number) % is_repeat.len();
                    if !is_repeat[at] {
                        node.record_request(now, &pool, None);
                        requests.push(now);
                    } else if node.take(now, &pool, None).is_some() {
                        repeats.push(now);
                    }
                }
            }
            let within = |times: &[MonotonicTime]| {
                times.iter().filter(|at| now.since(**at) <= LIMITS.window).count() as f64
            };
            let allowed = LIMITS.ratio * within(&requests) + LIMITS.slack;
            prop_assert!(within(&repeats) <= allowed, "{} of {allowed}", within(&repeats));
        }
    }
}

/// A node that does not know the number of nodes must not use any slack.
#[rstest]
#[case::count_unknown(None, false)]
#[case::single_node(Some(1), false)]
#[case::isolated(Some(8), true)]
fn a_node_without_a_count_has_no_slack(#[case] nodes: Option<usize>, #[case] isolated: bool) {
    let pool = PoolName::from("pool");
    let now = MonotonicTime::from_millis(5_000);
    let mut budget = SharedRetryBudget::new(LIMITS);
    if let Some(nodes) = nodes {
        budget.set_nodes(now, nodes);
    }
    budget.set_isolated(isolated);
    let is_counted = nodes.is_some() && !isolated;
    assert_eq!(budget.take(now, &pool, None).is_some(), is_counted);
}

/// Guards against a restarted node using its part of the slack a second time within a window, and against the use of a
/// count of nodes that was just begun.
#[rstest]
fn a_process_uses_its_part_of_the_slack_a_window_after_its_first_count() {
    let pool = PoolName::from("pool");
    let take_all = |budget: &mut SharedRetryBudget, now| {
        let mut taken = 0;
        while budget.take(now, &pool, None).is_some() {
            taken += 1;
        }
        taken
    };
    let mut before_restart = SharedRetryBudget::new(LIMITS_WITH_RESTARTS);
    before_restart.set_nodes(MonotonicTime::ZERO, 1);
    let start = MonotonicTime::from_millis(30_000);
    let taken_before = take_all(&mut before_restart, start);
    assert!(taken_before > 0);
    let mut budget = SharedRetryBudget::new(LIMITS_WITH_RESTARTS);
    assert_eq!(take_all(&mut budget, start), 0);
    let counted = start + Duration::from_secs(20);
    budget.set_nodes(counted, 1);
    let interval = LIMITS.slack_interval();
    let just_before = counted + (interval - Duration::from_millis(1));
    assert_eq!(take_all(&mut budget, just_before), 0);
    budget.set_nodes(just_before, 1);
    assert_eq!(take_all(&mut budget, counted + interval), taken_before);
}

/// A time in which the same nodes receive all requests, at a constant rate.
#[derive(Clone, Debug)]
struct Phase {
    length_ms: u64,
    /// The nodes that receive the requests: this many from this one on.
    first_node: usize,
    nodes: usize,
    /// Whether engines fail all requests, so that nodes retry as much as they may.
    fails: bool,
    /// Nodes that restart at its start: this many from the first one on.
    restarts: usize,
    /// Whether the engines that are called first read nothing until its end, or that of the last of several such phases.
    /// Their calls are given up and made again at other engines.
    stalls: bool,
}

fn phase(max_restarts: usize) -> impl Strategy<Value = Phase> {
    let nodes = prop_oneof![Just(NODES), 1..=NODES];
    (
        100_u64..8_000,
        0..NODES,
        nodes,
        any::<bool>(),
        0..=max_restarts,
    )
        .prop_map(|(length_ms, first_node, nodes, fails, restarts)| Phase {
            length_ms,
            first_node,
            nodes,
            fails,
            restarts,
            stalls: false,
        })
}

/// A phase at the same nodes, in which engines may stall.
fn stalling_phase(max_restarts: usize) -> impl Strategy<Value = Phase> {
    (phase(max_restarts), any::<bool>()).prop_map(|(phase, stalls)| Phase {
        nodes: NODES,
        first_node: 0,
        stalls,
        ..phase
    })
}

/// Requests of all nodes, and arrivals beyond the first of each.
#[derive(Default)]
struct FleetLoad {
    requests_ms: Vec<u64>,
    repeats_ms: Vec<u64>,
}

/// Time between two requests of the fleet.
const REQUEST_INTERVAL_MS: u64 = 10;

/// Latest arrival of a repeated send.
const MAX_ARRIVAL_MS: u64 = 700;

/// Time from the end of a stall to the first answer of the engines.
const ANSWER_AFTER_STALL: Duration = Duration::from_millis(300);

/// The stalled engines, as one.
const STALLED_ENGINE: EngineKey = EngineKey(1);

/// Calls that were given up at stalled engines and made again elsewhere, by node.
#[derive(Default)]
struct GivenUpCalls {
    by_node: [usize; NODES],
    /// When nodes notice that the engines answer again.
    noticed_at: Option<MonotonicTime>,
}

impl GivenUpCalls {
    /// The engines read all calls at `now`.
    fn end_stall(&mut self, now: MonotonicTime, at_ms: u64, load: &mut FleetLoad) {
        let given_up = std::mem::take(&mut self.by_node);
        let given_up = given_up.iter().sum::<usize>();
        load.repeats_ms.extend((0..given_up).map(|_| at_ms));
        self.noticed_at = Some(now + ANSWER_AFTER_STALL);
    }

    /// Nodes notice the end of a stall by an answer.
    fn notice(&mut self, now: MonotonicTime, nodes: &mut [SharedRetryBudget]) {
        if self.noticed_at.is_none_or(|at| now < at) {
            return;
        }
        self.noticed_at = None;
        for node in nodes {
            node.record_answer(now, STALLED_ENGINE);
        }
    }
}

/// Nodes retry as much as they may through `phases`.
fn play(phases: &[Phase]) -> FleetLoad {
    let pool = PoolName::from("captions");
    let counted = |now| {
        let mut budget = SharedRetryBudget::new(LIMITS_WITH_RESTARTS);
        budget.set_nodes(now, NODES);
        budget
    };
    let mut nodes: Vec<SharedRetryBudget> =
        (0..NODES).map(|_| counted(MonotonicTime::ZERO)).collect();
    let mut load = FleetLoad::default();
    let mut given_up = GivenUpCalls::default();
    let mut at_ms = 0;
    for (index, phase) in phases.iter().enumerate() {
        let now = MonotonicTime::from_millis(at_ms);
        for number in 0..phase.restarts {
            nodes[(phase.first_node + number) % NODES] = counted(now);
        }
        let until_ms = at_ms + phase.length_ms;
        while at_ms < until_ms {
            let now = MonotonicTime::from_millis(at_ms);
            let number = at_ms / REQUEST_INTERVAL_MS;
            let node = (phase.first_node + number as usize % phase.nodes) % NODES;
            nodes[node].record_request(now, &pool, None);
            load.requests_ms.push(at_ms);
            given_up.notice(now, &mut nodes);
            let is_noticed = given_up.noticed_at.is_none();
            let may_give_up = phase.stalls && is_noticed && nodes[node].may_give_up(now, &pool);
            if may_give_up && nodes[node].take(now, &pool, None).is_some() {
                // The retry is the first arrival.
                given_up.by_node[node] += 1;
                nodes[node].record_given_up(now, STALLED_ENGINE, &pool, now);
            }
            while phase.fails && nodes[node].take(now, &pool, None).is_some() {
                let delay_ms = load.repeats_ms.len() as u64 * 97 % (MAX_ARRIVAL_MS + 1);
                load.repeats_ms.push(at_ms + delay_ms);
            }
            at_ms += REQUEST_INTERVAL_MS;
        }
        let stalls_on = phases.get(index + 1).is_some_and(|next| next.stalls);
        if phase.stalls && !stalls_on {
            given_up.end_stall(MonotonicTime::from_millis(at_ms), at_ms, &mut load);
        }
    }
    load.repeats_ms.sort_unstable();
    load
}

/// The window in which most is used of what is allowed: the repeats, and the users' limit. Of the requests, those of the
/// window, of the one before it or of the one half a window earlier count, whichever are most.
fn worst_window(load: &FleetLoad) -> (f64, f64) {
    let window_ms = LIMITS.window.as_millis() as u64;
    let count = |times: &[u64], from_ms: u64| {
        let before = |end_ms| times.partition_point(|at_ms| *at_ms < end_ms);
        before(from_ms + window_ms) - before(from_ms)
    };
    let windows = load.repeats_ms.iter().map(|from_ms| {
        let starts = [
            *from_ms,
            from_ms.saturating_sub(window_ms),
            from_ms.saturating_sub(window_ms / 2),
        ];
        let requests = starts.map(|from_ms| count(&load.requests_ms, from_ms));
        let requests = requests.into_iter().max().unwrap_or_default() as f64;
        let repeats = count(&load.repeats_ms, *from_ms) as f64;
        (repeats, LIMITS.ratio * requests + LIMITS.slack)
    });
    let worst = windows.max_by(|one, other| (one.0 / one.1).total_cmp(&(other.0 / other.1)));
    worst.unwrap_or((0.0, LIMITS.slack))
}

proptest! {
    /// Guards against restarted nodes retrying again what their former processes had retried in the same window.
    #[test]
    fn restarts_do_not_renew_the_budget(
        phases in proptest::collection::vec(phase(NODES), 1..12),
    ) {
        let (repeats, allowed) = worst_window(&play(&phases));
        prop_assert!(repeats <= allowed, "{repeats} of {allowed}");
    }

    /// Guards against callers that move to other nodes taking along what their former nodes have used already.
    #[test]
    fn callers_that_move_do_not_renew_the_budget(
        phases in proptest::collection::vec(phase(0), 1..12),
    ) {
        let (repeats, allowed) = worst_window(&play(&phases));
        prop_assert!(repeats <= allowed, "{repeats} of {allowed}");
    }
}

proptest! {
    /// Guards against calls that were given up at suspended engines arriving together, beside as many other repeated sends
    /// as if they had not, also when engines stall for longer than a window.
    #[test]
    fn calls_that_engines_read_late_stay_within_the_budget(
        phases in proptest::collection::vec(stalling_phase(0), 1..12),
    ) {
        let (repeats, allowed) = worst_window(&play(&phases));
        prop_assert!(repeats <= allowed, "{repeats} of {allowed}");
    }
}

proptest! {
    /// Guards against calls that former processes gave up at suspended engines arriving beside all that the budget allows:
    /// the processes that follow know nothing of them.
    #[test]
    fn calls_read_late_after_restarts_stay_within_the_budget(
        phases in proptest::collection::vec(stalling_phase(NODES), 1..12),
    ) {
        let (repeats, allowed) = worst_window(&play(&phases));
        prop_assert!(repeats <= allowed, "{repeats} of {allowed}");
    }
}

/// The same with engines that are suspended while all nodes restart four times.
#[test]
fn calls_read_late_after_their_nodes_restarted_stay_within_the_budget() {
    let stalling = Phase {
        length_ms: 6_000,
        first_node: 0,
        nodes: NODES,
        fails: false,
        restarts: NODES,
        stalls: true,
    };
    let failing = Phase {
        fails: true,
        restarts: 0,
        ..stalling
    };
    let (repeats, allowed) = worst_window(&play(&[
        stalling.clone(),
        stalling.clone(),
        stalling.clone(),
        stalling,
        failing,
    ]));
    assert!(repeats <= allowed, "{repeats} of {allowed}");
}

/// What the budget cannot pay at once is paid by the requests that follow.
#[test]
fn sends_that_are_charged_are_paid_by_later_requests() {
    let pool = PoolName::from("pool");
    let now = MonotonicTime::from_millis(5_000);
    let mut budget = SharedRetryBudget::new(LIMITS);
    budget.set_nodes(MonotonicTime::ZERO, 50);
    for _ in 0..4 {
        budget.charge(now, &pool);
    }
    let balance = budget.balance(now, &pool);
    assert!(balance.slack == 0.0 && balance.owed > 2.0, "{balance:?}");
    for _ in 0..30 {
        budget.record_request(now, &pool, None);
    }
    let balance = budget.balance(now, &pool);
    assert!(balance.owed == 0.0 && balance.earned > 1.0, "{balance:?}");
}

/// Most of the budget can be used while engines fail continuously.
#[test]
fn a_constant_load_of_failures_uses_most_of_the_budget() {
    let failing = Phase {
        length_ms: 30_000,
        first_node: 0,
        nodes: NODES,
        fails: true,
        restarts: 0,
        stalls: false,
    };
    let (repeats, allowed) = worst_window(&play(&[failing]));
    assert!(repeats >= 0.8 * allowed, "{repeats} of {allowed}");
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

/// Repeated calls of one request, counted from what engines received. The first accepted prefill does not count.
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
    /// The counted calls of all nodes stay within the budget, whatever their order and outcomes.
    #[test]
    fn every_counted_call_is_taken_from_the_budget(
        requests in proptest::collection::vec(
            (0_usize..5, proptest::collection::vec((purpose(), outcome()), 1..7)),
            1..200,
        ),
    ) {
        let pool = PoolName::from("captions");
        let mut nodes: Vec<SharedRetryBudget> =
            (0..5).map(|_| SharedRetryBudget::new(LIMITS)).collect();
        for node in &mut nodes {
            node.set_nodes(MonotonicTime::ZERO, 5);
        }
        let now = MonotonicTime::from_millis(5_000);
        let mut beyond = 0;
        let count = requests.len();
        for (node, calls) in requests {
            let budget = &mut nodes[node];
            budget.record_request(now, &pool, None);
            let mut counts = CallCounts::default();
            let mut made = Vec::new();
            for (purpose, outcome) in calls {
                let is_repeat = counts.is_repeat();
                let taken = if is_repeat {
                    budget.take(now, &pool, None)
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
        let allowed = LIMITS.ratio * count as f64 + LIMITS.slack;
        prop_assert!(beyond as f64 <= allowed, "{beyond} of {allowed}");
    }
}

#[rstest]
#[case::refused_then_run(&[(CallPurpose::Prefill, CallOutcome::NotAccepted), (CallPurpose::Run, CallOutcome::Accepted)], 1)]
#[case::prefilled_then_run(&[(CallPurpose::Prefill, CallOutcome::Accepted), (CallPurpose::Run, CallOutcome::Accepted)], 0)]
#[case::run_refused_then_prefill_refused(&[(CallPurpose::Run, CallOutcome::NotAccepted), (CallPurpose::Prefill, CallOutcome::NotAccepted), (CallPurpose::Run, CallOutcome::Accepted)], 2)]
#[case::prefilled_twice(&[(CallPurpose::Prefill, CallOutcome::Accepted), (CallPurpose::Prefill, CallOutcome::Accepted), (CallPurpose::Run, CallOutcome::Accepted)], 1)]
#[case::nothing_arrived(&[(CallPurpose::Run, CallOutcome::NotDelivered), (CallPurpose::Run, CallOutcome::Accepted)], 0)]
fn counted_calls_of_a_request(
    #[case] calls: &[(CallPurpose, CallOutcome)],
    #[case] expected: usize,
) {
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

const STORMING: TenantCode = TenantCode(1);
const OTHER: TenantCode = TenantCode(2);

/// Repeated sends that a tenant can take at `now`, until it is refused one.
fn take_all(budget: &mut SharedRetryBudget, now: MonotonicTime, tenant: Option<TenantCode>) -> u32 {
    let pool = PoolName::from("pool");
    let mut taken = 0;
    while budget.take(now, &pool, tenant).is_some() {
        taken += 1;
    }
    taken
}

fn budget_with_requests(requests: &[(Option<TenantCode>, u32)]) -> SharedRetryBudget {
    let pool = PoolName::from("pool");
    let now = MonotonicTime::from_millis(5_000);
    let mut budget = SharedRetryBudget::new(LIMITS);
    budget.set_nodes(MonotonicTime::ZERO, 1);
    for (tenant, count) in requests {
        for _ in 0..*count {
            budget.record_request(now, &pool, *tenant);
        }
    }
    budget
}

/// Guards against one tenant using up the budget, so that requests of others cannot be retried.
#[test]
fn a_storming_tenant_leaves_half_of_the_budget_to_the_others() {
    let now = MonotonicTime::from_millis(5_000);
    let others = [2, 3, 4].map(TenantCode);
    let mut requests = vec![(Some(STORMING), 40)];
    requests.extend(others.map(|tenant| (Some(tenant), 2)));
    let mut budget = budget_with_requests(&requests);
    let half = budget.available(now, &PoolName::from("pool")) as u32 / 2;
    let taken = take_all(&mut budget, now, Some(STORMING));
    assert!(taken.abs_diff(half) <= 1, "{taken}, half is {half}");
    let left: u32 = others
        .map(|tenant| take_all(&mut budget, now, Some(tenant)))
        .iter()
        .sum();
    assert!(left + 1 >= half, "{left}, half is {half}");
}

/// Without requests of another tenant within the window nobody needs a reserve.
#[rstest]
#[case::one_tenant(Some(STORMING), &[], 0)]
#[case::no_tenants_declared(None, &[], 0)]
#[case::others_idle_for_a_window(Some(STORMING), &[(Some(OTHER), 2)], 10_001)]
fn without_other_tenants_the_whole_budget_is_used(
    #[case] tenant: Option<TenantCode>,
    #[case] earlier: &[(Option<TenantCode>, u32)],
    #[case] later_ms: u64,
) {
    let pool = PoolName::from("pool");
    let mut budget = budget_with_requests(earlier);
    let now = MonotonicTime::from_millis(5_000 + later_ms);
    budget.record_request(now, &pool, tenant);
    let all = budget.available(now, &pool) as u32;
    assert_eq!(take_all(&mut budget, now, tenant), all);
}
