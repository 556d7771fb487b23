//! When refused callers are told to come back.
//!
//! Were all told the time by which the queues are too long now, they would come back together, to
//! queues that new callers keep as long. So each refused caller gets a slot of its own, and slots
//! follow each other at a part of the rate at which requests are admitted.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{ModelName, MonotonicTime};

/// Time constant of the rate of admissions, in seconds.
const RATE_TIME_S: f64 = 10.0;

/// Part of the admission rate that is kept for callers who come back.
const RETURN_SHARE: f64 = 0.25;

/// Lowest admission rate assumed, in requests a second.
const LOWEST_RATE: f64 = 0.2;

#[derive(Clone, Copy, Debug, Default)]
struct ModelSchedule {
    admitted_per_s: f64,
    counted_at: MonotonicTime,
    next_slot: MonotonicTime,
}

impl ModelSchedule {
    fn rate(&self, now: MonotonicTime) -> f64 {
        let passed_s = now.since(self.counted_at).as_secs_f64();
        self.admitted_per_s * (-passed_s / RATE_TIME_S).exp()
    }
}

/// Slots of refused callers by model.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReturnSchedule {
    models: HashMap<ModelName, ModelSchedule>,
}

impl ReturnSchedule {
    /// Notes that a request was admitted.
    pub(crate) fn admitted(&mut self, now: MonotonicTime, model: &ModelName) {
        let schedule = self.models.entry(model.clone()).or_default();
        schedule.admitted_per_s = schedule.rate(now) + 1.0 / RATE_TIME_S;
        schedule.counted_at = now;
    }

    /// Gives a refused caller a slot, no sooner than `shortest` and no later than `longest`.
    pub(crate) fn refused(
        &mut self,
        now: MonotonicTime,
        model: &ModelName,
        shortest: Duration,
        longest: Duration,
    ) -> Duration {
        let schedule = self.models.entry(model.clone()).or_default();
        let rate = schedule.rate(now).max(LOWEST_RATE) * RETURN_SHARE;
        let slot = schedule.next_slot.max(now + shortest);
        let wait = slot.since(now);
        if wait >= longest {
            return longest;
        }
        schedule.next_slot = slot + Duration::from_secs_f64(1.0 / rate);
        wait
    }
}
