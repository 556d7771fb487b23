//! The stream of an answer from engine to caller. If an engine fails during the answer and the
//! request may be repeated, another engine resumes it.

use std::rc::Rc;

use dalestand_decision::AttemptOutcome;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{FinishReason, RequestId, RunState, Usage};
use futures_util::StreamExt as _;

use crate::assembler::{AnswerEnd, AnswerPart, FrameAssembler, FrameOutcome};
use crate::attempt::{AcceptedAttempt, Attempts};
use crate::claim::KeptAnswer;
use crate::claim_guard::ClaimGuard;
use crate::context::Context;
use crate::error::CallerError;
use crate::record;
use crate::resume::ResumePoint;
use crate::shared::RequestGuard;
use crate::stop_sequence::{Released, StopSequences};
use crate::token_reservation::TokenReservation;

/// The next item of an answer for the caller.
pub(crate) enum AnswerItem {
    /// Text of the answer, after which the stream can be resumed.
    Text(String),
    /// The last text before a stop sequence; the stream cannot be resumed after it.
    LastText(String),
    /// The answer is complete.
    End(FinishReason, Usage),
    /// The answer failed and is incomplete.
    Error(CallerError),
}

/// The answer to one request.
pub(crate) struct AnswerStream {
    context: Rc<Context>,
    _in_flight: RequestGuard,
    request: RequestId,
    attempts: Attempts,
    accepted: AcceptedAttempt,
    assembler: FrameAssembler,
    stops: StopSequences,
    claim: Option<ClaimGuard>,
    reservation: Option<TokenReservation>,
    answer_text: String,
    ended: bool,
}

impl AnswerStream {
    /// Creates the stream of the answer that `accepted` generates.
    pub(crate) fn new(
        context: Rc<Context>,
        in_flight: RequestGuard,
        attempts: Attempts,
        accepted: AcceptedAttempt,
        stop: Vec<String>,
        claim: Option<ClaimGuard>,
        reservation: Option<TokenReservation>,
    ) -> Self {
        let assembler = FrameAssembler::new(accepted.attempt, attempts.resume_from());
        Self {
            context,
            _in_flight: in_flight,
            request: attempts.request_id(),
            attempts,
            accepted,
            assembler,
            stops: StopSequences::new(stop),
            claim,
            reservation,
            answer_text: String::new(),
            ended: false,
        }
    }

    /// The point from which a caller that has the last item can resume.
    pub(crate) fn resume_point(&self) -> ResumePoint {
        ResumePoint {
            request: self.request,
            attempt: self.accepted.attempt,
            engine: self.accepted.engine.clone(),
            position: self.delivered(),
        }
    }

    /// The next item; `None` after the end.
    pub(crate) async fn next(&mut self) -> Option<AnswerItem> {
        if self.ended {
            return None;
        }
        loop {
            match self.stops.next_released() {
                Some(Released::Token(text)) => {
                    self.record_text(&text);
                    return Some(AnswerItem::Text(text));
                }
                Some(Released::Stopped(text)) => {
                    self.record_text(&text);
                    self.end_at_stop_sequence();
                    return Some(AnswerItem::LastText(text));
                }
                None => {}
            }
            match self.assembler.next_part() {
                Some(AnswerPart::Token(text)) => {
                    self.context.shared.metrics.tokens.inc();
                    self.stops.push(text);
                }
                Some(AnswerPart::End(end)) if self.stops.held_tokens() == 0 => {
                    return Some(self.complete(end.reason, end.usage, end.tokens));
                }
                Some(AnswerPart::End(_)) => self.stops.finish(),
                None => {
                    if let Err(reason) = self.read().await
                        && let Err(error) = self.resume_attempt(reason).await
                    {
                        return Some(self.fail(error));
                    }
                }
            }
        }
    }

    /// Number of tokens generated in this call.
    fn generated(&self) -> u32 {
        self.assembler.position() - self.attempts.first_position()
    }

    /// Number of tokens whose text was returned.
    fn delivered(&self) -> u32 {
        self.assembler.position() - self.stops.held_tokens()
    }

    /// Reads one frame; the error is the reason why the attempt failed.
    async fn read(&mut self) -> Result<(), String> {
        let frame = match self.accepted.frames.next().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Err(error.to_string()),
            None => return Err("the engine's answer ended early".to_owned()),
        };
        match self.assembler.push(frame) {
            Ok(FrameOutcome::Accepted) => {
                self.accepted.record_frame();
                Ok(())
            }
            Ok(FrameOutcome::Foreign) => {
                let shared = &self.context.shared;
                shared.metrics.foreign_frames.inc();
                log_event!(shared.logger, Event::ForeignFrame, "request" => %self.request);
                Ok(())
            }
            Err(fault) => Err(fault.to_string()),
        }
    }

    /// Resumes after the last delivered token, if the request may be repeated.
    async fn resume_attempt(&mut self, reason: String) -> Result<(), CallerError> {
        let delivered = self.delivered();
        self.stops.clear();
        self.accepted = self.attempts.resume(delivered, reason).await?;
        self.assembler = FrameAssembler::new(self.accepted.attempt, delivered);
        Ok(())
    }

    /// Records text for callers that repeat an at-most-once request.
    fn record_text(&mut self, text: &str) {
        if self.claim.is_some() {
            self.answer_text.push_str(text);
        }
    }

    /// Ends the answer at a stop sequence. Dropping the frame stream cancels the attempt.
    fn end_at_stop_sequence(&mut self) {
        let tokens = self.assembler.position();
        let usage = Usage {
            prompt_tokens: self.attempts.prompt_tokens(),
            cached_tokens: 0,
            completion_tokens: tokens,
        };
        self.assembler = FrameAssembler::completed(
            self.accepted.attempt,
            AnswerEnd {
                tokens,
                reason: FinishReason::Stop,
                usage,
            },
        );
        self.accepted.frames = Box::pin(futures_util::stream::empty());
    }

    fn complete(&mut self, reason: FinishReason, usage: Usage, tokens: u32) -> AnswerItem {
        self.accepted.guard.complete(tokens, usage);
        if let Some(claim) = self.claim.take() {
            let text = std::mem::take(&mut self.answer_text);
            claim.finish(
                RunState::Complete,
                Some(KeptAnswer {
                    text,
                    reason,
                    usage,
                }),
            );
        }
        self.finish(
            AttemptOutcome::Complete { tokens },
            RunState::Complete,
            None,
        );
        AnswerItem::End(reason, usage)
    }

    fn fail(&mut self, error: CallerError) -> AnswerItem {
        let reason = error.to_string();
        if let Some(claim) = self.claim.take() {
            claim.finish(RunState::Unknown, None);
        }
        let outcome = AttemptOutcome::Unknown {
            reason: reason.clone(),
        };
        self.finish(outcome, RunState::Unknown, Some(reason));
        AnswerItem::Error(error)
    }

    fn finish(&mut self, outcome: AttemptOutcome, state: RunState, reason: Option<String>) {
        self.ended = true;
        let used = u64::from(self.attempts.prompt_tokens()) + u64::from(self.generated());
        if let Some(reservation) = &mut self.reservation {
            reservation.set_used(used);
        }
        record::set_outcome(&self.context.shared, self.request, outcome);
        record::finish(&self.context.shared, self.request, state, reason);
    }
}

impl Drop for AnswerStream {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = AttemptOutcome::Cancelled {
                tokens: self.delivered(),
            };
            let reason = Some("the caller disconnected".to_owned());
            self.finish(outcome, RunState::Unknown, reason);
        }
    }
}
