//! Which engines a choice compares: those that keep the prompt's parts, the affinity target, and some
//! drawn at random.
//!
//! The best of `n` engines drawn at random lies among the best `1 / (n + 1)` of all on average,
//! whatever their number, so the quality of a choice does not depend on the size of the fleet, and its
//! cost does not either. Random order also decides between engines that look alike: nodes that knew
//! nothing of engines' work used to take the first in the order of keys, all of them the same.

use std::cell::RefCell;

use dalestand_types::ZoneName;
use rand::SeedableRng as _;
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

/// Draws the engines that are compared.
#[derive(Clone, Debug)]
pub struct CandidateDraws(RefCell<ChaCha8Rng>);

impl Default for CandidateDraws {
    fn default() -> Self {
        Self::seeded(0)
    }
}

impl CandidateDraws {
    /// Draws that differ from those of another seed.
    pub fn seeded(seed: u64) -> Self {
        Self(RefCell::new(ChaCha8Rng::seed_from_u64(seed)))
    }

    /// Engines of `stage` for a prompt, `target` and holders of its parts among them.
    pub(super) fn for_prompt<'p>(
        &self,
        pool: &'p EnginePool,
        stage: Stage,
        preferred: &ZoneName,
        request: &StagedRequest,
        known: KnownCandidates<'_>,
    ) -> Vec<&'p StagedEngine> {
        let random = &mut *self.0.borrow_mut();
        let mut candidates = pool.sample(random, stage, preferred, PROMPT_SAMPLE);
        // Where all are compared, nothing is missing.
        if candidates.len() < pool.count(stage) {
            let named = known.parts.holders(&request.parts);
            for key in named.into_iter().chain(known.target) {
                let engine = pool.get(key).filter(|engine| engine.stage == stage);
                if let Some(engine) = engine
                    && !candidates.iter().any(|candidate| candidate.key == key)
                {
                    candidates.push(engine);
                }
            }
        }
        without_tried(candidates, request)
    }

    /// Engines for an opaque request.
    pub(super) fn for_opaque<'p>(
        &self,
        pool: &'p EnginePool,
        preferred: &ZoneName,
        request: &StagedRequest,
    ) -> Vec<&'p StagedEngine> {
        let random = &mut *self.0.borrow_mut();
        // Those that were tried must not use the sample up.
        let size = SampleSize {
            engines: OPAQUE_SAMPLE.engines + request.tried.len(),
            preferred_zone: OPAQUE_SAMPLE.preferred_zone + request.tried.len(),
        };
        let candidates = pool.sample(random, Stage::Opaque, preferred, size);
        without_tried(candidates, request)
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

fn without_tried<'p>(
    mut candidates: Vec<&'p StagedEngine>,
    request: &StagedRequest,
) -> Vec<&'p StagedEngine> {
    candidates.retain(|engine| !request.tried.contains(&engine.key));
    candidates
}
