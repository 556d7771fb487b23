//! Shared helpers of the planner's tests.

use dalestand_planner::PlannerConfig;
use dalestand_types::{
    EngineDigest, EngineId, EngineLoad, Epoch, GroupDigest, GroupId, Incarnation, NodeId, Role,
    Sequence,
};
use proptest::prelude::ProptestConfig;
use proptest::test_runner::{RngAlgorithm, RngSeed};

/// Report interval, in milliseconds.
pub const REPORT_MS: u64 = 1_000;

/// An engine that has not served any request yet.
pub fn idle_engine(number: usize, mixed: bool) -> EngineLoad {
    let role = match (mixed, number % 2) {
        (true, _) => Role::Mixed,
        (false, 0) => Role::Prefill,
        (false, _) => Role::Decode,
    };
    EngineLoad {
        engine: EngineId::from(format!("engine-{number}")),
        incarnation: Incarnation(1),
        sequence: Sequence(0),
        role: Some(role),
        running: 0,
        waiting: 0,
        queued_prefill_tokens: 0,
        capacity: 128,
        cache_tokens_used: 0,
        cache_tokens_total: 100_000,
        prefill_tokens_total: 0,
        decode_tokens_total: 0,
        models: Vec::new(),
    }
}

/// Default settings with the given change weight.
pub fn config(weight: f64) -> PlannerConfig {
    PlannerConfig {
        change_weight: weight,
        ..PlannerConfig::default()
    }
}

/// Deterministic property tests: fixed seed and no persisted failures.
pub fn cases(count: u32) -> ProptestConfig {
    ProptestConfig {
        cases: count,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

/// The digest of a group; the engine at index `drained` accepts no new work.
pub fn digest(
    group: &GroupId,
    second: u64,
    engines: &[EngineLoad],
    drained: Option<usize>,
) -> GroupDigest {
    let engines = engines.iter().enumerate();
    let engines = engines.map(|(index, load)| EngineDigest {
        load: load.clone(),
        age_ms: 0,
        accepting: drained != Some(index),
    });
    GroupDigest {
        group: group.clone(),
        epoch: Epoch(1),
        sequence: Sequence(second),
        holder: NodeId::from("node"),
        engines: engines.collect(),
    }
}
