//! How fast a shard may write.

use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Time between two writes of one shard under lasting load.
const WRITE_INTERVAL: Duration = Duration::from_millis(1_300);

/// Writes that a shard which was idle may make without waiting.
const BURST_WRITES: u32 = 4;

/// Bounds a shard's writes, so that the calls to the key-value service do not grow with requests.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WritePace {
    /// Until when the writes so far use up what lasting load allows.
    paid_until: MonotonicTime,
}

impl WritePace {
    /// Counts a write; yields when the next one may be made.
    pub(crate) fn written(&mut self, now: MonotonicTime) -> MonotonicTime {
        self.paid_until = self.paid_until.max(now) + WRITE_INTERVAL;
        self.paid_until
            .saturating_sub(WRITE_INTERVAL * BURST_WRITES)
    }
}
