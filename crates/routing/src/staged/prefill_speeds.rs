//! Prefill times of engines, learned from measured prefills.

use std::collections::HashMap;

use super::{EngineKey, Stage};
use crate::learning::LinearFit;

/// Initial estimate of the fixed time of a prefill, in seconds.
const PRIOR_FIXED_S: f64 = 8e-3;

/// Initial estimate of the prefill time per token, in seconds.
const PRIOR_PER_TOKEN_S: f64 = 20e-6;

/// The initial estimate counts as observations at zero and at this number of tokens.
const PRIOR_SPAN_TOKENS: f64 = 8_000.0;

/// Prefill time on a decode engine, relative to a prefill engine.
const DECODE_ENGINE_FACTOR: f64 = 2.0;

/// Weight of the newest prefill in the moving average of an engine's slowness.
const NEWEST_WEIGHT: f64 = 0.15;

/// Lower and upper bound of an engine's slowness.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 10.0);

/// A common model of prefill times with a slowness factor for each engine.
#[derive(Clone, Debug)]
pub struct PrefillSpeeds {
    prefill_time: LinearFit,
    slowness: HashMap<EngineKey, f64>,
}

impl Default for PrefillSpeeds {
    fn default() -> Self {
        Self {
            prefill_time: LinearFit::prior(PRIOR_FIXED_S, PRIOR_PER_TOKEN_S, PRIOR_SPAN_TOKENS),
            slowness: HashMap::new(),
        }
    }
}

impl PrefillSpeeds {
    /// Expected time for an engine to prefill `tokens`, including queued ones, in seconds.
    pub fn expected_s(&self, engine: EngineKey, stage: Stage, tokens: f64) -> f64 {
        self.usual_s(stage, tokens) * self.slowness(engine)
    }

    /// The same for an engine of average speed.
    pub fn usual_s(&self, stage: Stage, tokens: f64) -> f64 {
        let factor = match stage {
            Stage::Prefill => 1.0,
            Stage::Decode | Stage::Opaque => DECODE_ENGINE_FACTOR,
        };
        self.prefill_time.at(tokens) * factor
    }

    /// Prefill time of the engine relative to an engine of average speed.
    pub fn slowness(&self, engine: EngineKey) -> f64 {
        self.slowness.get(&engine).copied().unwrap_or(1.0)
    }

    /// Records a prefill of `tokens` by a prefill engine that took `measured_s` seconds.
    pub fn observe(&mut self, engine: EngineKey, tokens: f64, measured_s: f64) {
        let expected_s = self.prefill_time.at(tokens);
        if expected_s > 0.0 {
            let (low, high) = SLOWNESS_BOUNDS;
            let ratio = (measured_s / expected_s).clamp(low, high);
            let slowness = self.slowness.entry(engine).or_insert(1.0);
            *slowness += NEWEST_WEIGHT * (ratio - *slowness);
        }
        self.prefill_time.observe(tokens, measured_s);
    }

    /// Drops the slowness of an engine.
    pub fn forget(&mut self, engine: EngineKey) {
        self.slowness.remove(&engine);
    }
}
