//! Resets of new connections by an engine that accepts no more.
//!
//! An engine limits its connections from all nodes together, so a node learns of the limit only by such resets. A reset
//! arrives right after the handshake. What was sent by then may have run.

#[cfg(test)]
mod tests;

use std::time::Duration;

use dalestand_clock::BootInstant;

/// A new connection that is not reset within this time has been accepted. Several round trips between zones.
const SETTLE_TIME: Duration = Duration::from_millis(10);

/// The same where a reset is likely, as the engine may be slow to reset.
pub(crate) const CONTENDED_SETTLE_TIME: Duration = Duration::from_millis(100);

/// For how long an engine counts as contended after it reset a new connection.
const CONTENDED_FOR: Duration = Duration::from_secs(10);

/// Pause before the next new connection after the first reset; doubles with each further one.
const MIN_PAUSE: Duration = Duration::from_millis(10);

/// Upper bound on the pause: places that other nodes free are found within this time.
const MAX_PAUSE: Duration = Duration::from_millis(160);

/// Resets of new connections by one engine.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rejections {
    last: Option<Rejection>,
}

#[derive(Clone, Copy, Debug)]
struct Rejection {
    at: BootInstant,
    /// Pause before the next new connection; zero once one was accepted.
    pause: Duration,
    /// End of the pause.
    until: BootInstant,
    /// Whether one connection was opened after the pause, of which nothing is known yet.
    is_on_trial: bool,
}

impl Rejections {
    /// Records that a new connection was reset before it carried a response.
    pub(crate) fn record_rejected(&mut self, now: BootInstant) {
        let previous = self.last.map_or(Duration::ZERO, |last| last.pause);
        // Connections that were opened together are reset together, which says no more than one reset.
        let is_same = self
            .last
            .is_some_and(|last| now < last.until && !last.is_on_trial);
        let pause = if is_same {
            previous
        } else {
            (previous * 2).clamp(MIN_PAUSE, MAX_PAUSE)
        };
        self.last = Some(Rejection {
            at: now,
            pause,
            until: now + pause,
            is_on_trial: false,
        });
    }

    /// Records that a new connection was not reset.
    pub(crate) fn record_accepted(&mut self) {
        if let Some(last) = &mut self.last {
            last.pause = Duration::ZERO;
            last.until = last.at;
            last.is_on_trial = false;
        }
    }

    /// Whether a connection may be opened. After a pause this is true for one, which shows whether there is room.
    pub(crate) fn begin_open(&mut self, now: BootInstant) -> bool {
        let Some(last) = &mut self.last else {
            return true;
        };
        if now < last.until {
            return false;
        }
        last.until = now + last.pause;
        last.is_on_trial = true;
        true
    }

    /// Whether the engine has recently reset new connections.
    pub(crate) fn is_contended(&self, now: BootInstant) -> bool {
        self.last.is_some_and(|last| now < last.at + CONTENDED_FOR)
    }

    /// Time without a reset after which a new connection counts as accepted.
    pub(crate) fn settle_time(&self, now: BootInstant, is_reset_likely: bool) -> Duration {
        if is_reset_likely || self.is_contended(now) {
            CONTENDED_SETTLE_TIME
        } else {
            SETTLE_TIME
        }
    }
}
