//! What a node has written and its own link has not yet carried.
//!
//! It is a queue that no decision reaches any more: a request in it goes to its engine even if the
//! engine leaves or the caller goes meanwhile. So it is counted before requests are begun.

use std::time::Duration;

use dalestand_types::MonotonicTime;

/// The queue, as the time at which it is empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkQueue {
    empty_at: MonotonicTime,
}

impl LinkQueue {
    /// Notes what the link carries in `time`.
    pub fn push(&mut self, now: MonotonicTime, time: Duration) {
        self.empty_at = self.empty_at.max(now) + time;
    }

    /// Time until what is sent now begins to be carried.
    pub fn wait(&self, now: MonotonicTime) -> Duration {
        self.empty_at.since(now)
    }
}
