//! What this node counts of the requests of one pool and one priority, as means over the last seconds.

use dalestand_types::MonotonicTime;

use crate::figures::ClassFigures;

/// Time constant of the rates, in seconds: shorter than the shifts of demand that room and shares follow, which take
/// three seconds, and long enough that a node with ten requests a second sees some tens of them.
pub(crate) const RATE_TIME_CONSTANT_S: f64 = 2.0;

/// An event rate that fades.
#[derive(Clone, Copy, Debug)]
pub struct DecayingRate {
    time_s: f64,
    per_s: f64,
    counted_at: MonotonicTime,
}

impl Default for DecayingRate {
    fn default() -> Self {
        Self::with_time_constant(RATE_TIME_CONSTANT_S)
    }
}

impl DecayingRate {
    /// No events yet; they fade with a time constant of `time_s` seconds.
    pub fn with_time_constant(time_s: f64) -> Self {
        Self {
            time_s,
            per_s: 0.0,
            counted_at: MonotonicTime::ZERO,
        }
    }

    /// Counts `amount` at `now`.
    pub fn count(&mut self, now: MonotonicTime, amount: f64) {
        self.per_s = self.at(now) + amount / self.time_s;
        self.counted_at = now;
    }

    /// Takes in what another counted.
    pub fn add(&mut self, now: MonotonicTime, other: &Self) {
        self.per_s = self.at(now) + other.at(now);
        self.counted_at = now;
    }

    /// The rate at `now`, a second.
    pub fn at(&self, now: MonotonicTime) -> f64 {
        let passed_s = now.since(self.counted_at).as_secs_f64();
        self.per_s * (-passed_s / self.time_s).exp()
    }
}

/// Counts of one class of requests at this node.
#[derive(Clone, Debug, Default)]
pub struct ClassMeter {
    /// Requests that came for the first time.
    pub asked: DecayingRate,
    /// Requests that came back after a refusal.
    pub returned: DecayingRate,
    /// Requests that an engine began to answer.
    pub begun: DecayingRate,
    /// Requests that were refused.
    pub refused: DecayingRate,
    /// Those among them whose tenant was over its share.
    pub over_share: DecayingRate,
    /// Calls that engines refused.
    pub engine_refusals: DecayingRate,
    /// Prompt tokens that engines had to prefill.
    pub prefill_tokens: DecayingRate,
    /// Slots of engines that requests of this node take up now.
    pub busy_slots: u32,
    /// Requests that wait at this node for a place at an engine.
    pub waiting: u32,
    /// Callers that were given a time to come back which is not over.
    pub returns_due: u32,
}

impl ClassMeter {
    /// The figures at `now`.
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
