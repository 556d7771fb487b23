//! News that each go out with several messages, as datagrams get lost.

use std::collections::VecDeque;

/// How news are repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RepeatTerms {
    /// Messages that carry each of them.
    pub(crate) repeats: u8,
    /// Most in one message.
    pub(crate) per_message: usize,
    /// Most that wait; the oldest are dropped.
    pub(crate) waiting: usize,
}

/// News in the order in which they came, each with the messages that are still to carry it.
#[derive(Debug)]
pub(crate) struct RepeatedNews<T> {
    terms: RepeatTerms,
    waiting: VecDeque<(T, u8)>,
}

impl<T: Copy> RepeatedNews<T> {
    /// No news.
    pub(crate) fn new(terms: RepeatTerms) -> Self {
        Self {
            terms,
            waiting: VecDeque::new(),
        }
    }

    /// Adds one.
    pub(crate) fn push(&mut self, news: T) {
        if self.waiting.len() >= self.terms.waiting {
            self.waiting.pop_front();
        }
        self.waiting.push_back((news, self.terms.repeats));
    }

    /// Those for the next message. What is to be sent again goes behind what waits.
    pub(crate) fn take(&mut self) -> Vec<T> {
        let count = self.waiting.len().min(self.terms.per_message);
        let taken: Vec<_> = self.waiting.drain(..count).collect();
        let again = taken.iter().filter(|(_, left)| *left > 1);
        self.waiting
            .extend(again.map(|(news, left)| (*news, left - 1)));
        taken.into_iter().map(|(news, _)| news).collect()
    }

    /// Whether none waits.
    pub(crate) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Drops all: nobody listens.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
    }
}
