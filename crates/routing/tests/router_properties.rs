//! Properties of the router over arbitrary fleets.

use std::time::Duration;

use dalestand_routing::{
    Completion, Deadlines, EngineView, FleetView, Placement, RouteDecision, RoutePhase,
    RouteRefusal, RouteRequest, Router, RouterConfig, prompt_blocks,
};
use dalestand_types::{
    EngineId, GroupId, Incarnation, LoadedModel, ModelName, MonotonicTime, PoolName, Revision,
    Role, Version, ZoneName,
};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, RngSeed};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const NOW: MonotonicTime = MonotonicTime::from_millis(60_000);
const CAPACITY: u32 = 64;

fn engine(number: usize) -> EngineView {
    let zone = ZoneName::from("zone");
    let pool = PoolName::from("pool");
    EngineView {
        engine: EngineId::from(format!("engine-{number}")),
        group: GroupId::of(&pool, &zone),
        pool,
        zone,
        address: ([127, 0, 0, 1], 9_000).into(),
        incarnation: Incarnation(1),
        role: Some(Role::Mixed),
        models: vec![LoadedModel {
            model: ModelName::from("model"),
            version: Version::from("1"),
            adapters: Vec::new(),
        }],
        running: 4,
        waiting: 0,
        queued_prefill_tokens: 0,
        prefill_tokens_per_s: 0.0,
        decode_tokens_per_s: 0.0,
        capacity: CAPACITY,
        reported_at: MonotonicTime::from_millis(59_500),
        accepting: true,
    }
}

fn fleet(engines: Vec<EngineView>) -> FleetView {
    FleetView {
        revision: Revision(1),
        engines,
    }
}

fn request() -> RouteRequest {
    RouteRequest::new(ModelName::from("model"), ZoneName::from("zone"), 1_000, 200)
}

fn any_engine(number: usize) -> impl Strategy<Value = EngineView> {
    let role = prop::option::weighted(0.8, prop::sample::select(&Role::ALL[..]));
    let load = (0_u32..80, 0_u32..20, 0_u64..50_000);
    let reported_ms = 30_000_u64..60_000;
    (
        role,
        load,
        prop::bool::weighted(0.8),
        reported_ms,
        any::<bool>(),
    )
        .prop_map(
            move |(role, (running, waiting, queued), accepting, reported_ms, loaded)| {
                let mut view = engine(number);
                view.role = role;
                view.running = running;
                view.waiting = waiting;
                view.queued_prefill_tokens = queued;
                view.accepting = accepting;
                view.reported_at = MonotonicTime::from_millis(reported_ms);
                if !loaded {
                    view.models.clear();
                }
                view
            },
        )
}

fn any_fleet() -> impl Strategy<Value = FleetView> {
    (1_usize..24).prop_flat_map(|size| {
        let engines: Vec<_> = (0..size).map(any_engine).collect();
        engines.prop_map(fleet)
    })
}

/// Fixed seed and no persistence, so that every run has the same cases.
fn cases(count: u32) -> ProptestConfig {
    ProptestConfig {
        cases: count,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn may_take(engine: &EngineView, placement: Placement, may_split: bool) -> bool {
    let role_fits = |role: Role| match placement {
        Placement::Whole => role == Role::Mixed,
        Placement::PrefillOnly => may_split && role.runs_prefill(),
        Placement::DecodeOnly => role.runs_decode(),
    };
    engine.accepting
        && engine.role.is_some_and(role_fits)
        && engine.running + engine.waiting < engine.capacity
        && NOW.since(engine.reported_at) <= RouterConfig::default().silence_limit
        && !engine.models.is_empty()
}

proptest! {
    #![proptest_config(cases(256))]

    #[test]
    fn an_ineligible_engine_is_never_selected(
        view in any_fleet(),
        may_split in any::<bool>(),
        prefilled in any::<bool>(),
        tried in prop::collection::vec(0_usize..24, 0..4),
        seed in any::<u64>(),
    ) {
        let mut router = Router::new(RouterConfig::default());
        let mut request = request();
        request.may_split = may_split;
        request.tried = tried.iter().map(|number| engine(*number).engine).collect();
        if prefilled {
            request.phase = RoutePhase::Prefilled { engine: EngineId::from("elsewhere") };
        }
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let decision = router.decide(NOW, &view, &request, &mut random);
        if let RouteDecision::Send { engine, placement, .. } = decision {
            prop_assert!(may_take(&engine, placement, may_split));
            prop_assert!(!request.tried.contains(&engine.engine));
            prop_assert_eq!(placement == Placement::DecodeOnly, prefilled);
        }
    }

    #[test]
    fn an_eligible_engine_is_always_found(
        view in any_fleet(),
        seed in any::<u64>(),
    ) {
        let mut router = Router::new(RouterConfig::default());
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let decision = router.decide(NOW, &view, &request(), &mut random);
        let is_eligible = view.engines.iter().any(|engine| may_take(engine, Placement::Whole, false));
        prop_assert_eq!(decision.engine().is_some(), is_eligible);
    }

    #[test]
    fn equal_inputs_give_equal_decisions(
        view in any_fleet(),
        sent in prop::collection::vec(0_usize..24, 0..20),
        seed in any::<u64>(),
    ) {
        let decide = || {
            let mut router = Router::new(RouterConfig::default());
            let mut request = request();
            request.blocks = prompt_blocks(&"the same words ".repeat(400));
            request.may_split = true;
            for number in &sent {
                if let Some(engine) = view.engines.get(*number) {
                    router.record_sent(NOW, engine, &request, Placement::Whole);
                }
            }
            let mut random = ChaCha8Rng::seed_from_u64(seed);
            format!("{:?}", router.decide(NOW, &view, &request, &mut random))
        };
        prop_assert_eq!(decide(), decide());
    }

    #[test]
    fn a_prefilled_request_is_never_refused_for_its_deadline(
        running in 0_u32..CAPACITY,
        left_ms in 0_u64..100,
    ) {
        let mut view = engine(0);
        view.running = running;
        let mut request = request();
        request.phase = RoutePhase::Prefilled { engine: EngineId::from("elsewhere") };
        request.deadlines.whole = Some(Duration::from_millis(left_ms));
        let mut router = Router::new(RouterConfig::default());
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let decision = router.decide(NOW, &fleet(vec![view]), &request, &mut random);
        prop_assert!(decision.engine().is_some());
    }
}

#[test]
fn own_requests_are_spread_without_new_reports() {
    let view = fleet((0..4).map(engine).collect());
    let config = RouterConfig {
        sample_size: 4,
        ..RouterConfig::default()
    };
    let mut router = Router::new(config);
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let mut counts = [0; 4];
    for _ in 0..40 {
        let decision = router.decide(NOW, &view, &request(), &mut random);
        let RouteDecision::Send {
            engine, placement, ..
        } = decision
        else {
            panic!("refused: {decision:?}");
        };
        let index = view.engines.iter().position(|other| *other == engine);
        counts[index.expect("an engine of the fleet")] += 1;
        router.record_sent(NOW, &engine, &request(), placement);
    }
    assert_eq!(counts, [10; 4]);
}

#[test]
fn a_new_report_replaces_the_correction_for_own_requests() {
    let mut view = fleet(vec![engine(0), engine(1)]);
    let mut router = Router::new(RouterConfig::default());
    for _ in 0..8 {
        router.record_sent(NOW, &view.engines[0], &request(), Placement::Whole);
    }
    let choose = |router: &mut Router, view: &FleetView, now| {
        let mut random = ChaCha8Rng::seed_from_u64(5);
        router
            .decide(now, view, &request(), &mut random)
            .engine()
            .cloned()
    };
    assert_eq!(
        choose(&mut router, &view, NOW),
        Some(view.engines[1].engine.clone())
    );
    // The next reports show that the first engine has processed its queue and the second has not.
    let later = NOW + Duration::from_secs(2);
    for engine in &mut view.engines {
        engine.reported_at = NOW + Duration::from_secs(1);
    }
    view.engines[1].queued_prefill_tokens = 40_000;
    assert_eq!(
        choose(&mut router, &view, later),
        Some(view.engines[0].engine.clone())
    );
}

#[test]
fn nodes_without_shared_state_send_a_known_prefix_to_the_same_engine() {
    let view = fleet((0..64).map(engine).collect());
    let mut request = request();
    request.blocks = prompt_blocks(&"the screening history of a donor ".repeat(200));
    request.prompt_tokens = 1_600;
    let home = |seed| {
        let mut router = Router::new(RouterConfig::default());
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        // The first request with the prefix may go anywhere; the second, with that engine busy, goes to the home.
        router.record_sent(
            NOW,
            &view.engines[seed as usize],
            &request,
            Placement::Whole,
        );
        let later = NOW + Duration::from_secs(1);
        let mut busy = view.clone();
        busy.engines[seed as usize].queued_prefill_tokens = 100_000;
        router
            .decide(later, &busy, &request, &mut random)
            .engine()
            .cloned()
    };
    assert_eq!(home(10), home(20));
    assert_eq!(home(20), home(30));
}

#[test]
fn a_request_that_cannot_meet_its_deadline_is_refused_with_a_retry_delay() {
    let mut slow = engine(0);
    slow.queued_prefill_tokens = 200_000;
    let mut request = request();
    request.deadlines = Deadlines {
        first_token: Some(Duration::from_secs(2)),
        whole: None,
    };
    let mut router = Router::new(RouterConfig::default());
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let decision = router.decide(NOW, &fleet(vec![slow]), &request, &mut random);
    let RouteDecision::Refuse {
        reason,
        retry_after,
        ..
    } = decision
    else {
        panic!("admitted: {decision:?}");
    };
    assert_eq!(reason, RouteRefusal::DeadlineUnreachable);
    assert!(retry_after > Duration::from_secs(5), "{retry_after:?}");
}

#[test]
fn an_engine_slower_than_its_pool_is_avoided() {
    let view = fleet(vec![engine(0), engine(1)]);
    let mut router = Router::new(RouterConfig::default());
    let mut now = NOW;
    let serve = |router: &mut Router, index: usize, gap_ms: u64, now: MonotonicTime| {
        let engine = &view.engines[index];
        let mut ticket = router.record_sent(now, engine, &request(), Placement::Whole);
        router.record_first_token(now + Duration::from_millis(100), &mut ticket);
        let end = now + Duration::from_millis(100 + 100 * gap_ms);
        let completion = Completion {
            output_tokens: Some(101),
            cached_tokens: None,
        };
        router.record_finished(end, &ticket, completion);
    };
    for _ in 0..100 {
        serve(&mut router, 0, 40, now);
        serve(&mut router, 1, 10, now);
        now = now + Duration::from_millis(10);
    }
    let mut random = ChaCha8Rng::seed_from_u64(1);
    for _ in 0..10 {
        let decision = router.decide(NOW, &view, &request(), &mut random);
        assert_eq!(decision.engine(), Some(&view.engines[1].engine));
    }
}
