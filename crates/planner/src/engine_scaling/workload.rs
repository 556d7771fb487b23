//! How many engines the work of a pool keeps busy, from what is observed of it.

use std::collections::BTreeMap;

use dalestand_types::MonotonicTime;
use serde::Serialize;

/// A request that is asked for is taken for this many that engines begin at most, where what one takes is not known:
/// callers that are refused come back, and each is counted again.
const MOST_UNSERVED: f64 = 4.0;

/// Below this, in requests a second, a rate says nothing about its relation to another.
const LEAST_RATE_PER_S: f64 = 1.0;

/// Above this share of the slots requests wait for each other, and take longer than they need.
const CALM_USE: f64 = 0.8;

/// Requests that are asked for over those begun, up to which all are taken to be served: both are means over seconds.
const CALM_UNSERVED: f64 = 1.1;

/// Under more work than engines do, so many times those at work are taken to be needed at most. What is beyond it shows
/// once they serve, and refused callers that come again do not add up.
const MOST_GROWTH: f64 = 2.0;

/// Time constant of what a request takes, in seconds: longer than a shift of the mix within a class lasts.
const LEARNT_TIME_S: f64 = 10.0;

/// Time between two samples that is counted at most, in seconds.
const LONGEST_STEP_S: f64 = 3.0;

/// Requests of one class, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ClassWorkload {
    /// Requests a second that came for the first time.
    pub asked_per_s: f64,
    /// Requests a second that engines began to answer.
    pub begun_per_s: f64,
    /// Slots that requests take up, those queued at engines among them.
    pub busy_slots: f64,
    /// Prompt tokens a second that engines prefill.
    pub prefill_tokens_per_s: f64,
}

impl ClassWorkload {
    fn is_sound(&self) -> bool {
        let figures = [
            self.asked_per_s,
            self.begun_per_s,
            self.busy_slots,
            self.prefill_tokens_per_s,
        ];
        let mut figures = figures.into_iter();
        figures.all(|figure| figure.is_finite() && figure >= 0.0)
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

/// What a pool's engines do and are asked to do.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolWorkload {
    /// Requests by priority.
    pub classes: BTreeMap<u8, ClassWorkload>,
    /// Time to prefill a token, as learnt, in seconds.
    pub prefill_token_s: f64,
    /// Slots of all engines that take work.
    pub slots: f64,
    /// Engines that take work.
    pub engines: f64,
}

impl PoolWorkload {
    /// All classes together.
    pub fn total(&self) -> ClassWorkload {
        let mut total = ClassWorkload::default();
        for class in self.classes.values() {
            total.asked_per_s += class.asked_per_s;
            total.begun_per_s += class.begun_per_s;
            total.busy_slots += class.busy_slots;
            total.prefill_tokens_per_s += class.prefill_tokens_per_s;
        }
        total
    }

    /// Engines kept busy by one class or by all: those that generate by their slots, those that prefill by their
    /// tokens.
    fn engines_busy(&self, work: &ClassWorkload) -> f64 {
        let in_slots = (work.busy_slots / self.slots).min(1.0) * self.engines;
        let in_prefill = (work.prefill_tokens_per_s * self.prefill_token_s).min(self.engines);
        in_slots + in_prefill
    }

    /// Whether requests do not wait for each other. What is refused then is not for want of engines.
    fn is_calm(&self) -> bool {
        self.total().busy_slots <= self.slots * CALM_USE
    }

    fn is_sound(&self) -> bool {
        let is_time = self.prefill_token_s.is_finite() && self.prefill_token_s >= 0.0;
        is_time
            && self.engines >= 1.0
            && self.slots >= 1.0
            && self.classes.values().all(ClassWorkload::is_sound)
    }
}

/// What one request of each class takes, in seconds of an engine, learnt while all are served.
#[derive(Clone, Debug, Default)]
pub struct RequestCost {
    learnt_s: BTreeMap<u8, f64>,
    sampled_at: Option<MonotonicTime>,
}

impl RequestCost {
    /// Engines that the work would keep busy all the time if all of it were served. `None` where no engine is known
    /// or a figure is no number.
    pub fn engines_needed(&mut self, now: MonotonicTime, work: &PoolWorkload) -> Option<f64> {
        if !work.is_sound() {
            return None;
        }
        let busy = work.engines_busy(&work.total());
        if work.is_calm() {
            if work.total().unserved() <= CALM_UNSERVED {
                self.learn(now, work);
            }
            return Some(busy);
        }
        // Under more work than engines do, what is busy and waits says little of what is asked for.
        let asked = work.classes.iter().map(|(class, asked)| {
            let learnt = self.learnt_s.get(class);
            learnt.map_or_else(
                || work.engines_busy(asked) * asked.unserved(),
                |request_s| request_s * asked.asked_per_s,
            )
        });
        Some(asked.sum::<f64>().max(busy).min(work.engines * MOST_GROWTH))
    }

    fn learn(&mut self, now: MonotonicTime, work: &PoolWorkload) {
        let passed = now.since(self.sampled_at.unwrap_or(now));
        let passed_s = passed.as_secs_f64().min(LONGEST_STEP_S);
        self.sampled_at = Some(now);
        let gain = 1.0 - (-passed_s / LEARNT_TIME_S).exp();
        for (class, seen) in &work.classes {
            if seen.begun_per_s >= LEAST_RATE_PER_S {
                let seen_s = work.engines_busy(seen) / seen.begun_per_s;
                let learnt_s = self.learnt_s.entry(*class).or_insert(seen_s);
                *learnt_s += gain * (seen_s - *learnt_s);
            }
        }
    }
}
