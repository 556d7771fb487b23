//! Learns the speeds of engines from this node's requests.

use std::collections::HashMap;

use dalestand_types::{EngineId, ModelName, PoolName, Role};

/// Factor applied to the weight of older observations with each new one.
const DECAY: f64 = 0.98;

/// Weight of the prior, in observations.
const PRIOR_WEIGHT: f64 = 8.0;

/// Weight of a new observation in a moving average.
const NEW_WEIGHT: f64 = 0.05;

/// Bounds of an engine's slowness relative to its pool.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Speeds assumed before any observation.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorSpeeds {
    /// Prefill time per prompt token, in seconds.
    pub prefill_token_s: f64,
    /// Time between output tokens at an engine with an empty batch, in seconds.
    pub token_gap_s: f64,
    /// Additional time between output tokens per request at the engine, in seconds.
    pub token_gap_per_request_s: f64,
    /// Time to transfer the KV cache of one prompt token to another engine, in seconds.
    pub import_token_s: f64,
    /// Output tokens as a fraction of the requested maximum.
    pub output_share: f64,
}

impl Default for PriorSpeeds {
    fn default() -> Self {
        Self {
            prefill_token_s: 60e-6,
            token_gap_s: 10e-3,
            token_gap_per_request_s: 0.2e-3,
            import_token_s: 10e-6,
            output_share: 0.6,
        }
    }
}

/// Weighted linear regression over recent observations, regularized by a prior.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinearFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    /// A fit that starts as `offset + slope * x`. `scale` is a typical value of `x`.
    pub(crate) fn prior(offset: f64, slope: f64, scale: f64) -> Self {
        let mut fit = Self {
            weight: 0.0,
            x: 0.0,
            y: 0.0,
            xx: 0.0,
            xy: 0.0,
        };
        for x in [0.0, scale] {
            fit.add(x, offset + slope * x, PRIOR_WEIGHT / 2.0);
        }
        fit
    }

    /// Adds one observation.
    pub(crate) fn observe(&mut self, x: f64, y: f64) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= DECAY;
        }
        self.add(x, y, 1.0);
    }

    /// The expected value at `x`; never negative, and never decreasing with `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        let (mean_x, mean_y) = (self.x / self.weight, self.y / self.weight);
        let variance = self.xx / self.weight - mean_x * mean_x;
        let covariance = self.xy / self.weight - mean_x * mean_y;
        let slope = if variance > f64::EPSILON {
            (covariance / variance).max(0.0)
        } else {
            0.0
        };
        (mean_y + slope * (x - mean_x)).max(0.0)
    }

    /// Weight of the observations against the prior, from 0 (prior only) to 1.
    pub(crate) fn confidence(&self) -> f64 {
        (1.0 - PRIOR_WEIGHT / self.weight).max(0.0)
    }

    /// Mean increase per unit of `x`, between 0 and `span`.
    pub(crate) fn slope(&self, span: f64) -> f64 {
        (self.at(span) - self.at(0.0)) / span
    }

    fn add(&mut self, x: f64, y: f64, weight: f64) {
        self.weight += weight;
        self.x += weight * x;
        self.y += weight * y;
        self.xx += weight * x * x;
        self.xy += weight * x * y;
    }
}

/// Learned speeds of a pool's engines in one role.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoleSpeeds {
    /// Time to the first token in seconds, by prompt tokens to prefill until then.
    pub(crate) first_token: LinearFit,
    /// Time between tokens in seconds, by requests at the engine.
    pub(crate) token_gap: LinearFit,
    /// Time to the first token after a KV cache import in seconds, by prompt tokens.
    pub(crate) import: LinearFit,
    /// Fraction of the prompt tokens expected in a prefix cache that were found there.
    pub(crate) prefix_hit_rate: f64,
}

impl RoleSpeeds {
    /// Speeds before any observation.
    pub(crate) fn new(prior: &PriorSpeeds) -> Self {
        Self {
            first_token: LinearFit::prior(prior.token_gap_s, prior.prefill_token_s, 4_000.0),
            token_gap: LinearFit::prior(prior.token_gap_s, prior.token_gap_per_request_s, 64.0),
            import: LinearFit::prior(2.0 * prior.token_gap_s, prior.import_token_s, 4_000.0),
            prefix_hit_rate: 0.8,
        }
    }

    /// Records how many of the expected prefix tokens were found in the cache.
    pub(crate) fn observe_prefix(&mut self, expected: u32, found: u32) {
        if expected == 0 {
            return;
        }
        let share = (f64::from(found) / f64::from(expected)).min(1.0);
        self.prefix_hit_rate += NEW_WEIGHT * (share - self.prefix_hit_rate);
    }
}

/// All speeds that a node has learned.
#[derive(Clone, Debug)]
pub(crate) struct LearnedSpeeds {
    prior: PriorSpeeds,
    roles: HashMap<(PoolName, Role), RoleSpeeds>,
    output_shares: HashMap<ModelName, f64>,
    slowness: HashMap<EngineId, f64>,
}

impl LearnedSpeeds {
    /// No observations yet.
    pub(crate) fn new(prior: PriorSpeeds) -> Self {
        Self {
            prior,
            roles: HashMap::new(),
            output_shares: HashMap::new(),
            slowness: HashMap::new(),
        }
    }

    /// Speeds of a pool's engines in a role.
    pub(crate) fn role(&self, pool: &PoolName, role: Role) -> RoleSpeeds {
        let known = self.roles.get(&(pool.clone(), role));
        known.map_or_else(|| RoleSpeeds::new(&self.prior), |speeds| *speeds)
    }

    /// Speeds of a pool's engines in a role, for adding observations.
    pub(crate) fn role_mut(&mut self, pool: &PoolName, role: Role) -> &mut RoleSpeeds {
        let prior = &self.prior;
        self.roles
            .entry((pool.clone(), role))
            .or_insert_with(|| RoleSpeeds::new(prior))
    }

    /// Expected number of output tokens of a request.
    pub(crate) fn output_tokens(&self, model: &ModelName, max_tokens: u32) -> f64 {
        let share = self.output_shares.get(model).copied();
        f64::from(max_tokens) * share.unwrap_or(self.prior.output_share)
    }

    /// Records the length of an answer.
    pub(crate) fn observe_output(&mut self, model: &ModelName, max_tokens: u32, tokens: u32) {
        let prior = self.prior.output_share;
        let share = self.output_shares.entry(model.clone()).or_insert(prior);
        let observed = f64::from(tokens) / f64::from(max_tokens.max(1));
        *share += NEW_WEIGHT * (observed - *share);
    }

    /// Slowness of an engine relative to its pool; 1 if unknown.
    pub(crate) fn slowness(&self, engine: &EngineId) -> f64 {
        self.slowness.get(engine).copied().unwrap_or(1.0)
    }

    /// Records how long an engine took, compared with the time expected for its pool.
    pub(crate) fn observe_slowness(&mut self, engine: &EngineId, observed_s: f64, expected_s: f64) {
        if expected_s <= 0.0 {
            return;
        }
        let (low, high) = SLOWNESS_BOUNDS;
        let ratio = (observed_s / expected_s).clamp(low, high);
        let slowness = self.slowness.entry(engine.clone()).or_insert(1.0);
        *slowness += NEW_WEIGHT * (ratio - *slowness);
    }
}
