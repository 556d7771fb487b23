//! A token bucket for test doubles that limit the call rate.

use std::time::{Duration, Instant};

/// A token bucket with a capacity of one second's worth of calls, at least one.
#[derive(Debug)]
pub struct RateLimiter {
    per_second: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Creates a full bucket that refills at `per_second` calls per second.
    pub fn new(per_second: f64, now: Instant) -> Self {
        Self {
            per_second,
            tokens: per_second.max(1.0),
            refilled_at: now,
        }
    }

    /// Acquires one call, or returns the time until the next one is allowed.
    pub fn try_acquire(&mut self, now: Instant) -> Result<(), Duration> {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let capacity = self.per_second.max(1.0);
        self.tokens = (self.tokens + elapsed * self.per_second).min(capacity);
        if self.tokens >= 1.0 {
            self.tokens -= 1.0;
            return Ok(());
        }
        Err(Duration::from_secs_f64(
            (1.0 - self.tokens) / self.per_second.max(0.001),
        ))
    }
}
