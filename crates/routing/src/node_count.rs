//! The number of nodes among which limits are divided.
//!
//! Each node takes its part of a limit by its own count of nodes. If the count is too low at some nodes, the parts add
//! up to more than the limit, for example while other nodes cannot renew their registration. A lower count therefore
//! takes effect only after a delay, and a higher one at once. The cost is that the parts of nodes that have left stay
//! unused for that time.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Delay before a lower count takes effect. Longer than an outage in which registrations expire (15 s) and are renewed.
const DECREASE_DELAY: Duration = Duration::from_secs(60);

/// Tracks the number of nodes.
#[derive(Clone, Debug, Default)]
pub struct NodeCount {
    /// Recent counts in decreasing order, each with the time until which it was current.
    recent: VecDeque<(usize, MonotonicTime)>,
}

impl NodeCount {
    /// Records the count observed at `now`; zero counts as one.
    pub fn set(&mut self, now: MonotonicTime, nodes: usize) {
        let nodes = nodes.max(1);
        self.expire(now);
        // The previous count was current until now.
        if let Some(newest) = self.recent.back_mut() {
            newest.1 = now;
        }
        while self.recent.back().is_some_and(|(count, _)| *count <= nodes) {
            self.recent.pop_back();
        }
        self.recent.push_back((nodes, now));
    }

    /// The count in effect at `now`: the highest of the recent ones. `None` before the first.
    pub fn get(&mut self, now: MonotonicTime) -> Option<usize> {
        self.expire(now);
        self.recent.front().map(|(nodes, _)| *nodes)
    }

    /// The count that was recorded last; `None` before the first.
    pub fn newest(&self) -> Option<usize> {
        self.recent.back().map(|(nodes, _)| *nodes)
    }

    /// Removes outdated counts. The newest one is kept, however old it is.
    fn expire(&mut self, now: MonotonicTime) {
        while self.recent.len() > 1
            && self
                .recent
                .front()
                .is_some_and(|(_, until)| now.since(*until) > DECREASE_DELAY)
        {
            self.recent.pop_front();
        }
    }
}
