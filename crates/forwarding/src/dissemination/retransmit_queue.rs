//! A queue that sends each item several times, because datagrams may be lost.

use std::collections::VecDeque;

/// Limits of a [`RetransmitQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RetransmitPolicy {
    /// Number of messages that carry each item.
    pub(crate) transmissions: u8,
    pub(crate) max_per_message: usize,
    /// When the queue is full, the oldest items are dropped.
    pub(crate) max_queued: usize,
}

/// Items in order of arrival, each with its remaining transmissions.
#[derive(Debug)]
pub(crate) struct RetransmitQueue<T> {
    policy: RetransmitPolicy,
    queue: VecDeque<(T, u8)>,
}

impl<T: Clone> RetransmitQueue<T> {
    pub(crate) fn new(policy: RetransmitPolicy) -> Self {
        Self {
            policy,
            queue: VecDeque::new(),
        }
    }

    pub(crate) fn push(&mut self, news: T) {
        if self.queue.len() >= self.policy.max_queued {
            self.queue.pop_front();
        }
        self.queue.push_back((news, self.policy.transmissions));
    }

    /// Adds an item unless it is queued already.
    pub(crate) fn push_once(&mut self, news: T)
    where
        T: PartialEq,
    {
        if !self.queue.iter().any(|(queued, _)| *queued == news) {
            self.push(news);
        }
    }

    /// Items for the next message. Those to be sent again move to the end of the queue.
    pub(crate) fn take(&mut self) -> Vec<T> {
        let count = self.queue.len().min(self.policy.max_per_message);
        let taken: Vec<_> = self.queue.drain(..count).collect();
        let again = taken.iter().filter(|(_, left)| *left > 1);
        self.queue
            .extend(again.map(|(news, left)| (news.clone(), left - 1)));
        taken.into_iter().map(|(news, _)| news).collect()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Drops all items.
    pub(crate) fn clear(&mut self) {
        self.queue.clear();
    }
}
