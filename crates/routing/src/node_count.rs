//! How many nodes there are, for what is divided among them.
//!
//! Each node takes its part of a bound by its own count. A count that is too low at one node lets the sum exceed
//! the bound: by a third of it where three of nine nodes can't renew their entries, are taken for gone by the
//! others, and go on with a ninth each. So a lower count holds only once it has been heard for a time, a higher one
//! at once. Nodes that are gone for good leave their parts unused meanwhile.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;

/// For how long a higher count holds after a lower one was heard: an outage in which entries lapse (15 s) and come
/// back takes less.
const HIGHER_HOLDS: Duration = Duration::from_secs(60);

/// The counts that were heard.
#[derive(Clone, Debug, Default)]
pub struct NodeCount {
    /// Falling counts, each with when it was last the highest.
    held: VecDeque<(usize, MonotonicTime)>,
}

impl NodeCount {
    /// Notes a count heard at `now`; zero counts as one.
    pub fn set(&mut self, now: MonotonicTime, nodes: usize) {
        let nodes = nodes.max(1);
        self.expire(now);
        // What was the newest count held until now.
        if let Some(newest) = self.held.back_mut() {
            newest.1 = now;
        }
        while self.held.back().is_some_and(|(held, _)| *held <= nodes) {
            self.held.pop_back();
        }
        self.held.push_back((nodes, now));
    }

    /// The highest count that holds at `now`; `None` before the first.
    pub fn get(&mut self, now: MonotonicTime) -> Option<usize> {
        self.expire(now);
        self.held.front().map(|(nodes, _)| *nodes)
    }

    /// The count that was heard last; `None` before the first.
    pub fn newest(&self) -> Option<usize> {
        self.held.back().map(|(nodes, _)| *nodes)
    }

    /// The newest count holds, however old it is.
    fn expire(&mut self, now: MonotonicTime) {
        while self.held.len() > 1
            && self
                .held
                .front()
                .is_some_and(|(_, until)| now.since(*until) > HIGHER_HOLDS)
        {
            self.held.pop_front();
        }
    }
}
