//! Which engines a choice compares: those that keep the prompt's parts, the affinity target, and some
//! drawn at random.
//!
//! The best of `n` engines drawn at random lies among the best `1 / (n + 1)` of all on average,
//! whatever their number, so the quality of a choice does not depend on the size of the fleet, and its
//! cost does not either. Random order also decides between engines that look alike: nodes that knew
//! nothing of engines' work used to take the first in the order of keys, all of them the same.

use std::cell::RefCell;

use dalestand_types::ZoneName;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::parts::PartDirectory;
use super::pool::{EnginePool, SampleSize};
use super::{EngineKey, Stage, StagedEngine, StagedRequest};

/// Engines compared for a prompt, of one stage. Fleets of up to so many engines of a stage are compared
/// whole. Of 32 the best is among the best 3 in 100; three such samples, of which a choice for a prompt is
/// made, take a tenth of a millisecond.
const PROMPT_SAMPLE: SampleSize = SampleSize {
    engines: 32,
    preferred_zone: 24,
};

/// Engines compared for an opaque request. Of their work a node knows only its own, so that more of
/// them would only bring it back to the few that it has learnt to be fast.
const OPAQUE_SAMPLE: SampleSize = SampleSize {
    engines: 8,
    preferred_zone: 6,
};

/// Engines drawn where all of the first sample are closed or were tried. Where one engine in a hundred is
/// open, 99 choices in 100 find one.
const SECOND_SAMPLE: SampleSize = SampleSize {
    engines: 512,
    preferred_zone: 256,
};

/// Draws the engines that are compared.
#[derive(Clone, Debug)]
pub struct CandidateSampler(RefCell<ChaCha8Rng>);

impl Default for CandidateSampler {
    fn default() -> Self {
        Self::seeded(0)
    }
}

impl CandidateSampler {
    /// Draws that differ from those of another seed.
    pub fn seeded(seed: u64) -> Self {
        Self(RefCell::new(ChaCha8Rng::seed_from_u64(seed)))
    }

    /// A number from 0 to 1.
    pub(super) fn chance(&self) -> f64 {
        self.0.borrow_mut().random_range(0.0..1.0)
    }

    /// Engines of `stage` for a prompt, `target` and holders of its parts among them.
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
        let mut candidates = open(sample, request, &is_open);
        if candidates.is_empty() {
            let sample = pool.sample(random, stage, preferred, SECOND_SAMPLE);
            candidates = open(sample, request, &is_open);
        }
        // Where all are compared, nothing is missing.
        if PROMPT_SAMPLE.engines < pool.count(stage) {
            let named = known.parts.holders(&request.parts);
            for key in named.into_iter().chain(known.target) {
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

    /// Engines for an opaque request.
    pub(super) fn for_opaque<'p>(
        &self,
        pool: &'p EnginePool,
        preferred: &ZoneName,
        request: &StagedRequest,
        is_open: impl Fn(EngineKey) -> bool,
    ) -> Vec<&'p StagedEngine> {
        let random = &mut *self.0.borrow_mut();
        // Those that were tried must not use the sample up.
        let size = SampleSize {
            engines: OPAQUE_SAMPLE.engines + request.tried.len(),
            preferred_zone: OPAQUE_SAMPLE.preferred_zone + request.tried.len(),
        };
        let sample = pool.sample(random, Stage::Opaque, preferred, size);
        let candidates = open(sample, request, &is_open);
        if !candidates.is_empty() {
            return candidates;
        }
        let sample = pool.sample(random, Stage::Opaque, preferred, SECOND_SAMPLE);
        open(sample, request, &is_open)
    }
}

/// Engines that a prompt should be compared at for what is known of them.
#[derive(Clone, Copy)]
pub(super) struct KnownCandidates<'a> {
    /// Which engines keep which parts.
    pub(super) parts: &'a PartDirectory,
    /// The engine that all nodes agree on for the prompt.
    pub(super) target: Option<EngineKey>,
}

/// Engines that were not tried and are not closed to calls.
fn open<'p>(
    mut sample: Vec<&'p StagedEngine>,
    request: &StagedRequest,
    is_open: impl Fn(EngineKey) -> bool,
) -> Vec<&'p StagedEngine> {
    sample.retain(|engine| !request.tried.contains(&engine.key) && is_open(engine.key));
    sample
}
