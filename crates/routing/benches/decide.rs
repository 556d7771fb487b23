//! Time of one routing decision, by the number of engines.

use std::hint::black_box;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use dalestand_routing::{
    Deadlines, EngineView, FleetView, Placement, RouteRequest, Router, RouterConfig, prompt_blocks,
};
use dalestand_types::{
    EngineId, GroupId, Incarnation, LoadedModel, ModelName, MonotonicTime, PoolName, Revision,
    Role, Version, ZoneName,
};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const NOW: MonotonicTime = MonotonicTime::from_millis(60_000);

fn engine(number: usize) -> EngineView {
    let zone = ZoneName::from(format!("zone-{}", number % 7));
    let pool = PoolName::from("pool");
    EngineView {
        engine: EngineId::from(format!("engine-{number:04}")),
        group: GroupId::of(&pool, &zone),
        pool,
        zone,
        address: ([127, 0, 0, 1], 9_000).into(),
        incarnation: Incarnation(1),
        role: Some(Role::ALL[number % 3]),
        models: vec![LoadedModel {
            model: ModelName::from("model"),
            version: Version::from("1"),
            adapters: Vec::new(),
        }],
        running: (number % 40) as u32,
        waiting: 0,
        queued_prefill_tokens: (number % 13) as u64 * 500,
        prefill_tokens_per_s: 0.0,
        decode_tokens_per_s: 0.0,
        capacity: 128,
        reported_at: MonotonicTime::from_millis(59_500),
        accepting: !number.is_multiple_of(50),
    }
}

fn request() -> RouteRequest {
    let prompt = "A plate of the harbour, with the names of the ships. ".repeat(200);
    let mut request = RouteRequest::new(
        ModelName::from("model"),
        ZoneName::from("zone-1"),
        2_500,
        256,
    );
    request.blocks = prompt_blocks(&prompt);
    request.may_split = true;
    request.deadlines = Deadlines {
        first_token: Some(Duration::from_secs(4)),
        whole: Some(Duration::from_secs(60)),
    };
    request
}

fn decide(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("decide");
    for count in [100, 700] {
        let view = FleetView {
            revision: Revision(1),
            engines: (0..count).map(engine).collect(),
        };
        let request = request();
        let mut router = Router::new(RouterConfig::default());
        for sent_to in view.engines.iter().step_by(3).take(64) {
            router.record_sent(NOW, sent_to, &request, Placement::Whole);
        }
        let mut random = ChaCha8Rng::seed_from_u64(1);
        let name = BenchmarkId::from_parameter(count);
        group.bench_function(name, |bencher| {
            bencher.iter(|| black_box(router.decide(NOW, &view, &request, &mut random)));
        });
    }
    group.finish();
}

criterion_group!(benches, decide);
criterion_main!(benches);
