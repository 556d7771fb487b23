//! Counts this node's requests of one pool and priority, as rates over the last seconds.

use dalestand_types::MonotonicTime;

use crate::figures::ClassFigures;

/// Time constant of the rates, in seconds: short enough to follow changes in demand, long enough
/// for a stable rate at a node with few requests. Demand shifts within three seconds; at ten
/// requests per second a node sees some tens in this time.
pub(crate) const RATE_TIME_CONSTANT_S: f64 = 2.0;

/// Rate of events, averaged with exponential decay.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    time_constant_s: f64,
    per_s: f64,
    counted_at: MonotonicTime,
}

impl Default for DecayingRate {
    fn default() -> Self {
        Self::with_time_constant(RATE_TIME_CONSTANT_S)
    }
}

impl DecayingRate {
    /// A rate of zero that decays with the given time constant in seconds.
    pub fn with_time_constant(time_constant_s: f64) -> Self {
        Self {
            time_constant_s,
            per_s: 0.0,
            counted_at: MonotonicTime::ZERO,
        }
    }

    /// Counts `amount` events at `now`.
    pub fn count(&mut self, now: MonotonicTime, amount: f64) {
        self.per_s = self.at(now) + amount / self.time_constant_s;
        self.counted_at = now;
    }

    /// Adds the events that `other` has counted.
    pub fn add(&mut self, now: MonotonicTime, other: &Self) {
        self.per_s = self.at(now) + other.at(now);
        self.counted_at = now;
    }

    /// The rate at `now`, in events per second.
    pub fn at(&self, now: MonotonicTime) -> f64 {
        let passed_s = now.since(self.counted_at).as_secs_f64();
        self.per_s * (-passed_s / self.time_constant_s).exp()
    }
}

/// Counts of this node's requests of one class (pool and priority).
#[derive(Clone, Debug, Default)]
pub struct ClassMeter {
    /// Requests that arrived for the first time.
    pub asked: DecayingRate,
    /// Requests that callers retried after a refusal.
    pub returned: DecayingRate,
    /// Requests that an engine began to answer.
    pub begun: DecayingRate,
    /// Requests that were refused.
    pub refused: DecayingRate,
    /// Those refused because their tenant was over its share.
    pub over_share: DecayingRate,
    /// Calls that engines refused.
    pub engine_refusals: DecayingRate,
    /// Prompt tokens that engines had to prefill.
    pub prefill_tokens: DecayingRate,
    /// Engine slots in use by requests of this node.
    pub busy_slots: u32,
    /// Requests queued at this node.
    pub waiting: u32,
    /// Refused callers whose retry delay has not passed.
    pub returns_due: u32,
}

impl ClassMeter {
    pub fn figures(&self, now: MonotonicTime) -> ClassFigures {
        ClassFigures {
            asked_per_s: self.asked.at(now) as f32,
            returned_per_s: self.returned.at(now) as f32,
            begun_per_s: self.begun.at(now) as f32,
            refused_per_s: self.refused.at(now) as f32,
            over_share_per_s: self.over_share.at(now) as f32,
            engine_refusals_per_s: self.engine_refusals.at(now) as f32,
            busy_slots: self.busy_slots as f32,
            prefill_tokens_per_s: self.prefill_tokens.at(now) as f32,
            waiting: self.waiting as f32,
            returns_due: self.returns_due as f32,
        }
    }
}
