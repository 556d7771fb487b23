//! Nodes without knowledge of each other's choices spread their requests evenly over all engines.
//!
//! Guards against herding in a large fleet with little load: 986 nodes in six zones, 444 application servers
//! and 9,560 language-model engines, four in ten of them for prefill.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dalestand_routing::staged::{
    AttemptResult, EngineKey, EnginePool, PromptPart, PromptPlan, Stage, StagedEngine,
    StagedRequest, StagedRouter,
};
use dalestand_types::{MonotonicTime, ZoneName};
use rstest::rstest;

const NODES: u64 = 986;
const ZONES: usize = 6;

/// Simulated time in seconds; each node sends one request per second.
const RUN_S: u64 = 45;

fn zone(number: usize) -> ZoneName {
    ZoneName::from(format!("zone-{}", number % ZONES))
}

fn engine(number: usize, stage: Stage) -> StagedEngine {
    let run = format!("i-{number:08x}");
    StagedEngine {
        key: EngineKey::of(&run),
        run: Arc::from(run),
        zone: zone(number),
        stage,
        slots: 12,
        kv_cache_tokens: if stage == Stage::Opaque { 0 } else { 417_000 },
    }
}

fn servers() -> EnginePool {
    (0..444)
        .map(|number| engine(number, Stage::Opaque))
        .collect()
}

fn language_models(count: usize) -> EnginePool {
    let stage = |number| match number % 10 {
        0..4 => Stage::Prefill,
        _ => Stage::Decode,
    };
    (0..count)
        .map(|number| engine(number, stage(number)))
        .collect()
}

/// A prompt with `shared` parts and a last part of its own.
fn prompt(shared: &[(u64, u32)], own_tokens: u32, number: u64) -> StagedRequest {
    let own = [(u64::MAX - number, own_tokens)];
    let parts = shared.iter().chain(&own);
    let parts: Vec<PromptPart> = parts
        .map(|(id, tokens)| PromptPart {
            id: *id,
            tokens: *tokens,
        })
        .collect();
    StagedRequest {
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        parts,
        token_bytes: 163_840,
        link_mbps: 1_500_000.0,
        send_s: 0.0,
        tried: Vec::new(),
    }
}

/// Number of requests sent to each engine.
struct Spread {
    sent: HashMap<EngineKey, u64>,
    engines: usize,
}

impl Spread {
    fn busiest_to_mean(&self) -> f64 {
        let all: u64 = self.sent.values().sum();
        let busiest = self.sent.values().max().copied().unwrap_or_default();
        busiest as f64 / (all as f64 / self.engines as f64)
    }

    fn idle(&self) -> usize {
        self.engines - self.sent.len()
    }
}

/// Sends the opaque requests of all nodes. Servers differ in latency, which each node learns only from its own
/// requests.
fn spread_opaque() -> Spread {
    let servers = servers();
    let mut sent: HashMap<EngineKey, u64> = HashMap::new();
    for node in 0..NODES {
        let mut router = StagedRouter::seeded(node);
        // A quarter of the requests are opaque.
        for request in 0..RUN_S / 4 {
            let now = MonotonicTime::from_millis(4_000 * (request + 1));
            let choice = router.choose_opaque(
                now,
                &zone(node as usize),
                &servers,
                &StagedRequest::default(),
            );
            let key = choice.expect("a server").engine.key;
            *sent.entry(key).or_default() += 1;
            // Between 12 and 22 ms.
            let took = Duration::from_micros(12_000 + key.0 % 10_000);
            router.health.record(now, key, AttemptResult::Success(took));
        }
    }
    Spread {
        sent,
        engines: servers.len(),
    }
}

#[rstest]
fn opaque_requests_reach_all_servers() {
    let spread = spread_opaque();
    let ratio = spread.busiest_to_mean();
    assert!(ratio <= 2.0, "busiest to mean {ratio}");
    assert_eq!(spread.idle(), 0, "idle servers");
}

/// Short prompts begin with one of four parts of 55 tokens, which take about a millisecond to prefill.
#[rstest]
fn prompts_do_not_concentrate_where_a_short_part_is_cached() {
    let engines = language_models(9_560);
    let mut sent: HashMap<EngineKey, u64> = HashMap::new();
    for node in 0..NODES {
        let mut router = StagedRouter::seeded(node);
        for request in 0..RUN_S * 6 / 10 {
            let now = MonotonicTime::from_millis(1_600 * (request + 1));
            let number = node * RUN_S + request;
            let request = prompt(&[(number % 4, 55), (100 + number % 90, 37)], 291, number);
            let plan = router.plan_prompt(now, &zone(node as usize), &engines, &request);
            let Some(PromptPlan::Colocated(choice)) = plan else {
                panic!("expected a colocated plan for a short prompt: {plan:?}");
            };
            let key = choice.engine.key;
            *sent.entry(key).or_default() += 1;
            router.parts.record_sent(key, 417_000, &request.parts);
            router.parts.confirm_cached(key, &request.parts);
        }
    }
    let spread = Spread {
        sent,
        engines: engines.count(Stage::Decode),
    };
    // With 4.6 requests per engine, random choice gives the busiest of 5,736 engines three times the mean.
    let ratio = spread.busiest_to_mean();
    assert!(ratio <= 4.0, "busiest to mean {ratio}");
}

/// All nodes compute the same affinity target for a part, and targets spread over the engines.
#[rstest]
#[case::some(136)]
#[case::all(9_560)]
fn affinity_targets_agree_and_are_spread(#[case] count: usize) {
    let engines = language_models(count);
    let again: EnginePool = engines.iter().cloned().collect();
    let mut parts: HashMap<EngineKey, u32> = HashMap::new();
    const PARTS: u32 = 20_000;
    for part in 0..PARTS {
        let part = u64::from(part) * 7_919;
        let target = engines.affinity_target(Stage::Prefill, part, |_| true);
        let target = target.expect("a target");
        assert_eq!(
            again.affinity_target(Stage::Prefill, part, |_| true),
            Some(target)
        );
        *parts.entry(target).or_default() += 1;
    }
    let mean = f64::from(PARTS) / engines.count(Stage::Prefill) as f64;
    let busiest = parts.values().max().copied().unwrap_or_default();
    let deviation = 6.0 * mean.sqrt();
    assert!(
        f64::from(busiest) <= 2.0 * mean + deviation,
        "{busiest} parts at one engine, mean {mean}"
    );
}

/// The holder of a prompt's parts is found among thousands of engines, whatever sample is drawn.
#[rstest]
fn the_holder_of_a_long_part_is_always_compared() {
    let engines = language_models(9_560);
    let holder = engines
        .iter()
        .find(|engine| engine.stage == Stage::Prefill)
        .expect("a prefill engine")
        .clone();
    let request = prompt(&[(7, 4_000), (8, 9_300)], 3_720, 1);
    for seed in 0..50 {
        let mut router = StagedRouter::seeded(seed);
        let (_, shared) = request.parts.split_last().expect("parts");
        router
            .parts
            .record_sent(holder.key, holder.kv_cache_tokens, shared);
        router.parts.confirm_cached(holder.key, shared);
        let now = MonotonicTime::from_millis(10);
        let plan = router.plan_prompt(now, &holder.zone, &engines, &request);
        let Some(PromptPlan::Disaggregated { prefill, .. }) = plan else {
            panic!("expected a disaggregated plan for a long prompt: {plan:?}");
        };
        assert_eq!(prefill.engine.key, holder.key, "seed {seed}");
        assert_eq!(prefill.unprefilled_tokens, 3_720);
    }
}
