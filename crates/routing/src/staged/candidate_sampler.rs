//! Selects the engines that a choice compares: engines that cache the prompt's parts, the affinity target and
//! a random sample.
//!
//! On average, the best of `n` random engines lies among the best `1 / (n + 1)` of all, so neither the quality
//! nor the cost of a choice depends on the size of the fleet. The random order also breaks ties between equal
//! engines: with a fixed order, all nodes would choose the same one.

use std::cell::RefCell;

use dalestand_types::ZoneName;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::engine_pool::{EnginePool, SampleSize};
use super::part_directory::PartDirectory;
use super::{EngineKey, Stage, StagedEngine, StagedRequest};

/// Engines of one stage compared for a prompt. If the stage has no more engines than this, all are
/// compared. On average, the best of 32 is among the best 3 percent.
const PROMPT_SAMPLE: SampleSize = SampleSize {
    engines: 32,
    preferred_zone: 24,
};

/// Engines compared for an opaque request. A node knows only its own work at these engines: with a larger
/// sample it would send most requests to the few engines that it has found to be fast.
const OPAQUE_SAMPLE: SampleSize = SampleSize {
    engines: 8,
    preferred_zone: 6,
};

/// Engines drawn if all of the first sample are closed or were tried. If one engine in a hundred is open, the
/// sample contains an open one with a probability of 99 percent.
const FALLBACK_SAMPLE: SampleSize = SampleSize {
    engines: 512,
    preferred_zone: 256,
};

/// Draws the engines that a choice compares.
#[derive(Clone, Debug)]
pub struct CandidateSampler(RefCell<ChaCha8Rng>);

impl Default for CandidateSampler {
    fn default() -> Self {
        Self::seeded(0)
    }
}

impl CandidateSampler {
    /// Creates a sampler whose draws are determined by `seed`.
    pub fn seeded(seed: u64) -> Self {
        Self(RefCell::new(ChaCha8Rng::seed_from_u64(seed)))
    }

    /// A random number, uniform in `[0, 1)`.
    pub(super) fn uniform(&self) -> f64 {
        self.0.borrow_mut().random_range(0.0..1.0)
    }

    /// Engines of `stage` to compare for a prompt, including the affinity target and holders of its parts.
    pub(super) fn for_prompt<'p>(
        &self,
        pool: &'p EnginePool,
        stage: Stage,
        preferred: &ZoneName,
        request: &StagedRequest,
        known: KnownCandidates<'_>,
        is_open: impl Fn(EngineKey) -> bool,
    ) -> Vec<&'p StagedEngine> {
        let random = &mut *self.0.borrow_mut();
        let sample = pool.sample(random, stage, preferred, PROMPT_SAMPLE);
        let mut candidates = eligible(sample, request, &is_open);
        if candidates.is_empty() {
            let sample = pool.sample(random, stage, preferred, FALLBACK_SAMPLE);
            candidates = eligible(sample, request, &is_open);
        }
        // Otherwise the sample already contains all engines.
        if PROMPT_SAMPLE.engines < pool.count(stage) {
            let holders = known.parts.holders(&request.parts);
            for key in holders.into_iter().chain(known.affinity_target) {
                let engine = pool.get(key).filter(|engine| engine.stage == stage);
                if let Some(engine) = engine
                    && is_open(key)
                    && !request.tried.contains(&key)
                    && !candidates.iter().any(|candidate| candidate.key == key)
                {
                    candidates.push(engine);
                }
            }
        }
        candidates
    }

    /// Engines to compare for an opaque request.
    pub(super) fn for_opaque<'p>(
        &self,
        pool: &'p EnginePool,
        preferred: &ZoneName,
        request: &StagedRequest,
        is_open: impl Fn(EngineKey) -> bool,
    ) -> Vec<&'p StagedEngine> {
        let random = &mut *self.0.borrow_mut();
        // Makes up for engines that were tried and are removed from the sample.
        let size = SampleSize {
            engines: OPAQUE_SAMPLE.engines + request.tried.len(),
            preferred_zone: OPAQUE_SAMPLE.preferred_zone + request.tried.len(),
        };
        let sample = pool.sample(random, Stage::Opaque, preferred, size);
        let candidates = eligible(sample, request, &is_open);
        if !candidates.is_empty() {
            return candidates;
        }
        let sample = pool.sample(random, Stage::Opaque, preferred, FALLBACK_SAMPLE);
        eligible(sample, request, &is_open)
    }
}

/// Sources of engines that are compared for a prompt in addition to the random sample.
#[derive(Clone, Copy)]
pub(super) struct KnownCandidates<'a> {
    /// Prompt parts cached by engines.
    pub(super) parts: &'a PartDirectory,
    /// The engine that every node computes for the prompt's affinity part.
    pub(super) affinity_target: Option<EngineKey>,
}

/// Removes engines that were tried before or are closed to calls.
fn eligible<'p>(
    mut sample: Vec<&'p StagedEngine>,
    request: &StagedRequest,
    is_open: impl Fn(EngineKey) -> bool,
) -> Vec<&'p StagedEngine> {
    sample.retain(|engine| !request.tried.contains(&engine.key) && is_open(engine.key));
    sample
}
