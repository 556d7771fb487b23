//! Nodes that choose by the same reports, some tens of milliseconds old, use all engines.
//!
//! The pattern: short prompts without a shared part that would bind them to an engine come faster than reports. Each
//! node sees the same engine as the least busy one, and all send there until the next report; the queue that builds up
//! is several times the time in which callers want an answer.

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

/// A report's way from a node over relays to all others.
const REPORT_AGE: Duration = Duration::from_millis(70);

/// Time until nodes know how often they send.
const WARM_UP: Duration = Duration::from_secs(1);

/// Time over which engines are to get their parts.
const PLAYED: Duration = Duration::from_secs(2);

/// Time that an engine of usual speed reads a prompt token.
const READ_TOKEN: Duration = Duration::from_micros(35);

/// Time from a read prompt to the end of its answer.
const ANSWER: Duration = Duration::from_millis(20);

/// Time over that of a usual engine: engines differ, and nodes do not know.
const SLOWNESS: [f64; 3] = [0.6, 1.0, 1.6];

/// Requests that an engine works on at once. Those beyond wait for a whole answer of another.
const SLOTS: u32 = 16;

/// Most and least that an engine gets of an even part.
const MOST: f64 = 1.6;
const LEAST: f64 = 0.5;

struct Sent {
    node: usize,
    engine: EngineKey,
    tokens: u32,
    read_at: MonotonicTime,
    is_read: bool,
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
            memory_tokens: 400_000,
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

/// All nodes hear the work of all others, as it is now.
fn report(now: MonotonicTime, routers: &mut [StagedRouter], pool: &EnginePool) {
    let keys: Vec<EngineKey> = pool.keys(Stage::Decode).collect();
    let mut sums = vec![EngineWork::default(); keys.len()];
    for router in routers.iter() {
        for (sum, key) in sums.iter_mut().zip(&keys) {
            let own = router.work.own(*key);
            sum.requests += own.requests;
            sum.starting += own.starting;
            sum.unread_tokens += own.unread_tokens;
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
fn no_engine_gets_what_others_could_take(
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
    let mut under_way: Vec<Sent> = Vec::new();
    let mut reported_at = MonotonicTime::ZERO;
    let pause = Duration::from_secs(1) / requests_per_s as u32;
    let counted_from = MonotonicTime::ZERO + WARM_UP;
    let mut now = MonotonicTime::ZERO;
    for number in 0..requests_per_s * (WARM_UP + PLAYED).as_secs() {
        now = now + pause;
        end_answers(now, &mut routers, &mut engines_state, &mut under_way);
        if now.since(reported_at) >= REPORT_AGE {
            report(now, &mut routers, &pool);
            reported_at = now;
        }
        let node = random.random_range(0..nodes);
        let router = &mut routers[node];
        let plan = router.plan_prompt(now, &zone, &pool, &short_prompt(number));
        let Some(PromptPlan::Colocated(choice)) = plan else {
            panic!("a whole plan");
        };
        let (engine, tokens) = (choice.engine.key, choice.unread_tokens);
        router.work.record_sent(engine, tokens);
        router.unreported.record_sent(now, Stage::Decode, tokens);
        let fake = engines_state.get_mut(&engine).expect("an engine");
        let read_at = fake.take(now, tokens, now >= counted_from);
        under_way.push(Sent {
            node,
            engine,
            tokens,
            read_at,
            is_read: false,
        });
    }
    let counts: Vec<u32> = engines_state
        .values()
        .map(|engine| engine.counted)
        .collect();
    let part = f64::from(counts.iter().sum::<u32>()) / engines as f64;
    let most = counts.iter().copied().max().unwrap_or_default();
    let least = counts.iter().copied().min().unwrap_or_default();
    let longest = engines_state
        .values()
        .map(|engine| engine.most_at_once)
        .max();
    assert!(f64::from(most) <= part * MOST, "{most} of {part}");
    assert!(f64::from(least) >= part * LEAST, "{least} of {part}");
    assert!(longest <= Some(SLOTS), "{longest:?} at one engine");
}

/// An engine that reads one prompt after the other.
struct FakeEngine {
    slowness: f64,
    reads_until: MonotonicTime,
    at_once: u32,
    most_at_once: u32,
    counted: u32,
}

impl FakeEngine {
    fn new(slowness: f64) -> Self {
        Self {
            slowness,
            reads_until: MonotonicTime::ZERO,
            at_once: 0,
            most_at_once: 0,
            counted: 0,
        }
    }

    /// Takes a request; yields when its prompt is read.
    fn take(&mut self, now: MonotonicTime, tokens: u32, is_counted: bool) -> MonotonicTime {
        let reads = READ_TOKEN.mul_f64(f64::from(tokens) * self.slowness);
        self.reads_until = self.reads_until.max(now) + reads;
        self.at_once += 1;
        if is_counted {
            self.counted += 1;
            self.most_at_once = self.most_at_once.max(self.at_once);
        }
        self.reads_until
    }
}

/// Has nodes hear what engines did until `now`.
fn end_answers(
    now: MonotonicTime,
    routers: &mut [StagedRouter],
    engines: &mut HashMap<EngineKey, FakeEngine>,
    under_way: &mut Vec<Sent>,
) {
    for sent in under_way.iter_mut() {
        if !sent.is_read && now >= sent.read_at {
            sent.is_read = true;
            let work = &mut routers[sent.node].work;
            work.record_prefilled(sent.engine, sent.tokens);
            work.record_started(sent.engine);
        }
    }
    for over in under_way.extract_if(.., |sent| now >= sent.read_at + ANSWER) {
        routers[over.node].work.record_ended(over.engine);
        if let Some(engine) = engines.get_mut(&over.engine) {
            engine.at_once -= 1;
        }
    }
}
