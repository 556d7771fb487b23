//! Puts the frames of one attempt in order. Pure.
//!
//! Frames may come late, twice, out of order, or belong to another attempt. A caller sees each
//! token of its own answer once, in order, and the end only after the last token.

use std::collections::BTreeMap;

use dalestand_types::{AttemptId, FinishReason, GenerationFrame, Usage};

/// Most tokens held while an earlier one is missing.
const MAX_HELD_TOKENS: usize = 256;

/// What became of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameOutcome {
    /// It belongs to the answer, or repeats a part of it.
    Taken,
    /// It belongs to another attempt and was discarded.
    Foreign,
}

/// A frame that no sound engine sends.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameFault {
    /// The engine gave up.
    #[error("the engine gave up: {0}")]
    Failed(String),
    /// A token is missing and too many later ones came.
    #[error("token {0} is missing")]
    TokenMissing(u32),
    /// The end names another number of tokens than were sent.
    #[error("the answer has {announced} tokens and token {sent} was sent")]
    WrongEnd { announced: u32, sent: u32 },
    /// A frame of another kind of attempt.
    #[error("the engine ran only the prompt")]
    Unexpected,
}

/// The end of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerEnd {
    /// Tokens of the whole answer.
    pub tokens: u32,
    /// Why generation ended.
    pub reason: FinishReason,
    /// Token counts.
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

/// Puts one attempt's frames in order.
#[derive(Clone, Debug)]
pub struct FrameAssembler {
    attempt: AttemptId,
    next: u32,
    /// The token at `next`, if it has come.
    ready: Option<String>,
    /// Tokens that came before an earlier one.
    held: BTreeMap<u32, String>,
    end: Option<AnswerEnd>,
}

impl FrameAssembler {
    /// Takes frames of `attempt`, whose first token is at position `from`.
    pub fn new(attempt: AttemptId, from: u32) -> Self {
        Self {
            attempt,
            next: from,
            ready: None,
            held: BTreeMap::new(),
            end: None,
        }
    }

    /// An answer of which all tokens were given out.
    pub fn ended(attempt: AttemptId, end: AnswerEnd) -> Self {
        Self {
            attempt,
            next: end.tokens,
            ready: None,
            held: BTreeMap::new(),
            end: Some(end),
        }
    }

    /// Position of the next token to give out: the count of those the caller has.
    pub fn position(&self) -> u32 {
        self.next
    }

    /// Takes a frame.
    pub fn take(&mut self, frame: GenerationFrame) -> Result<FrameOutcome, FrameFault> {
        if frame.attempt() != self.attempt {
            return Ok(FrameOutcome::Foreign);
        }
        match frame {
            GenerationFrame::Token { position, text, .. } => self.take_token(position, text)?,
            GenerationFrame::Finished {
                tokens,
                reason,
                usage,
                ..
            } => self.take_end(AnswerEnd {
                tokens,
                reason,
                usage,
            })?,
            GenerationFrame::Failed { message, .. } => return Err(FrameFault::Failed(message)),
            GenerationFrame::Prefilled { .. } => return Err(FrameFault::Unexpected),
        }
        Ok(FrameOutcome::Taken)
    }

    /// The next part, if it has come.
    pub fn next_part(&mut self) -> Option<AnswerPart> {
        if let Some(text) = self.ready.take() {
            self.next += 1;
            if !self.held.is_empty() {
                self.ready = self.held.remove(&self.next);
            }
            return Some(AnswerPart::Token(text));
        }
        let end = self.end.filter(|end| end.tokens == self.next)?;
        Some(AnswerPart::End(end))
    }

    fn take_token(&mut self, position: u32, text: String) -> Result<(), FrameFault> {
        if position < self.next {
            return Ok(());
        }
        if let Some(end) = self.end
            && position >= end.tokens
        {
            return Err(wrong_end(end, position));
        }
        if position == self.next {
            self.ready = Some(text);
            return Ok(());
        }
        self.held.entry(position).or_insert(text);
        if self.held.len() > MAX_HELD_TOKENS {
            return Err(FrameFault::TokenMissing(self.next));
        }
        Ok(())
    }

    fn take_end(&mut self, end: AnswerEnd) -> Result<(), FrameFault> {
        let last_held = self.held.keys().next_back().copied();
        let ready = self.ready.is_some().then_some(self.next);
        let last = last_held.or(ready).or(self.next.checked_sub(1));
        if let Some(last) = last
            && last >= end.tokens
        {
            return Err(wrong_end(end, last));
        }
        self.end = Some(end);
        Ok(())
    }
}

fn wrong_end(end: AnswerEnd, sent: u32) -> FrameFault {
    FrameFault::WrongEnd {
        announced: end.tokens,
        sent,
    }
}
