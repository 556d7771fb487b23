//! The transmit queue of a node's own network link.
//!
//! Requests in it can no longer be rerouted or cancelled, so the queueing time counts in the latency estimate on
//! which admission is based.

use std::time::Duration;

use dalestand_types::MonotonicTime;

/// The transmit queue, represented by the time at which it will be empty.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinkQueue {
    empty_at: MonotonicTime,
}

impl LinkQueue {
    /// Adds a message that takes `time` to transmit.
    pub fn push(&mut self, now: MonotonicTime, time: Duration) {
        self.empty_at = self.empty_at.max(now) + time;
    }

    /// Time until the transmission of a message sent now would start.
    pub fn wait(&self, now: MonotonicTime) -> Duration {
        self.empty_at.since(now)
    }
}
