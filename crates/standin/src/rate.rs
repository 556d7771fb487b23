//! A token bucket, for stand-ins that limit their callers.

use std::time::{Duration, Instant};

/// A bucket that holds at most one second's worth of calls.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    available: f64,
    refilled: Instant,
}

impl RateLimiter {
    /// A limiter of `per_second` calls a second.
    pub fn new(per_second: f64, now: Instant) -> Self {
        Self {
            per_second,
            available: per_second.max(1.0),
            refilled: now,
        }
    }

    /// Takes one call, or yields how long until the next is allowed.
    pub fn take(&mut self, now: Instant) -> Result<(), Duration> {
        let passed = now.duration_since(self.refilled).as_secs_f64();
        self.refilled = now;
        let limit = self.per_second.max(1.0);
        self.available = (self.available + passed * self.per_second).min(limit);
        if self.available >= 1.0 {
            self.available -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(
            (1.0 - self.available) / self.per_second.max(0.001),
        ))
    }
}
