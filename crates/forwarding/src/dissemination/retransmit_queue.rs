//! News that each go out with several messages, as datagrams get lost.

use std::collections::VecDeque;

/// How news are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RetransmitPolicy {
    /// Messages that carry each of them.
    pub(crate) transmissions: u8,
    /// Most in one message.
    pub(crate) max_per_message: usize,
    /// Most that wait; the oldest are dropped.
    pub(crate) max_queued: usize,
}

/// News in the order in which they came, each with the messages that are still to carry it.
#[derive(Debug)]
pub(crate) struct RetransmitQueue<T> {
    policy: RetransmitPolicy,
    queue: VecDeque<(T, u8)>,
}

impl<T: Copy> RetransmitQueue<T> {
    /// No news.
    pub(crate) fn new(policy: RetransmitPolicy) -> Self {
        Self {
            policy,
            queue: VecDeque::new(),
        }
    }

    /// Adds one.
    pub(crate) fn push(&mut self, news: T) {
        if self.queue.len() >= self.policy.max_queued {
            self.queue.pop_front();
        }
        self.queue.push_back((news, self.policy.transmissions));
    }

    /// Those for the next message. What is to be sent again goes behind what waits.
    pub(crate) fn take(&mut self) -> Vec<T> {
        let count = self.queue.len().min(self.policy.max_per_message);
        let taken: Vec<_> = self.queue.drain(..count).collect();
        let again = taken.iter().filter(|(_, left)| *left > 1);
        self.queue
            .extend(again.map(|(news, left)| (*news, left - 1)));
        taken.into_iter().map(|(news, _)| news).collect()
    }

    /// Whether none waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Drops all: nobody listens.
    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }
}
