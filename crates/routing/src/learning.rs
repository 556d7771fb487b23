//! Speeds of engines, learnt from what they do with this node's requests.

use std::collections::HashMap;

use dalestand_types::{EngineId, ModelName, PoolName, Role};

/// Weight kept by older observations when a new one comes in.
const FORGETTING: f64 = 0.98;

/// Observations that the prior counts for.
const PRIOR_WEIGHT: f64 = 8.0;

/// Weight of a new observation in an average.
const NEW_WEIGHT: f64 = 0.05;

/// Slowness of one engine against its pool is kept within these bounds.
const SLOWNESS_BOUNDS: (f64, f64) = (0.5, 8.0);

/// Speeds assumed before anything was learnt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PriorSpeeds {
    /// Time of one queued prompt token, in seconds.
    pub prefill_token_s: f64,
    /// Time between output tokens of an engine with an empty batch, in seconds.
    pub token_gap_s: f64,
    /// Added time between output tokens for each request it holds, in seconds.
    pub token_gap_per_request_s: f64,
    /// Time to move the KV cache of one prompt token to another engine, in seconds.
    pub import_token_s: f64,
    /// Output tokens generated as a share of the most asked for.
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

/// A line through recent observations, held near a prior while there are few.
#[derive(Clone, Copy, Debug)]
pub(crate) struct LinearFit {
    weight: f64,
    x: f64,
    y: f64,
    xx: f64,
    xy: f64,
}

impl LinearFit {
    /// A fit that follows `offset + slope * x` around `scale` until it has learnt.
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

    /// Takes in one observation.
    pub(crate) fn observe(&mut self, x: f64, y: f64) {
        for sum in [
            &mut self.weight,
            &mut self.x,
            &mut self.y,
            &mut self.xx,
            &mut self.xy,
        ] {
            *sum *= FORGETTING;
        }
        self.add(x, y, 1.0);
    }

    /// The value expected at `x`; never negative, and never falling with `x`.
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

    /// How far it has left its prior behind, from 0 to 1.
    pub(crate) fn confidence(&self) -> f64 {
        (1.0 - PRIOR_WEIGHT / self.weight).max(0.0)
    }

    /// How much the value rises for each unit of `x`, as seen over `span` from zero.
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

/// What was learnt of a pool's engines in one role.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoleSpeeds {
    /// Time to the first token by prompt tokens ahead and own.
    pub(crate) first_token: LinearFit,
    /// Time between tokens by requests held.
    pub(crate) token_gap: LinearFit,
    /// Time to the first token after an import, by prompt tokens.
    pub(crate) import: LinearFit,
    /// Share of the prompt tokens expected in a prefix cache that were found there.
    pub(crate) prefix_trust: f64,
}

impl RoleSpeeds {
    /// Speeds before anything was learnt.
    pub(crate) fn new(prior: &PriorSpeeds) -> Self {
        Self {
            first_token: LinearFit::prior(prior.token_gap_s, prior.prefill_token_s, 4_000.0),
            token_gap: LinearFit::prior(prior.token_gap_s, prior.token_gap_per_request_s, 64.0),
            import: LinearFit::prior(2.0 * prior.token_gap_s, prior.import_token_s, 4_000.0),
            prefix_trust: 0.8,
        }
    }

    /// Notes how much of an expected prefix was found.
    pub(crate) fn observe_prefix(&mut self, expected: u32, found: u32) {
        if expected == 0 {
            return;
        }
        let share = (f64::from(found) / f64::from(expected)).min(1.0);
        self.prefix_trust += NEW_WEIGHT * (share - self.prefix_trust);
    }
}

/// Everything a node has learnt of speeds.
#[derive(Clone, Debug)]
pub(crate) struct Learned {
    prior: PriorSpeeds,
    roles: HashMap<(PoolName, Role), RoleSpeeds>,
    output_shares: HashMap<ModelName, f64>,
    slowness: HashMap<EngineId, f64>,
}

impl Learned {
    /// Nothing learnt yet.
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

    /// Speeds of a pool's engines in a role, to be taught.
    pub(crate) fn role_mut(&mut self, pool: &PoolName, role: Role) -> &mut RoleSpeeds {
        let prior = &self.prior;
        self.roles
            .entry((pool.clone(), role))
            .or_insert_with(|| RoleSpeeds::new(prior))
    }

    /// Output tokens expected of a request.
    pub(crate) fn output_tokens(&self, model: &ModelName, max_tokens: u32) -> f64 {
        let share = self.output_shares.get(model).copied();
        f64::from(max_tokens) * share.unwrap_or(self.prior.output_share)
    }

    /// Notes the length of an answer.
    pub(crate) fn observe_output(&mut self, model: &ModelName, max_tokens: u32, tokens: u32) {
        let prior = self.prior.output_share;
        let share = self.output_shares.entry(model.clone()).or_insert(prior);
        let seen = f64::from(tokens) / f64::from(max_tokens.max(1));
        *share += NEW_WEIGHT * (seen - *share);
    }

    /// How much slower an engine is than its pool.
    pub(crate) fn slowness(&self, engine: &EngineId) -> f64 {
        self.slowness.get(engine).copied().unwrap_or(1.0)
    }

    /// Notes how long an engine took against what was expected of its pool.
    pub(crate) fn observe_slowness(&mut self, engine: &EngineId, seen_s: f64, expected_s: f64) {
        if expected_s <= 0.0 {
            return;
        }
        let (low, high) = SLOWNESS_BOUNDS;
        let ratio = (seen_s / expected_s).clamp(low, high);
        let slowness = self.slowness.entry(engine.clone()).or_insert(1.0);
        *slowness += NEW_WEIGHT * (ratio - *slowness);
    }
}
