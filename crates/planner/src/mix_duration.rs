//! How long a mix of tokens is expected to last.

use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Stay expected before any shift was seen.
const FIRST_STAY: Duration = Duration::from_secs(90);

/// Weight of a new stay in the average.
const NEW_STAY_WEIGHT: f64 = 0.4;

/// Which way the mix leans against its own long average.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Lean {
    /// More prompt tokens than usual.
    Prefill,
    /// More output tokens than usual.
    Decode,
}

/// Learns how long the mix stays on one side.
#[derive(Clone, Debug)]
pub(crate) struct StayEstimate {
    average: Duration,
    lean: Option<Lean>,
    since: MonotonicTime,
    shifts: u32,
}

impl StayEstimate {
    /// An estimate that has seen no shift.
    pub(crate) fn new() -> Self {
        Self {
            average: FIRST_STAY,
            lean: None,
            since: MonotonicTime::ZERO,
            shifts: 0,
        }
    }

    /// Notes the lean of the mix now; no lean leaves the last one standing.
    pub(crate) fn observe(&mut self, now: MonotonicTime, lean: Option<Lean>) {
        let Some(lean) = lean else {
            return;
        };
        match self.lean {
            None => {}
            Some(known) if known == lean => return,
            Some(_) => {
                let stay = now.since(self.since);
                self.average = self
                    .average
                    .mul_f64(1.0 - NEW_STAY_WEIGHT)
                    .saturating_add(stay.mul_f64(NEW_STAY_WEIGHT));
                self.shifts += 1;
            }
        }
        self.lean = Some(lean);
        self.since = now;
    }

    /// How much longer the present mix is expected to last: what is left of an average stay, and
    /// once it has outlived that, as long again as it has lasted.
    pub(crate) fn expected(&self, now: MonotonicTime) -> Duration {
        let lasted = now.since(self.since);
        let left = self.average.saturating_sub(lasted);
        left.max(lasted.min(self.average))
    }
}
