//! Token bucket that limits bytes per second.

use dalestand_types::MonotonicTime;

/// Token bucket with a capacity of one second of its rate. Its balance may become negative.
pub(crate) struct ByteBudget {
    per_second: f64,
    available: f64,
    refilled_at: MonotonicTime,
}

impl ByteBudget {
    /// A full bucket.
    pub(crate) fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            available: per_second,
            refilled_at: MonotonicTime::ZERO,
        }
    }

    /// Refills the bucket up to `now` and returns whether anything may be sent.
    pub(crate) fn has_allowance(&mut self, now: MonotonicTime) -> bool {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * self.per_second).min(self.per_second);
        self.refilled_at = now;
        self.available > 0.0
    }

    /// Subtracts bytes that were sent.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.available -= bytes as f64;
    }
}
