//! Ends an answer at a stop sequence, which may span several tokens. No I/O.

use std::collections::VecDeque;

/// Text that may be sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Released {
    /// A whole token.
    Token(String),
    /// The text before a stop sequence; the answer ends with it.
    Stopped(String),
}

/// Holds tokens back while they may be the start of a stop sequence.
#[derive(Clone, Debug)]
pub struct StopSequences {
    sequences: Vec<String>,
    held: VecDeque<String>,
    ready: VecDeque<Released>,
}

impl StopSequences {
    /// Creates a filter for `sequences`, none of which may be empty.
    pub fn new(sequences: Vec<String>) -> Self {
        Self {
            sequences,
            held: VecDeque::new(),
            ready: VecDeque::new(),
        }
    }

    /// Adds the next token.
    pub fn push(&mut self, token: String) {
        if self.sequences.is_empty() {
            self.ready.push_back(Released::Token(token));
            return;
        }
        self.held.push_back(token);
        let text: String = self.held.iter().map(String::as_str).collect();
        let found = self.sequences.iter().filter_map(|stop| text.find(stop));
        if let Some(end) = found.min() {
            self.held.clear();
            let before = text[..end].to_owned();
            self.ready.push_back(Released::Stopped(before));
            return;
        }
        self.release(text.len() - self.longest_partial_match(&text));
    }

    /// Releases all held tokens, since no further token follows.
    pub fn finish(&mut self) {
        while let Some(token) = self.held.pop_front() {
            self.ready.push_back(Released::Token(token));
        }
    }

    /// Returns the next text for the caller.
    pub fn next_released(&mut self) -> Option<Released> {
        self.ready.pop_front()
    }

    /// Number of tokens added and not yet returned.
    pub fn held_tokens(&self) -> u32 {
        (self.held.len() + self.ready.len()) as u32
    }

    /// Discards the held tokens, which will be generated again.
    pub fn clear(&mut self) {
        self.held.clear();
        self.ready.clear();
    }

    /// Releases the tokens that lie entirely within the first `bytes` of the held text.
    fn release(&mut self, bytes: usize) {
        let mut left = bytes;
        while let Some(token) = self.held.pop_front() {
            if token.len() > left {
                self.held.push_front(token);
                return;
            }
            left -= token.len();
            self.ready.push_back(Released::Token(token));
        }
    }

    /// Length of the longest suffix of `text` that is a proper prefix of a stop sequence.
    fn longest_partial_match(&self, text: &str) -> usize {
        let sequences = self.sequences.iter();
        let partial_matches = sequences.filter_map(|stop| {
            let lengths = stop.char_indices().map(|(length, _)| length).rev();
            lengths
                .into_iter()
                .find(|length| text.ends_with(&stop[..*length]))
        });
        partial_matches.max().unwrap_or(0)
    }
}
