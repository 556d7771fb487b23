//! A bound on bytes a second.

use dalestand_types::MonotonicTime;

/// Allowance that refills with time, up to one second's worth.
pub(crate) struct ByteBudget {
    per_second: f64,
    left: f64,
    refilled_at: MonotonicTime,
}

impl ByteBudget {
    /// A full allowance.
    pub(crate) fn new(per_second: u32) -> Self {
        let per_second = f64::from(per_second);
        Self {
            per_second,
            left: per_second,
            refilled_at: MonotonicTime::ZERO,
        }
    }

    /// Whether anything may be sent now.
    pub(crate) fn is_open(&mut self, now: MonotonicTime) -> bool {
        let passed = now.since(self.refilled_at).as_secs_f64();
        self.left = (self.left + passed * self.per_second).min(self.per_second);
        self.refilled_at = now;
        self.left > 0.0
    }

    /// Takes bytes that were sent off the allowance.
    pub(crate) fn spend(&mut self, bytes: usize) {
        self.left -= bytes as f64;
    }
}
