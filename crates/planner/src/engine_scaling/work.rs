//! How many engines the work of a pool keeps busy, from what is observed of it.

use serde::Serialize;

/// Requests that were asked for are taken for this many times those that engines began at most: callers that are
/// refused come back, and each is counted again.
const MOST_UNSERVED: f64 = 4.0;

/// Below this, in requests a second, a rate says nothing about its relation to another.
const LEAST_RATE_PER_S: f64 = 1.0;

/// What a pool's engines do and are asked to do, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct PoolWork {
    /// Requests a second that came for the first time.
    pub asked_per_s: f64,
    /// Requests a second that engines began to answer.
    pub begun_per_s: f64,
    /// Slots that requests take up, those queued at engines among them.
    pub busy_slots: f64,
    /// Prompt tokens a second that engines prefill.
    pub prefill_tokens_per_s: f64,
    /// Time to prefill a token, as learnt, in seconds.
    pub prefill_token_s: f64,
    /// Slots of all engines that take work.
    pub slots: f64,
    /// Engines that take work.
    pub engines: f64,
}

impl PoolWork {
    /// Engines that the work would keep busy all the time if all of it were served: those that generate by their
    /// slots, those that prefill by their tokens. `None` where no engine is known or a figure is no number.
    pub fn engines_needed(&self) -> Option<f64> {
        let figures = [
            self.asked_per_s,
            self.begun_per_s,
            self.busy_slots,
            self.prefill_tokens_per_s,
            self.prefill_token_s,
        ];
        let is_sound = figures
            .iter()
            .all(|figure| figure.is_finite() && *figure >= 0.0);
        if !is_sound || self.engines < 1.0 || self.slots < 1.0 {
            return None;
        }
        let in_slots = (self.busy_slots / self.slots).min(1.0) * self.engines;
        let in_prefill = (self.prefill_tokens_per_s * self.prefill_token_s).min(self.engines);
        Some((in_slots + in_prefill) * self.unserved())
    }

    /// Requests that were asked for over those that were begun.
    fn unserved(&self) -> f64 {
        if self.asked_per_s < LEAST_RATE_PER_S {
            return 1.0;
        }
        let begun = self.begun_per_s.max(LEAST_RATE_PER_S);
        (self.asked_per_s / begun).clamp(1.0, MOST_UNSERVED)
    }
}
