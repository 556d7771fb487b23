//! News that are to go out with the next message.

use dalestand_dissemination::News;

/// A crash takes as many bytes as so many parts of a prompt.
const CRASH_PARTS: usize = 3;

/// Parts of prompts in one datagram: 4 KB, so that news, loads and changed entries fit into the
/// longest datagram together.
const MAX_PARTS: usize = 300;

/// Most news kept. Placements are hints: what is dropped costs one repeated prefill.
const MAX_NEWS: usize = 1_000;

/// News in the order in which they came.
#[derive(Debug, Default)]
pub(crate) struct NewsQueue(Vec<News>);

impl NewsQueue {
    /// Adds news; the newest are dropped where too many wait.
    pub(crate) fn push(&mut self, news: News) {
        if !news.is_empty() && self.0.len() < MAX_NEWS {
            self.0.push(news);
        }
    }

    /// Takes all out, in batches that fit a datagram.
    pub(crate) fn take_batches(&mut self) -> Vec<Vec<News>> {
        let mut batches: Vec<Vec<News>> = Vec::new();
        let mut parts = 0;
        for news in self.0.drain(..) {
            let placed: usize = news.placed.iter().map(|placed| placed.parts.len()).sum();
            let added = placed + CRASH_PARTS * news.crashes.len();
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
