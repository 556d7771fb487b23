//! Choice of engines for opaque requests and prompts.

use std::sync::Arc;
use std::time::Duration;

use dalestand_routing::staged::{
    AttemptResult, EngineHealth, EngineKey, EnginePool, EngineWork, LoadSource, PartDirectory,
    PromptPart, PromptPlan, Stage, StagedEngine, StagedRequest, StagedRouter, WorkTable,
};
use dalestand_types::{MonotonicTime, ZoneName};
use proptest::prelude::*;
use rstest::rstest;

const NOW: MonotonicTime = MonotonicTime::from_millis(10_000);
const MEMORY_TOKENS: u64 = 400_000;

fn zone() -> ZoneName {
    ZoneName::from("duluth-vault")
}

fn engine(name: &str, stage: Stage) -> StagedEngine {
    StagedEngine {
        key: EngineKey::of(name),
        run: Arc::from(name),
        zone: zone(),
        stage,
        slots: 32,
        kv_cache_tokens: MEMORY_TOKENS,
    }
}

fn prompt(parts: &[(u64, u32)]) -> StagedRequest {
    let parts: Vec<PromptPart> = parts
        .iter()
        .map(|(id, tokens)| PromptPart {
            id: *id,
            tokens: *tokens,
        })
        .collect();
    StagedRequest {
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        parts,
        token_bytes: 163_840,
        link_mbps: 1_400_000.0,
        send_s: 0.0,
        tried: Vec::new(),
    }
}

fn pool(engines: &[StagedEngine]) -> EnginePool {
    engines.iter().cloned().collect()
}

fn plan(router: &StagedRouter, engines: &[StagedEngine], request: &StagedRequest) -> PromptPlan {
    let plan = router.plan_prompt(NOW, &zone(), &pool(engines), request);
    plan.expect("a plan")
}

fn fleet() -> Vec<StagedEngine> {
    vec![
        engine("prefill-1", Stage::Prefill),
        engine("prefill-2", Stage::Prefill),
        engine("decode-1", Stage::Decode),
        engine("decode-2", Stage::Decode),
    ]
}

#[rstest]
fn long_prompts_are_disaggregated_and_short_ones_are_not() {
    let router = StagedRouter::default();
    let long = plan(&router, &fleet(), &prompt(&[(1, 13_000), (2, 4_000)]));
    assert!(matches!(long, PromptPlan::Disaggregated { .. }), "{long:?}");
    let short = plan(&router, &fleet(), &prompt(&[(3, 90), (4, 290)]));
    assert!(matches!(short, PromptPlan::Colocated(_)), "{short:?}");
}

/// Guards against estimating disaggregated plans by the prompts queued at decode engines, which sends long
/// prompts to these engines while the prefill engines idle.
#[rstest]
fn prompts_queued_at_decode_engines_do_not_draw_long_prompts_there() {
    let mut router = StagedRouter::default();
    let fleet = fleet();
    for decode in &fleet[2..] {
        for _ in 0..60 {
            router.work.record_sent(decode.key, 400);
        }
    }
    router.work.record_sent(fleet[0].key, 20_000);
    router.work.record_sent(fleet[1].key, 20_000);
    let plan = plan(&router, &fleet, &prompt(&[(1, 5_000), (2, 4_000)]));
    assert!(matches!(plan, PromptPlan::Disaggregated { .. }), "{plan:?}");
}

/// A prefill on a decode engine delays the tokens of all requests running there.
#[rstest]
fn long_prompts_avoid_decode_engines_with_many_running_requests() {
    let mut router = StagedRouter::default();
    let fleet = fleet();
    for prefill in &fleet[..2] {
        router.work.record_sent(prefill.key, 25_000);
    }
    let request = prompt(&[(1, 8_000)]);
    let idle = plan(&router, &fleet, &request);
    assert!(matches!(idle, PromptPlan::Colocated(_)), "{idle:?}");
    for decode in &fleet[2..] {
        for _ in 0..12 {
            router.work.record_sent(decode.key, 0);
        }
    }
    let busy = plan(&router, &fleet, &request);
    assert!(matches!(busy, PromptPlan::Disaggregated { .. }), "{busy:?}");
}

#[rstest]
fn a_prompt_goes_where_its_parts_are_cached() {
    let mut router = StagedRouter::default();
    let fleet = fleet();
    let request = prompt(&[(1, 13_000), (2, 4_000)]);
    for holder in &fleet[..2] {
        router = StagedRouter::default();
        let shared = &request.parts[..1];
        router.parts.record_sent(holder.key, MEMORY_TOKENS, shared);
        let PromptPlan::Disaggregated { prefill, .. } = plan(&router, &fleet, &request) else {
            panic!("expected a disaggregated plan for a long prompt");
        };
        assert_eq!(prefill.engine.key, holder.key);
        assert_eq!(prefill.unprefilled_tokens, 4_000);
    }
    drop(router);
}

#[rstest]
fn an_idle_engine_fetches_parts_from_a_busy_holder() {
    let mut router = StagedRouter::default();
    let fleet = fleet();
    let request = prompt(&[(1, 13_000), (2, 4_000)]);
    let shared = &request.parts[..1];
    router
        .parts
        .record_sent(fleet[0].key, MEMORY_TOKENS, shared);
    router.parts.confirm_cached(fleet[0].key, shared);
    router.work.record_sent(fleet[0].key, 60_000);
    let PromptPlan::Disaggregated { prefill, .. } = plan(&router, &fleet, &request) else {
        panic!("expected a disaggregated plan for a long prompt");
    };
    assert_eq!(prefill.engine.key, fleet[1].key);
    assert_eq!(prefill.fetch_from, Some(fleet[0].key));
    assert_eq!(prefill.unprefilled_tokens, 4_000);
}

/// A copy evicts other parts, which then have to be prefilled again, so it must save more than a short
/// queueing delay.
#[rstest]
fn a_part_is_not_copied_to_avoid_a_short_queue() {
    let mut router = StagedRouter::default();
    let fleet = fleet();
    let request = prompt(&[(1, 13_000), (2, 4_000)]);
    let shared = &request.parts[..1];
    router
        .parts
        .record_sent(fleet[0].key, MEMORY_TOKENS, shared);
    router.parts.confirm_cached(fleet[0].key, shared);
    router.work.record_sent(fleet[0].key, 2_500);
    let PromptPlan::Disaggregated { prefill, .. } = plan(&router, &fleet, &request) else {
        panic!("expected a disaggregated plan for a long prompt");
    };
    assert_eq!(prefill.engine.key, fleet[0].key);
    assert_eq!(prefill.fetch_from, None);
}

#[rstest]
fn unconfirmed_parts_are_not_fetched() {
    let mut router = StagedRouter::default();
    let fleet = fleet();
    let request = prompt(&[(1, 13_000), (2, 4_000)]);
    let shared = &request.parts[..1];
    router
        .parts
        .record_sent(fleet[0].key, MEMORY_TOKENS, shared);
    router.work.record_sent(fleet[0].key, 60_000);
    let PromptPlan::Disaggregated { prefill, .. } = plan(&router, &fleet, &request) else {
        panic!("expected a disaggregated plan for a long prompt");
    };
    assert_eq!(prefill.fetch_from, None);
    router.parts.remove_unconfirmed(fleet[0].key, shared);
    assert_eq!(router.parts.cached_tokens(fleet[0].key, shared), 0);
}

#[rstest]
fn reported_work_expires() {
    let mut work = WorkTable::default();
    let key = EngineKey::of("prefill-1");
    let reported = EngineWork {
        starting: 0,
        requests: 2,
        unprefilled_tokens: 9_000,
    };
    work.set_reported(NOW, LoadSource::Member(7), [(key, reported)]);
    assert_eq!(work.total(key), reported);
    work.remove_expired(NOW + Duration::from_secs(5));
    assert_eq!(work.total(key), EngineWork::default());
}

#[rstest]
fn avoidance_of_an_unresponsive_engine_doubles_until_it_responds() {
    let mut health = EngineHealth::default();
    let key = EngineKey::of("decode-1");
    health.record(NOW, key, AttemptResult::NoResponse);
    assert!(health.is_avoided(NOW + Duration::from_millis(900), key));
    let again = NOW + Duration::from_millis(1_100);
    assert!(!health.is_avoided(again, key));
    health.record(again, key, AttemptResult::NoResponse);
    assert!(health.is_avoided(again + Duration::from_millis(1_900), key));
    health.record(again, key, AttemptResult::Success(Duration::from_millis(5)));
    assert!(!health.is_avoided(again, key));
}

/// Guards against an engine that changes its role: it refuses quickly, looks idle, and would attract all
/// requests until the retry budget is spent.
#[rstest]
fn an_engine_that_refuses_is_avoided_although_it_is_idle() {
    let mut router = StagedRouter::default();
    let fleet = fleet();
    router.work.record_sent(fleet[3].key, 2_000);
    let request = prompt(&[(3, 300)]);
    let chosen = |router: &StagedRouter, at| {
        let choice = router.choose_colocated(at, &zone(), &pool(&fleet), &request);
        choice.expect("a choice").engine.key
    };
    assert_eq!(chosen(&router, NOW), fleet[2].key);
    let refused = AttemptResult::Refused;
    router.health.record(NOW, fleet[2].key, refused);
    assert_eq!(chosen(&router, NOW), fleet[3].key);
    let again = NOW + Duration::from_millis(150);
    assert_eq!(chosen(&router, again), fleet[2].key);
    router.health.record(again, fleet[2].key, refused);
    let later = again + Duration::from_millis(150);
    assert_eq!(chosen(&router, later), fleet[3].key);
}

#[rstest]
fn an_engine_that_was_tried_is_not_chosen_again() {
    let router = StagedRouter::default();
    let fleet = fleet();
    let mut request = prompt(&[(3, 300)]);
    request.tried = vec![fleet[2].key];
    let PromptPlan::Colocated(choice) = plan(&router, &fleet, &request) else {
        panic!("expected a colocated plan for a short prompt");
    };
    assert_eq!(choice.engine.key, fleet[3].key);
    request.tried.push(fleet[3].key);
    let none = router.choose_colocated(NOW, &zone(), &pool(&fleet), &request);
    assert_eq!(none, None);
}

proptest! {
    /// The assumed cache contents never exceed the capacity of the engine, and always contain the newest
    /// prompt if it fits.
    #[test]
    fn cached_parts_stay_within_capacity(
        prompts in proptest::collection::vec((0_u64..40, 1_u32..9_000), 1..200),
    ) {
        let kv_cache_tokens = 60_000;
        let key = EngineKey::of("prefill-1");
        let mut directory = PartDirectory::default();
        for (id, tokens) in &prompts {
            let part = PromptPart { id: *id, tokens: *tokens };
            directory.record_sent(key, kv_cache_tokens, &[part]);
            prop_assert_eq!(directory.cached_tokens(key, &[part]), *tokens);
        }
        let cached: u64 = (0..40)
            .map(|id| directory.cached_tokens(key, &[PromptPart { id, tokens: 0 }]))
            .map(u64::from)
            .sum();
        prop_assert!(cached <= kv_cache_tokens, "{} cached", cached);
    }

    /// Work that has ended is removed completely, in whatever order it ends.
    #[test]
    fn ended_work_leaves_nothing(tokens in proptest::collection::vec(1_u32..9_000, 1..60)) {
        let key = EngineKey::of("prefill-1");
        let mut work = WorkTable::default();
        for tokens in &tokens {
            work.record_sent(key, *tokens);
        }
        for tokens in tokens.iter().rev() {
            work.record_prefilled(key, *tokens);
            work.record_ended(key);
        }
        prop_assert_eq!(work.total(key), EngineWork::default());
    }
}

/// Guards against a fixed fetch cost, which prevents fetches over fast links.
#[rstest]
#[case::fast_link(8_800_000.0, true)]
#[case::slow_link(20_000.0, false)]
fn fetches_depend_on_the_link_speed(#[case] link_mbps: f64, #[case] fetches: bool) {
    let mut router = StagedRouter::default();
    let fleet = fleet();
    let mut request = prompt(&[(1, 4_000), (2, 3_000)]);
    request.link_mbps = link_mbps;
    let shared = &request.parts[..1];
    router
        .parts
        .record_sent(fleet[0].key, MEMORY_TOKENS, shared);
    router.parts.confirm_cached(fleet[0].key, shared);
    router.work.record_sent(fleet[0].key, 4_000);
    let PromptPlan::Disaggregated { prefill, .. } = plan(&router, &fleet, &request) else {
        panic!("expected a disaggregated plan for a long prompt");
    };
    assert_eq!(prefill.fetch_from.is_some(), fetches, "{prefill:?}");
}

/// Guards against estimates that ignore the start queue of a decode engine.
#[rstest]
fn requests_that_have_not_started_add_to_the_latency_estimate() {
    let mut router = StagedRouter::default();
    let fleet = fleet();
    for number in 0..40 {
        router
            .decode_start_times
            .observe(number % 8, 5e-3 + f64::from(number % 8) * 10e-3);
    }
    for _ in 0..6 {
        router.work.record_sent(fleet[2].key, 0);
    }
    let request = prompt(&[(1, 9_000)]);
    let choice = router.choose_decode(NOW, &pool(&fleet), &request, &fleet[0]);
    let choice = choice.expect("an engine");
    assert_eq!(choice.engine.key, fleet[3].key);
    for _ in 0..20 {
        router.work.record_sent(fleet[3].key, 0);
    }
    let choice = router.choose_decode(NOW, &pool(&fleet), &request, &fleet[0]);
    let choice = choice.expect("an engine");
    assert_eq!(choice.engine.key, fleet[2].key);
    assert!(choice.queue_s > 40e-3, "{choice:?}");
    for _ in 0..6 {
        router.work.record_started(fleet[2].key);
    }
    let choice = router.choose_decode(NOW, &pool(&fleet), &request, &fleet[0]);
    assert!(choice.expect("an engine").queue_s < 1e-3);
}

#[rstest]
#[case::another(&[], false, true)]
#[case::the_other_was_tried(&["other"], false, false)]
#[case::the_other_wants_no_calls(&[], true, false)]
fn a_request_leaves_its_engine_only_for_an_available_one(
    #[case] tried: &[&str],
    #[case] is_closed: bool,
    #[case] expected: bool,
) {
    let current = engine("current", Stage::Decode);
    let others = [
        current.clone(),
        engine("other", Stage::Decode),
        engine("of another stage", Stage::Prefill),
    ];
    let mut router = StagedRouter::default();
    if is_closed {
        let backoff = Duration::from_secs(1);
        let other = EngineKey::of("other");
        router.signals.record_backoff(NOW, other, backoff, 0.0);
    }
    let tried: Vec<EngineKey> = tried.iter().map(|name| EngineKey::of(name)).collect();
    let found = router.has_alternative(NOW, &pool(&others), &current, &tried);
    assert_eq!(found, expected);
}
