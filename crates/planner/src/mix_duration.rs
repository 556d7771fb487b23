//! Learns how long a mix of prompt and output tokens lasts.

use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Duration assumed before the first shift.
const INITIAL_DURATION: Duration = Duration::from_secs(90);

/// Weight of the latest duration in the moving average.
const NEW_DURATION_WEIGHT: f64 = 0.4;

/// Direction in which the mix deviates from its recent average.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum MixBias {
    /// More prompt tokens than usual.
    Prefill,
    /// More output tokens than usual.
    Decode,
}

/// Moving average of the time between shifts of the mix.
#[derive(Clone, Debug)]
pub(crate) struct MixDurationEstimate {
    average: Duration,
    bias: Option<MixBias>,
    since: MonotonicTime,
    shifts: u32,
}

impl MixDurationEstimate {
    /// An estimate without any shift so far.
    pub(crate) fn new() -> Self {
        Self {
            average: INITIAL_DURATION,
            bias: None,
            since: MonotonicTime::ZERO,
            shifts: 0,
        }
    }

    /// Records the current bias of the mix. `None` leaves the last bias in place.
    pub(crate) fn observe(&mut self, now: MonotonicTime, bias: Option<MixBias>) {
        let Some(bias) = bias else {
            return;
        };
        match self.bias {
            None => {}
            Some(last) if last == bias => return,
            Some(_) => {
                let duration = now.since(self.since);
                self.average = self
                    .average
                    .mul_f64(1.0 - NEW_DURATION_WEIGHT)
                    .saturating_add(duration.mul_f64(NEW_DURATION_WEIGHT));
                self.shifts += 1;
            }
        }
        self.bias = Some(bias);
        self.since = now;
    }

    /// Expected remaining duration of the current mix. At first it is the rest of the average duration.
    /// Once the mix has lasted for half of that, it is the time for which the mix has lasted, up to the
    /// average duration.
    pub(crate) fn remaining(&self, now: MonotonicTime) -> Duration {
        let lasted = now.since(self.since);
        let left = self.average.saturating_sub(lasted);
        left.max(lasted.min(self.average))
    }
}
