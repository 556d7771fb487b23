//! Reassembles the frames of one attempt in order, without I/O.
//!
//! Frames may arrive late, repeatedly or out of order, or belong to another attempt. The caller gets
//! each token of its own answer once and in order, and the end only after the last token.

use std::collections::BTreeMap;

use dalestand_types::{AttemptId, FinishReason, GenerationFrame, Usage};

/// Maximum number of tokens buffered while an earlier one is missing.
const MAX_BUFFERED_TOKENS: usize = 256;

/// Outcome of pushing a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameOutcome {
    /// The frame belongs to the attempt; it may be a duplicate.
    Accepted,
    /// The frame belongs to another attempt and was discarded.
    Foreign,
}

/// Why the answer cannot be completed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The engine reported a failure.
    #[error("the engine reported a failure: {0}")]
    Failed(String),
    /// A token is missing and the buffer of later ones is full.
    #[error("token {0} is missing")]
    MissingToken(u32),
    /// The number of tokens in the last frame contradicts a token that was sent.
    #[error("the engine announced {announced} tokens but sent token {sent}")]
    TokenCountMismatch { announced: u32, sent: u32 },
    /// The engine sent the result of a prefill-only attempt.
    #[error("the engine ran only the prefill")]
    UnexpectedPrefill,
}

/// The end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Number of tokens in the whole answer, including those before a resume.
    pub tokens: u32,
    /// Why generation ended.
    pub reason: FinishReason,
    /// Token counts for the caller.
    pub usage: Usage,
}

/// The next part of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerPart {
    /// A token's text.
    Token(String),
    /// The end; nothing follows.
    End(AnswerEnd),
}

/// Reassembles the frames of one attempt.
#[derive(Clone, Debug)]
pub struct FrameAssembler {
    attempt: AttemptId,
    next: u32,
    /// The token at position `next`, if it has arrived.
    ready: Option<String>,
    /// Tokens that arrived before an earlier one, by position.
    buffered: BTreeMap<u32, String>,
    end: Option<AnswerEnd>,
}

impl FrameAssembler {
    /// Creates an assembler for `attempt`, whose first token is at position `from`.
    pub fn new(attempt: AttemptId, from: u32) -> Self {
        Self {
            attempt,
            next: from,
            ready: None,
            buffered: BTreeMap::new(),
            end: None,
        }
    }

    /// Creates an assembler of an answer whose tokens have all been returned; only its end remains.
    pub fn completed(attempt: AttemptId, end: AnswerEnd) -> Self {
        Self {
            attempt,
            next: end.tokens,
            ready: None,
            buffered: BTreeMap::new(),
            end: Some(end),
        }
    }

    /// Position of the next token to return, which equals the number of tokens that the caller has.
    pub fn position(&self) -> u32 {
        self.next
    }

    /// Adds a frame.
    pub fn push(&mut self, frame: GenerationFrame) -> Result<FrameOutcome, FrameError> {
        if frame.attempt() != self.attempt {
            return Ok(FrameOutcome::Foreign);
        }
        match frame {
            GenerationFrame::Token { position, text, .. } => self.push_token(position, text)?,
            GenerationFrame::Finished {
                tokens,
                reason,
                usage,
                ..
            } => self.push_end(AnswerEnd {
                tokens,
                reason,
                usage,
            })?,
            GenerationFrame::Failed { message, .. } => return Err(FrameError::Failed(message)),
            GenerationFrame::Prefilled { .. } => return Err(FrameError::UnexpectedPrefill),
        }
        Ok(FrameOutcome::Accepted)
    }

    /// Returns the next part of the answer, if it has arrived.
    pub fn next_part(&mut self) -> Option<AnswerPart> {
        if let Some(text) = self.ready.take() {
            self.next += 1;
            if !self.buffered.is_empty() {
                self.ready = self.buffered.remove(&self.next);
            }
            return Some(AnswerPart::Token(text));
        }
        let end = self.end.filter(|end| end.tokens == self.next)?;
        Some(AnswerPart::End(end))
    }

    fn push_token(&mut self, position: u32, text: String) -> Result<(), FrameError> {
        if position < self.next {
            return Ok(());
        }
        if let Some(end) = self.end
            && position >= end.tokens
        {
            return Err(token_count_mismatch(end, position));
        }
        if position == self.next {
            self.ready = Some(text);
            return Ok(());
        }
        self.buffered.entry(position).or_insert(text);
        if self.buffered.len() > MAX_BUFFERED_TOKENS {
            return Err(FrameError::MissingToken(self.next));
        }
        Ok(())
    }

    fn push_end(&mut self, end: AnswerEnd) -> Result<(), FrameError> {
        let last_buffered = self.buffered.keys().next_back().copied();
        let ready = self.ready.is_some().then_some(self.next);
        let last = last_buffered.or(ready).or(self.next.checked_sub(1));
        if let Some(last) = last
            && last >= end.tokens
        {
            return Err(token_count_mismatch(end, last));
        }
        self.end = Some(end);
        Ok(())
    }
}

fn token_count_mismatch(end: AnswerEnd, sent: u32) -> FrameError {
    FrameError::TokenCountMismatch {
        announced: end.tokens,
        sent,
    }
}
