//! Wall-clock time that ignores short-lived jumps of the system clock.

use std::time::Duration;

use dalestand_types::MonotonicTime;

/// A difference up to this is drift and is followed; a larger one is a jump. Synchronised clocks
/// drift by milliseconds a minute.
const MAX_DRIFT: Duration = Duration::from_millis(200);

/// A jump that persists for this long is accepted; a clock set by mistake is corrected sooner.
const JUMP_ACCEPTED_AFTER: Duration = Duration::from_secs(60);

/// Unix time derived from the monotonic clock. The system clock may jump by seconds and return; usage
/// counted by it would fall into the wrong windows meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    /// Unix time at the zero of the monotonic clock.
    origin: Duration,
    /// When the current jump was first observed.
    jumped_at: Option<MonotonicTime>,
}

impl WallClock {
    /// Creates a clock that reads `unix_time` at `now`.
    pub fn new(now: MonotonicTime, unix_time: Duration) -> Self {
        Self {
            origin: origin(now, unix_time),
            jumped_at: None,
        }
    }

    /// Unix time at `now`.
    pub fn at(&self, now: MonotonicTime) -> Duration {
        self.origin + now.since(MonotonicTime::ZERO)
    }

    /// Compares the clock with the system's `unix_time` at `now`: follows drift, and a jump that persists.
    pub fn observe(&mut self, now: MonotonicTime, unix_time: Duration) {
        let observed = origin(now, unix_time);
        if observed.abs_diff(self.origin) <= MAX_DRIFT {
            self.origin = observed;
            self.jumped_at = None;
            return;
        }
        let jumped_at = *self.jumped_at.get_or_insert(now);
        if now.since(jumped_at) >= JUMP_ACCEPTED_AFTER {
            self.origin = observed;
            self.jumped_at = None;
        }
    }
}

fn origin(now: MonotonicTime, unix_time: Duration) -> Duration {
    unix_time.saturating_sub(now.since(MonotonicTime::ZERO))
}
