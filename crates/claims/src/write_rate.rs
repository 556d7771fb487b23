//! Rate limit on the writes of a shard.

use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Average time between two writes of a shard under sustained load.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_300);

/// Writes that an idle shard may make without delay.
const BURST_WRITES: u32 = 4;

/// Limits a shard's writes, so that the load on the key-value service does not grow with the
/// request rate.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WriteRateLimiter {
    /// When all writes so far would be done if they were made at one per [`WRITE_INTERVAL`].
    charged_until: MonotonicTime,
}

impl WriteRateLimiter {
    /// Counts a write and returns the earliest time of the next one.
    pub(crate) fn record_write(&mut self, now: MonotonicTime) -> MonotonicTime {
        self.charged_until = self.charged_until.max(now) + WRITE_INTERVAL;
        self.charged_until
            .saturating_sub(WRITE_INTERVAL * BURST_WRITES)
    }
}
