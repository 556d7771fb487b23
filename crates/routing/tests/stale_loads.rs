//! Nodes with the same load reports, some tens of milliseconds old, spread their requests over all engines.
//!
//! Guards against herding of short prompts without an affinity part: they arrive faster than reports, and all nodes
//! would send them to the engine that the last report shows as least busy.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use dalestand_routing::staged::{
    EngineKey, EnginePool, EngineWork, LoadSource, PromptPart, PromptPlan, Stage, StagedEngine,
    StagedRequest, StagedRouter,
};
use dalestand_types::{MonotonicTime, ZoneName};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

/// Interval of reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(70);

/// Time until nodes have measured their own send rates; not counted.
const WARM_UP: Duration = Duration::from_secs(1);

/// Time over which requests are counted.
const MEASURED: Duration = Duration::from_secs(2);

/// Prefill time per token of an engine of average speed.
const PREFILL_PER_TOKEN: Duration = Duration::from_micros(35);

/// Time from the end of the prefill to the end of the response.
const DECODE_TIME: Duration = Duration::from_millis(20);

/// Prefill times of engines relative to the average; unknown to the nodes.
const SLOWNESS: [f64; 3] = [0.6, 1.0, 1.6];

/// Requests that an engine processes concurrently.
const SLOTS: u32 = 16;

/// Bounds on the number of requests of an engine, relative to an even share.
const MAX_SHARE: f64 = 1.6;
const MIN_SHARE: f64 = 0.5;

struct Sent {
    node: usize,
    engine: EngineKey,
    tokens: u32,
    prefilled_at: MonotonicTime,
    is_prefilled: bool,
}

fn pool(engines: usize) -> EnginePool {
    let engine = |number| {
        let run = format!("i-{number:04x}");
        StagedEngine {
            key: EngineKey::of(&run),
            run: Arc::from(run),
            zone: ZoneName::from("here"),
            stage: Stage::Decode,
            slots: SLOTS,
            kv_cache_tokens: 400_000,
        }
    };
    (0..engines).map(engine).collect()
}

fn short_prompt(number: u64) -> StagedRequest {
    StagedRequest {
        parts: vec![
            PromptPart { id: 7, tokens: 92 },
            PromptPart {
                id: 1_000 + number,
                tokens: 291,
            },
        ],
        prompt_tokens: 383,
        ..StagedRequest::default()
    }
}

/// Gives all nodes the current work of all others.
fn report(now: MonotonicTime, routers: &mut [StagedRouter], pool: &EnginePool) {
    let keys: Vec<EngineKey> = pool.keys(Stage::Decode).collect();
    let mut sums = vec![EngineWork::default(); keys.len()];
    for router in routers.iter() {
        for (sum, key) in sums.iter_mut().zip(&keys) {
            let own = router.work.own(*key);
            sum.requests += own.requests;
            sum.starting += own.starting;
            sum.unprefilled_tokens += own.unprefilled_tokens;
        }
    }
    for router in routers {
        let others = keys.iter().zip(&sums).map(|(key, sum)| {
            let mut others = *sum;
            others.subtract(&router.work.own(*key));
            (*key, others)
        });
        let others: Vec<_> = others.collect();
        router.work.set_reported(now, LoadSource::Fleet, others);
    }
}

#[rstest]
#[case::five_nodes(5, 4, 200)]
#[case::seventy_nodes(70, 38, 700)]
#[case::seventy_nodes_in_a_rush(70, 38, 1_900)]
#[case::the_largest_fleet(986, 120, 2_000)]
fn no_engine_gets_far_more_or_less_than_its_share(
    #[case] nodes: usize,
    #[case] engines: usize,
    #[case] requests_per_s: u64,
) {
    let pool = pool(engines);
    let zone = ZoneName::from("here");
    let mut random = ChaCha8Rng::seed_from_u64(11);
    let mut routers: Vec<StagedRouter> = (0..nodes as u64).map(StagedRouter::seeded).collect();
    for router in &mut routers {
        router.unreported.set_node_count(nodes);
    }
    let mut engines_state: HashMap<EngineKey, FakeEngine> = HashMap::new();
    for (number, key) in pool.keys(Stage::Decode).enumerate() {
        let slowness = SLOWNESS[number % SLOWNESS.len()];
        engines_state.insert(key, FakeEngine::new(slowness));
    }
    let mut outstanding: Vec<Sent> = Vec::new();
    let mut reported_at = MonotonicTime::ZERO;
    let interval = Duration::from_secs(1) / requests_per_s as u32;
    let counted_from = MonotonicTime::ZERO + WARM_UP;
    let mut now = MonotonicTime::ZERO;
    for number in 0..requests_per_s * (WARM_UP + MEASURED).as_secs() {
        now = now + interval;
        record_progress(now, &mut routers, &mut engines_state, &mut outstanding);
        if now.since(reported_at) >= REPORT_INTERVAL {
            report(now, &mut routers, &pool);
            reported_at = now;
        }
        let node = random.random_range(0..nodes);
        let router = &mut routers[node];
        let plan = router.plan_prompt(now, &zone, &pool, &short_prompt(number));
        let Some(PromptPlan::Colocated(choice)) = plan else {
            panic!("expected a colocated plan");
        };
        let (engine, tokens) = (choice.engine.key, choice.unprefilled_tokens);
        router.work.record_sent(engine, tokens);
        router.unreported.record_sent(now, Stage::Decode, tokens);
        let fake = engines_state.get_mut(&engine).expect("an engine");
        let prefilled_at = fake.accept(now, tokens, now >= counted_from);
        outstanding.push(Sent {
            node,
            engine,
            tokens,
            prefilled_at,
            is_prefilled: false,
        });
    }
    let counts: Vec<u32> = engines_state
        .values()
        .map(|engine| engine.counted)
        .collect();
    let even_share = f64::from(counts.iter().sum::<u32>()) / engines as f64;
    let max = counts.iter().copied().max().unwrap_or_default();
    let min = counts.iter().copied().min().unwrap_or_default();
    let max_concurrent = engines_state
        .values()
        .map(|engine| engine.max_concurrent)
        .max();
    assert!(
        f64::from(max) <= even_share * MAX_SHARE,
        "{max} instead of {even_share}"
    );
    assert!(
        f64::from(min) >= even_share * MIN_SHARE,
        "{min} instead of {even_share}"
    );
    assert!(
        max_concurrent <= Some(SLOTS),
        "{max_concurrent:?} at one engine"
    );
}

/// A simulated engine that prefills one prompt after the other.
struct FakeEngine {
    slowness: f64,
    busy_until: MonotonicTime,
    concurrent: u32,
    max_concurrent: u32,
    counted: u32,
}

impl FakeEngine {
    fn new(slowness: f64) -> Self {
        Self {
            slowness,
            busy_until: MonotonicTime::ZERO,
            concurrent: 0,
            max_concurrent: 0,
            counted: 0,
        }
    }

    /// Accepts a request. Returns when its prompt is prefilled.
    fn accept(&mut self, now: MonotonicTime, tokens: u32, is_counted: bool) -> MonotonicTime {
        let prefill_time = PREFILL_PER_TOKEN.mul_f64(f64::from(tokens) * self.slowness);
        self.busy_until = self.busy_until.max(now) + prefill_time;
        self.concurrent += 1;
        if is_counted {
            self.counted += 1;
            self.max_concurrent = self.max_concurrent.max(self.concurrent);
        }
        self.busy_until
    }
}

/// Reports prefills and responses that ended by `now` to the nodes that sent the requests.
fn record_progress(
    now: MonotonicTime,
    routers: &mut [StagedRouter],
    engines: &mut HashMap<EngineKey, FakeEngine>,
    outstanding: &mut Vec<Sent>,
) {
    for sent in outstanding.iter_mut() {
        if !sent.is_prefilled && now >= sent.prefilled_at {
            sent.is_prefilled = true;
            let work = &mut routers[sent.node].work;
            work.record_prefilled(sent.engine, sent.tokens);
            work.record_started(sent.engine);
        }
    }
    for ended in outstanding.extract_if(.., |sent| now >= sent.prefilled_at + DECODE_TIME) {
        routers[ended.node].work.record_ended(ended.engine);
        if let Some(engine) = engines.get_mut(&ended.engine) {
            engine.concurrent -= 1;
        }
    }
}
