//! How fast engines read prompts, learnt from readings.

use std::collections::HashMap;

use super::{EngineKey, Stage};
use crate::learning::LinearFit;

/// Assumed until it is learnt: time of a reading without tokens, in seconds.
const PRIOR_START_S: f64 = 8e-3;

/// Assumed until it is learnt: time of one token, in seconds.
const PRIOR_TOKEN_S: f64 = 20e-6;

/// Tokens over which the assumption is spread.
const PRIOR_SPAN_TOKENS: f64 = 8_000.0;

/// A decode engine reads prompts at this multiple of a prefill engine's time.
const DECODE_READING_FACTOR: f64 = 2.0;

/// Weight of the newest reading in an engine's slowness.
const NEWEST_WEIGHT: f64 = 0.15;

/// Bounds on the slowness of one engine against the others.
const SLOWNESS_BOUNDS: (f64, f64) = (0.7, 10.0);

/// Speeds of one pool.
#[derive(Clone, Debug)]
pub struct PrefillSpeeds {
    reading: LinearFit,
    slowness: HashMap<EngineKey, f64>,
}

impl Default for PrefillSpeeds {
    fn default() -> Self {
        Self {
            reading: LinearFit::prior(PRIOR_START_S, PRIOR_TOKEN_S, PRIOR_SPAN_TOKENS),
            slowness: HashMap::new(),
        }
    }
}

impl PrefillSpeeds {
    /// Expected seconds until an engine has read `tokens`, with those queued before.
    pub fn expected_s(&self, engine: EngineKey, stage: Stage, tokens: f64) -> f64 {
        self.usual_s(stage, tokens) * self.slowness(engine)
    }

    /// The same at an engine of usual speed.
    pub fn usual_s(&self, stage: Stage, tokens: f64) -> f64 {
        let factor = match stage {
            Stage::Prefill => 1.0,
            Stage::Decode | Stage::Opaque => DECODE_READING_FACTOR,
        };
        self.reading.at(tokens) * factor
    }

    /// The time that an engine takes, over that of a usual one.
    pub fn slowness(&self, engine: EngineKey) -> f64 {
        self.slowness.get(&engine).copied().unwrap_or(1.0)
    }

    /// Notes a reading by a prefill engine.
    pub fn observe(&mut self, engine: EngineKey, tokens: f64, seen_s: f64) {
        let expected_s = self.reading.at(tokens);
        if expected_s > 0.0 {
            let (low, high) = SLOWNESS_BOUNDS;
            let ratio = (seen_s / expected_s).clamp(low, high);
            let slowness = self.slowness.entry(engine).or_insert(1.0);
            *slowness += NEWEST_WEIGHT * (ratio - *slowness);
        }
        self.reading.observe(tokens, seen_s);
    }

    /// Forgets an engine.
    pub fn forget(&mut self, engine: EngineKey) {
        self.slowness.remove(&engine);
    }
}
