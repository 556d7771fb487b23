//! News to send with the next message.

use std::collections::VecDeque;

use dalestand_dissemination::News;

/// Encoded size of a crash record, counted in prompt parts.
const PARTS_PER_CRASH: usize = 3;

/// Prompt parts per message: 4 KB, so that a message can also carry loads and changed entries.
const MAX_PARTS_PER_MESSAGE: usize = 300;

/// Encoded size of a placement without its parts, counted in prompt parts.
const PARTS_PER_PLACEMENT: usize = 1;

/// Limit on the queue length. Dropping a placement costs one repeated prefill at most.
const MAX_QUEUED_NEWS: usize = 1_000;

/// News in order of arrival.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue {
    pending: VecDeque<News>,
    dropped: u64,
}

impl NewsQueue {
    /// Adds news, split into pieces that fit a message: after a start, the cached parts that a relay
    /// recovered are one item. When the queue is full, the oldest items are dropped.
    pub(crate) fn push(&mut self, news: News) {
        for piece in split(news) {
            if self.pending.len() >= MAX_QUEUED_NEWS {
                self.pending.pop_front();
                self.dropped += 1;
            }
            self.pending.push_back(piece);
        }
    }

    /// Number of items dropped since the last call.
    pub(crate) fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Takes all items, in batches that fit a datagram.
    pub(crate) fn take_batches(&mut self) -> Vec<Vec<News>> {
        let mut batches: Vec<Vec<News>> = Vec::new();
        let mut parts = 0;
        for news in self.pending.drain(..) {
            let added = size_in_parts(&news);
            if batches.is_empty() || parts + added > MAX_PARTS_PER_MESSAGE {
                batches.push(Vec::new());
                parts = 0;
            }
            parts += added;
            if let Some(batch) = batches.last_mut() {
                batch.push(news);
            }
        }
        batches
    }
}

/// Encoded size of news, counted in prompt parts.
fn size_in_parts(news: &News) -> usize {
    let placed = news.placed.iter();
    let placed: usize = placed
        .map(|one| one.parts.len() + PARTS_PER_PLACEMENT)
        .sum();
    placed + PARTS_PER_CRASH * news.crashes.len() + news.role_changes.len()
}

/// Splits news into pieces that fit a message; none if it is empty.
fn split(news: News) -> Vec<News> {
    if news.is_empty() {
        return Vec::new();
    }
    if size_in_parts(&news) <= MAX_PARTS_PER_MESSAGE {
        return vec![news];
    }
    let origin = news.origin;
    let mut pieces = Vec::new();
    let mut piece = News {
        placed: Vec::new(),
        ..news.clone()
    };
    for placed in news.placed {
        if size_in_parts(&piece) + placed.parts.len() + PARTS_PER_PLACEMENT > MAX_PARTS_PER_MESSAGE
            && !piece.is_empty()
        {
            pieces.push(std::mem::replace(&mut piece, News::none(origin)));
        }
        piece.placed.push(placed);
    }
    pieces.push(piece);
    pieces
}
