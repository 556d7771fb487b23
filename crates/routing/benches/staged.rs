//! Time to plan one prompt and to replace one engine, by the number of engines.

use std::hint::black_box;
use std::sync::Arc;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dalestand_routing::staged::{
    EngineKey, EnginePool, PromptPart, Stage, StagedEngine, StagedRequest, StagedRouter,
};
use dalestand_types::{MonotonicTime, ZoneName};

const NOW: MonotonicTime = MonotonicTime::from_millis(60_000);
const MEMORY_TOKENS: u64 = 417_000;
const SIZES: [usize; 5] = [136, 700, 1_000, 10_000, 20_000];

/// An engine; four in ten are prefill engines.
fn engine(number: usize) -> StagedEngine {
    let run = format!("i-{number:08x}");
    StagedEngine {
        key: EngineKey::of(&run),
        run: Arc::from(run),
        zone: zone(number),
        stage: if number % 10 < 4 {
            Stage::Prefill
        } else {
            Stage::Decode
        },
        slots: 12,
        kv_cache_tokens: MEMORY_TOKENS,
    }
}

fn zone(number: usize) -> ZoneName {
    ZoneName::from(format!("zone-{}", number % 6))
}

fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

fn request() -> StagedRequest {
    let parts = vec![
        part(1, 800),
        part(100, 4_500),
        part(10_000, 8_000),
        part(7, 3_720),
    ];
    StagedRequest {
        prompt_tokens: parts.iter().map(|part| part.tokens).sum(),
        parts,
        token_bytes: 163_840,
        link_mbps: 1_500_000.0,
        send_s: 0.0,
        tried: Vec::new(),
    }
}

/// A router for which each engine caches three parts, one of them shared by all, and has some work.
fn router(engines: &EnginePool) -> StagedRouter {
    let mut router = StagedRouter::seeded(1);
    for (index, engine) in engines.iter().enumerate() {
        let index = index as u64;
        let cached = [
            part(1, 800),
            part(100 + index % 1_060, 4_500),
            part(index + 10_000, 8_000),
        ];
        router.parts.record_sent(engine.key, MEMORY_TOKENS, &cached);
        router.parts.confirm_cached(engine.key, &cached);
        router
            .work
            .record_sent(engine.key, (index % 13) as u32 * 500);
    }
    router
}

fn choose(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("plan_prompt");
    for size in SIZES {
        let engines: EnginePool = (0..size).map(engine).collect();
        let router = router(&engines);
        let (request, zone) = (request(), zone(1));
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| black_box(router.plan_prompt(NOW, &zone, &engines, &request)));
        });
    }
    group.finish();
}

fn change(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("engine_replaced");
    for size in SIZES {
        let mut engines: EnginePool = (0..size).map(engine).collect();
        let mut router = router(&engines);
        let mut next = 0;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                let old = engine(next % size);
                engines.remove(old.key);
                router.forget_engine(old.key);
                engines.insert(old);
                next += 1;
            });
        });
    }
    group.finish();
}

criterion_group!(benches, choose, change);
criterion_main!(benches);
