//! Ends an answer at a stop sequence, which may begin in one token and end in another. Pure.

use std::collections::VecDeque;

/// What may be sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Released {
    /// A whole token.
    Token(String),
    /// The text before a stop sequence; the answer ends with it.
    Stopped(String),
}

/// Holds tokens back while they may be the begin of a stop sequence.
#[derive(Clone, Debug)]
pub struct StopSequences {
    sequences: Vec<String>,
    held: VecDeque<String>,
    ready: VecDeque<Released>,
}

impl StopSequences {
    /// Looks for any of `sequences`, none of which is empty.
    pub fn new(sequences: Vec<String>) -> Self {
        Self {
            sequences,
            held: VecDeque::new(),
            ready: VecDeque::new(),
        }
    }

    /// Takes the next token.
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
        self.release(text.len() - self.longest_begin(&text));
    }

    /// Gives out all that is held: no token follows.
    pub fn finish(&mut self) {
        while let Some(token) = self.held.pop_front() {
            self.ready.push_back(Released::Token(token));
        }
    }

    /// The next text for the caller.
    pub fn next_released(&mut self) -> Option<Released> {
        self.ready.pop_front()
    }

    /// Tokens taken and not given out.
    pub fn held_tokens(&self) -> u32 {
        (self.held.len() + self.ready.len()) as u32
    }

    /// Forgets what is held, since it will be generated again.
    pub fn clear(&mut self) {
        self.held.clear();
        self.ready.clear();
    }

    /// Releases the whole tokens within the first `bytes` of what is held.
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

    /// Length of the longest end of `text` that a stop sequence begins with.
    fn longest_begin(&self, text: &str) -> usize {
        let sequences = self.sequences.iter();
        let begins = sequences.filter_map(|stop| {
            let lengths = stop.char_indices().map(|(length, _)| length).rev();
            lengths
                .into_iter()
                .find(|length| text.ends_with(&stop[..*length]))
        });
        begins.max().unwrap_or(0)
    }
}
