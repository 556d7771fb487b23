//! Refusal of requests that would miss their objective because of queues, and response timeouts.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;

use dalestand_routing::staged::{
    EngineKey, EnginePool, LatencyEstimate, LinkQueue, PromptPart, PromptPlan, Stage, StagedEngine,
    StagedRequest, StagedRouter, TimeBounds, rejection_retry_after, response_timeout,
};
use dalestand_types::{MonotonicTime, ZoneName};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const OBJECTIVE: Duration = Duration::from_millis(400);
const DEADLINE: Duration = Duration::from_secs(4);
const PROMPT_TOKENS: u32 = 2_000;
const ENGINES: usize = 4;
const RUN: Duration = Duration::from_secs(30);

fn bounds(left_ms: u64, objective_ms: u64) -> TimeBounds {
    TimeBounds {
        left: Duration::from_millis(left_ms),
        objective: Duration::from_millis(objective_ms),
    }
}

fn expected(whole_ms: u64, queue_ms: u64) -> LatencyEstimate {
    LatencyEstimate {
        total_s: whole_ms as f64 / 1_000.0,
        queue_s: queue_ms as f64 / 1_000.0,
    }
}

#[rstest]
#[case::in_time(expected(150, 100), bounds(2_000, 200), false)]
#[case::late_because_of_queues(expected(400, 350), bounds(2_000, 200), true)]
#[case::late_without_queues(expected(900, 50), bounds(5_000, 500), false)]
#[case::late_without_queues_and_behind_a_long_one(expected(1_500, 600), bounds(5_000, 500), true)]
#[case::past_its_deadline(expected(1_900, 20), bounds(2_000, 200), true)]
#[case::without_an_objective(expected(900, 800), bounds(2_000, 0), false)]
fn a_request_is_refused_where_queues_make_it_late(
    #[case] expected: LatencyEstimate,
    #[case] bounds: TimeBounds,
    #[case] refused: bool,
) {
    assert_eq!(rejection_retry_after(expected, bounds).is_some(), refused);
}

#[rstest]
fn a_link_queue_drains_over_time() {
    let mut link = LinkQueue::default();
    let at = MonotonicTime::from_millis;
    link.push(at(100), Duration::from_millis(30));
    link.push(at(110), Duration::from_millis(30));
    assert_eq!(link.wait(at(110)), Duration::from_millis(50));
    assert_eq!(link.wait(at(200)), Duration::ZERO);
    link.push(at(200), Duration::from_millis(5));
    assert_eq!(link.wait(at(200)), Duration::from_millis(5));
    let link_s = Duration::from_millis(500).as_secs_f64();
    let delayed = expected(40, 0).with_added_queue(link_s);
    assert!(rejection_retry_after(delayed, bounds(2_000, 400)).is_some());
}

proptest! {
    /// A request is never refused without a queue, because only responses can correct a wrong estimate.
    #[test]
    fn nothing_is_refused_at_an_idle_engine(
        own_ms in 0_u64..10_000,
        left_ms in 1_u64..5_000,
        objective_ms in 1_u64..1_000,
    ) {
        prop_assert_eq!(rejection_retry_after(expected(own_ms, 0), bounds(left_ms, objective_ms)), None);
    }

    /// A longer queue never turns a refusal into an admission, and the retry delay is shorter than the time left.
    #[test]
    fn refusals_grow_with_the_queue(
        own_ms in 0_u64..1_000,
        queue_ms in 0_u64..5_000,
        more_ms in 0_u64..5_000,
        left_ms in 300_u64..5_000,
    ) {
        let bounds = bounds(left_ms, 300);
        let refused = |queue_ms| rejection_retry_after(expected(own_ms + queue_ms, queue_ms), bounds);
        if let Some(time) = refused(queue_ms) {
            prop_assert!(time < bounds.left, "{time:?}");
            prop_assert!(refused(queue_ms + more_ms).is_some());
        }
    }

    /// Guards against timeouts shorter than the expected time of a call.
    #[test]
    fn a_response_timeout_is_never_shorter_than_the_expected_time(expected_s in 0.0_f64..100.0, least_ms in 0_u64..5_000) {
        let least = Duration::from_millis(least_ms);
        let timeout = response_timeout(expected_s, least);
        prop_assert!(timeout >= least);
        prop_assert!(timeout >= Duration::from_secs_f64(expected_s));
    }
}

fn engine(number: usize) -> StagedEngine {
    let name = format!("decode-{number}");
    StagedEngine {
        key: EngineKey::of(&name),
        run: Arc::from(name),
        zone: ZoneName::from("here"),
        stage: Stage::Decode,
        slots: 64,
        kv_cache_tokens: 400_000,
    }
}

fn prompt(id: u64) -> StagedRequest {
    StagedRequest {
        parts: vec![PromptPart {
            id,
            tokens: PROMPT_TOKENS,
        }],
        prompt_tokens: PROMPT_TOKENS,
        token_bytes: 100_000,
        link_mbps: 1_000_000.0,
        send_s: 0.0,
        tried: Vec::new(),
    }
}

/// Requests per second answered within the objective, by engines that prefill one prompt at a time, with a demand of
/// `load` times their capacity.
fn goodput(load: f64, refuses: bool) -> f64 {
    let mut router = StagedRouter::default();
    let engines: Vec<StagedEngine> = (0..ENGINES).map(engine).collect();
    let pool: EnginePool = engines.iter().cloned().collect();
    let tokens = f64::from(PROMPT_TOKENS);
    let service_s = router
        .prefill_speeds
        .expected_s(engines[0].key, Stage::Decode, tokens);
    let per_s = load * ENGINES as f64 / service_s;
    let mut random = ChaCha8Rng::seed_from_u64(7);
    let mut free_at_s = [0.0_f64; ENGINES];
    let mut ends: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::new();
    let mut now_s = 0.0_f64;
    let mut in_time = 0_u32;
    let mut id = 0;
    while now_s < RUN.as_secs_f64() {
        now_s -= (1.0 - random.random::<f64>()).ln() / per_s;
        id += 1;
        while let Some(Reverse((at_us, index))) = ends.peek().copied() {
            if at_us as f64 > now_s * 1e6 {
                break;
            }
            ends.pop();
            router
                .work
                .record_prefilled(engines[index].key, PROMPT_TOKENS);
            router.work.record_ended(engines[index].key);
        }
        let now = MonotonicTime((now_s * 1e6) as u64);
        let plan = router.plan_prompt(now, &ZoneName::from("here"), &pool, &prompt(id));
        let Some(PromptPlan::Colocated(choice)) = plan else {
            panic!("engines prefill and decode");
        };
        let estimate = PromptPlan::Colocated(choice.clone()).latency_estimate();
        let bounds = TimeBounds {
            left: DEADLINE,
            objective: OBJECTIVE,
        };
        if refuses && rejection_retry_after(estimate, bounds).is_some() {
            continue;
        }
        let index = engines
            .iter()
            .position(|engine| engine.key == choice.engine.key)
            .expect("known");
        router
            .work
            .record_sent(choice.engine.key, choice.unprefilled_tokens);
        let ends_s = free_at_s[index].max(now_s) + service_s;
        free_at_s[index] = ends_s;
        ends.push(Reverse(((ends_s * 1e6) as u64, index)));
        if ends_s - now_s <= OBJECTIVE.as_secs_f64() {
            in_time += 1;
        }
    }
    f64::from(in_time) / RUN.as_secs_f64()
}

/// Guards against goodput collapse: without refusals, every request in an overload is started and nearly all are late.
#[rstest]
fn goodput_at_three_times_the_capacity_stays_near_capacity() {
    let at_capacity = goodput(0.9, true);
    let overloaded = goodput(3.0, true);
    assert!(
        overloaded >= 0.9 * at_capacity,
        "{overloaded:.1} a second of {at_capacity:.1}"
    );
    let without_refusals = goodput(3.0, false);
    assert!(
        without_refusals < 0.2 * at_capacity,
        "without refusals goodput collapses: {without_refusals:.1}"
    );
}
