//! News that are to go out with the next message.

use std::collections::VecDeque;

use dalestand_dissemination::News;

/// A crash takes as many bytes as so many parts of a prompt.
const CRASH_PARTS: usize = 3;

/// Parts of prompts in one datagram: 4 KB, so that news, loads and changed entries fit into the
/// longest datagram together.
const MAX_PARTS: usize = 300;

/// What a placement takes beside its parts, counted in parts: its engine, its state and its own tokens.
const PLACEMENT_PARTS: usize = 1;

/// Most news kept. Placements are hints: what is dropped costs one repeated prefill. It is counted.
const MAX_NEWS: usize = 1_000;

/// News in the order in which they came.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue {
    waiting: VecDeque<News>,
    dropped: u64,
}

impl NewsQueue {
    /// Adds news, in pieces that each fit a message: all that a relay learns after a start is one
    /// node's news, and longer than any datagram. The oldest are dropped where too many wait.
    pub(crate) fn push(&mut self, news: News) {
        for piece in pieces(news) {
            if self.waiting.len() >= MAX_NEWS {
                self.waiting.pop_front();
                self.dropped += 1;
            }
            self.waiting.push_back(piece);
        }
    }

    /// Number of news that were dropped since this was last asked.
    pub(crate) fn take_dropped(&mut self) -> u64 {
        std::mem::take(&mut self.dropped)
    }

    /// Takes all out, in batches that fit a datagram.
    pub(crate) fn take_batches(&mut self) -> Vec<Vec<News>> {
        let mut batches: Vec<Vec<News>> = Vec::new();
        let mut parts = 0;
        for news in self.waiting.drain(..) {
            let added = size(&news);
            if batches.is_empty() || parts + added > MAX_PARTS {
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

/// What news take in a message, counted in parts.
fn size(news: &News) -> usize {
    let placed = news.placed.iter();
    let placed: usize = placed.map(|one| one.parts.len() + PLACEMENT_PARTS).sum();
    placed + CRASH_PARTS * news.crashes.len() + news.role_changes.len()
}

/// The news in pieces of which each fits a message; none if there are none.
fn pieces(news: News) -> Vec<News> {
    if news.is_empty() {
        return Vec::new();
    }
    if size(&news) <= MAX_PARTS {
        return vec![news];
    }
    let origin = news.origin;
    let mut pieces = Vec::new();
    let mut piece = News {
        placed: Vec::new(),
        ..news.clone()
    };
    for placed in news.placed {
        if size(&piece) + placed.parts.len() + PLACEMENT_PARTS > MAX_PARTS && !piece.is_empty() {
            pieces.push(std::mem::replace(&mut piece, News::none(origin)));
        }
        piece.placed.push(placed);
    }
    pieces.push(piece);
    pieces
}
