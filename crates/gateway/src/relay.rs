//! Relays an engine's frames to the caller, and goes on at another engine if the first one fails
//! in mid answer and the request may be repeated.

use std::rc::Rc;

use dalestand_decision::AttemptOutcome;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{FinishReason, RequestId, RunState, Usage};
use futures_util::StreamExt as _;

use crate::assembler::{AnswerEnd, AnswerPart, FrameAssembler, FrameOutcome};
use crate::attempt::{AcceptedAttempt, Attempts};
use crate::claim::KeptAnswer;
use crate::claim_hold::ClaimHold;
use crate::context::Context;
use crate::error::CallerError;
use crate::record;
use crate::resume::ResumePoint;
use crate::shared::RequestGuard;
use crate::stop_sequence::{Released, StopSequences};
use crate::tenant_share::TenantGrant;

/// What the caller is to see next.
pub(crate) enum Piece {
    /// Text of the answer, after which the stream can be resumed.
    Text(String),
    /// The last text before a stop sequence.
    LastText(String),
    /// The end of a whole answer.
    End(FinishReason, Usage),
    /// The answer broke off.
    Broken(CallerError),
}

/// Relays one request's answer.
pub(crate) struct Relay {
    context: Rc<Context>,
    _in_flight: RequestGuard,
    request: RequestId,
    attempts: Attempts,
    accepted: AcceptedAttempt,
    assembler: FrameAssembler,
    stops: StopSequences,
    claim: Option<ClaimHold>,
    grant: Option<TenantGrant>,
    kept: String,
    ended: bool,
}

impl Relay {
    /// Relays the frames of `accepted`.
    pub(crate) fn new(
        context: Rc<Context>,
        in_flight: RequestGuard,
        attempts: Attempts,
        accepted: AcceptedAttempt,
        stop: Vec<String>,
        claim: Option<ClaimHold>,
        grant: Option<TenantGrant>,
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
            grant,
            kept: String::new(),
            ended: false,
        }
    }

    /// Where the stream stands after the last piece.
    pub(crate) fn resume_point(&self) -> ResumePoint {
        ResumePoint {
            request: self.request,
            attempt: self.accepted.attempt,
            engine: self.accepted.engine.clone(),
            position: self.delivered(),
        }
    }

    /// The next piece; `None` after the end.
    pub(crate) async fn next(&mut self) -> Option<Piece> {
        if self.ended {
            return None;
        }
        loop {
            match self.stops.next_released() {
                Some(Released::Token(text)) => {
                    self.keep(&text);
                    return Some(Piece::Text(text));
                }
                Some(Released::Stopped(text)) => {
                    self.keep(&text);
                    self.stop();
                    return Some(Piece::LastText(text));
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
                        && let Err(error) = self.go_on_elsewhere(reason).await
                    {
                        return Some(self.broken(error));
                    }
                }
            }
        }
    }

    /// Tokens of the answer that were generated for this call.
    fn generated(&self) -> u32 {
        self.assembler.position() - self.attempts.first_position()
    }

    /// Tokens whose text the caller has.
    fn delivered(&self) -> u32 {
        self.assembler.position() - self.stops.held_tokens()
    }

    /// Reads one frame; the error says why the attempt is over.
    async fn read(&mut self) -> Result<(), String> {
        let frame = match self.accepted.frames.next().await {
            Some(Ok(frame)) => frame,
            Some(Err(error)) => return Err(error.to_string()),
            None => return Err("the engine's answer broke off".to_owned()),
        };
        match self.assembler.take(frame) {
            Ok(FrameOutcome::Taken) => {
                self.accepted.note_token();
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

    /// Resumes after the last token delivered, where the request may be repeated.
    async fn go_on_elsewhere(&mut self, reason: String) -> Result<(), CallerError> {
        let delivered = self.delivered();
        self.stops.clear();
        self.accepted = self.attempts.resume(delivered, reason).await?;
        self.assembler = FrameAssembler::new(self.accepted.attempt, delivered);
        Ok(())
    }

    /// Keeps text for whoever repeats a request that runs once.
    fn keep(&mut self, text: &str) {
        if self.claim.is_some() {
            self.kept.push_str(text);
        }
    }

    /// Ends the answer at a stop sequence. Dropping the attempt's frames cancels it.
    fn stop(&mut self) {
        let tokens = self.assembler.position();
        let usage = Usage {
            prompt_tokens: self.attempts.prompt_tokens(),
            cached_tokens: 0,
            completion_tokens: tokens,
        };
        self.assembler = FrameAssembler::ended(
            self.accepted.attempt,
            AnswerEnd {
                tokens,
                reason: FinishReason::Stop,
                usage,
            },
        );
        self.accepted.frames = Box::pin(futures_util::stream::empty());
    }

    fn complete(&mut self, reason: FinishReason, usage: Usage, tokens: u32) -> Piece {
        self.accepted.guard.complete(tokens, usage);
        if let Some(claim) = self.claim.take() {
            let text = std::mem::take(&mut self.kept);
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
        Piece::End(reason, usage)
    }

    fn broken(&mut self, error: CallerError) -> Piece {
        let reason = error.to_string();
        if let Some(claim) = self.claim.take() {
            claim.finish(RunState::Unknown, None);
        }
        let outcome = AttemptOutcome::Unknown {
            reason: reason.clone(),
        };
        self.finish(outcome, RunState::Unknown, Some(reason));
        Piece::Broken(error)
    }

    fn finish(&mut self, outcome: AttemptOutcome, state: RunState, reason: Option<String>) {
        self.ended = true;
        let used = u64::from(self.attempts.prompt_tokens()) + u64::from(self.generated());
        if let Some(grant) = &mut self.grant {
            grant.used(used);
        }
        record::set_outcome(&self.context.shared, self.request, outcome);
        record::finish(&self.context.shared, self.request, state, reason);
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        if !self.ended {
            let outcome = AttemptOutcome::Cancelled {
                tokens: self.delivered(),
            };
            let reason = Some("the caller went away".to_owned());
            self.finish(outcome, RunState::Unknown, reason);
        }
    }
}
