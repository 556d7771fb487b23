//! Attempts of one request: choose an engine, send, and go on to another engine only when the
//! first is proved not to have run it, or the request may be repeated.
//!
//! Where routing says so, the prompt runs on one engine and the output on another. Once a prompt
//! has run, the request is never called "not run".

mod guard;
mod prefill;

use std::rc::Rc;
use std::time::Duration;

use dalestand_decision::{AttemptOutcome, AttemptRecord, Candidate, NoEngineRecord};
use dalestand_edge::{AttemptError, Engine as _, FrameStream};
use dalestand_routing::{
    Deadlines, EngineView, FailedAttempt, FailureKind, RetryDecision, RouteDecision, RoutePhase,
    RouteRequest,
};
use dalestand_types::{
    AttemptId, EngineId, GenerationRequest, MonotonicTime, Placement, RefusalReason, RequestId,
};
use rand::RngExt as _;

use self::guard::InFlightGuard;
use crate::context::Context;
use crate::error::CallerError;
use crate::record;

/// Most times an answer that broke off is resumed.
const MAX_RESUMES: u32 = 4;

/// Most rounds in which an engine is looked for that can resume an answer.
const MAX_RESUME_ROUNDS: u32 = 20;

/// Pause between two such rounds.
const RESUME_PAUSE: Duration = Duration::from_millis(250);

/// Wait told to a caller whose request several engines refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An attempt that an engine has accepted.
pub(crate) struct AcceptedAttempt {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// The engine that runs it.
    pub(crate) engine: EngineId,
    /// Its frames.
    pub(crate) frames: FrameStream,
    /// Tells the router how the attempt goes.
    pub(crate) guard: InFlightGuard,
    token_seen: bool,
}

impl AcceptedAttempt {
    /// Notes that a frame with a token came in.
    pub(crate) fn note_token(&mut self) {
        if !self.token_seen {
            self.token_seen = true;
            self.guard.first_token();
        }
    }
}

/// The engine chosen for one attempt.
struct Choice {
    engine: EngineView,
    placement: Placement,
}

/// The attempts of one request so far.
pub(crate) struct Attempts {
    context: Rc<Context>,
    received_at: MonotonicTime,
    route: RouteRequest,
    request: GenerationRequest,
    repeatable: bool,
    first_position: u32,
    retries: u32,
    resumes: u32,
    may_have_run: bool,
}

impl Attempts {
    /// No attempt yet. `repeatable` says whether the request may run again after an attempt whose
    /// result is not known.
    pub(crate) fn new(
        context: Rc<Context>,
        received_at: MonotonicTime,
        route: RouteRequest,
        request: GenerationRequest,
        repeatable: bool,
    ) -> Self {
        context.shared.retry_budget().record_first_attempt();
        // A request that is resumed has run before.
        let first_position = request.resume_from;
        let may_have_run = first_position > 0;
        Self {
            context,
            received_at,
            route,
            request,
            repeatable,
            first_position,
            retries: 0,
            resumes: 0,
            may_have_run,
        }
    }

    /// The request.
    pub(crate) fn request_id(&self) -> RequestId {
        self.request.request
    }

    /// Position of the first token asked for.
    pub(crate) fn resume_from(&self) -> u32 {
        self.request.resume_from
    }

    /// Position of the first token of this call, whatever has been resumed since.
    pub(crate) fn first_position(&self) -> u32 {
        self.first_position
    }

    /// Estimated tokens of the prompt.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        self.route.prompt_tokens
    }

    /// Goes on after an attempt that broke off when `delivered` tokens had been delivered.
    pub(crate) async fn resume(
        &mut self,
        delivered: u32,
        reason: String,
    ) -> Result<AcceptedAttempt, CallerError> {
        self.may_have_run = true;
        self.resumes += 1;
        self.set_outcome(AttemptOutcome::Unknown {
            reason: reason.clone(),
        });
        if !self.repeatable || self.resumes > MAX_RESUMES {
            return Err(CallerError::Unknown(reason));
        }
        self.request.resume_from = delivered;
        // An answer that has begun is not refused for being late.
        self.route.deadlines = Deadlines::default();
        for _ in 0..MAX_RESUME_ROUNDS {
            self.request.import_from = None;
            self.route.phase = RoutePhase::Start;
            self.retries = 0;
            if let Ok(accepted) = self.start().await {
                return Ok(accepted);
            }
            actix_rt::time::sleep(RESUME_PAUSE).await;
            self.route.tried.clear();
        }
        Err(CallerError::Unknown(reason))
    }

    /// Sends the request to engines until one accepts it.
    pub(crate) async fn start(&mut self) -> Result<AcceptedAttempt, CallerError> {
        loop {
            let choice = self.choose()?;
            let failed = match choice.placement {
                Placement::PrefillOnly => match self.run_prompt(&choice).await {
                    Ok(()) => continue,
                    Err(error) => error,
                },
                Placement::Whole | Placement::DecodeOnly => match self.send(&choice).await {
                    Ok(accepted) => return Ok(accepted),
                    Err(error) => error,
                },
            };
            self.after_failure(&choice, &failed)?;
        }
    }

    /// Chooses an engine and records the decision.
    fn choose(&mut self) -> Result<Choice, CallerError> {
        let shared = &self.context.shared;
        let view = shared.fleet.load();
        let now = shared.clock.now();
        let mut random = self.context.random.borrow_mut();
        let decision = shared
            .router()
            .decide(now, &view, &self.route, &mut *random);
        match decision {
            RouteDecision::Send {
                engine,
                placement,
                candidates,
                ..
            } => {
                self.request.attempt = AttemptId(random.random());
                self.request.incarnation = Some(engine.incarnation);
                self.request.prefill_only = placement == Placement::PrefillOnly;
                self.record(now, &engine, placement, candidates);
                Ok(Choice { engine, placement })
            }
            RouteDecision::Refuse {
                reason,
                retry_after,
                candidates,
            } => {
                let decided = NoEngineRecord {
                    after_ms: now.since(self.received_at).as_millis() as u64,
                    reason: format!("{reason:?}"),
                    retry_after_ms: retry_after.as_millis() as u64,
                    candidates,
                };
                shared
                    .decisions()
                    .update_request(self.request.request, |kept| kept.no_engine = Some(decided));
                let message = format!("no engine can take the request now: {reason:?}");
                Err(self.give_up(message, retry_after))
            }
        }
    }

    fn record(
        &self,
        now: MonotonicTime,
        engine: &EngineView,
        placement: Placement,
        candidates: Vec<Candidate>,
    ) {
        let record = AttemptRecord {
            attempt: self.request.attempt,
            after_ms: now.since(self.received_at).as_millis() as u64,
            engine: engine.engine.clone(),
            placement,
            candidates,
            outcome: AttemptOutcome::Running,
        };
        self.context
            .shared
            .decisions()
            .update_request(self.request.request, |kept| kept.attempts.push(record));
        self.context.shared.metrics.attempts.inc();
    }

    /// Runs the prompt on one engine; the next attempt imports its KV cache.
    async fn run_prompt(&mut self, choice: &Choice) -> Result<(), AttemptError> {
        let mut guard = self.guard(choice);
        let client = self.context.engines.get(choice.engine.address);
        let prefilled = prefill::run(&client, &choice.engine, &self.request).await?;
        guard.first_token();
        guard.complete(0, prefilled.usage);
        self.may_have_run = true;
        self.request.import_from = Some(prefilled.handle);
        self.route.phase = RoutePhase::Prefilled {
            engine: choice.engine.engine.clone(),
        };
        self.set_outcome(AttemptOutcome::Prefilled);
        Ok(())
    }

    async fn send(&mut self, choice: &Choice) -> Result<AcceptedAttempt, AttemptError> {
        let guard = self.guard(choice);
        let client = self.context.engines.get(choice.engine.address);
        let frames = client.generate(&self.request).await?;
        Ok(AcceptedAttempt {
            attempt: self.request.attempt,
            engine: choice.engine.engine.clone(),
            frames,
            guard,
            token_seen: false,
        })
    }

    fn guard(&self, choice: &Choice) -> InFlightGuard {
        let shared = &self.context.shared;
        InFlightGuard::new(shared, &choice.engine, &self.route, choice.placement)
    }

    /// Decides whether another engine may be asked.
    fn after_failure(&mut self, choice: &Choice, error: &AttemptError) -> Result<(), CallerError> {
        let reason = error.to_string();
        if error.proves_not_run() {
            self.set_outcome(AttemptOutcome::NotRun { reason });
        } else {
            self.may_have_run = true;
            self.set_outcome(AttemptOutcome::Unknown { reason });
            if !self.repeatable {
                return Err(CallerError::Unknown(error.to_string()));
            }
        }
        if is_cache_lost(error) {
            // The prompt has to run again.
            self.request.import_from = None;
            self.route.phase = RoutePhase::Start;
        } else {
            self.route.tried.push(choice.engine.engine.clone());
        }
        self.spend_retry(failure_kind(error), error.to_string())
    }

    /// Pays for one more attempt out of the request's and the node's budget.
    fn spend_retry(&mut self, kind: FailureKind, reason: String) -> Result<(), CallerError> {
        let failed = FailedAttempt {
            kind,
            repeatable: self.repeatable,
            retries: self.retries,
        };
        let decision = self.context.shared.retry_budget().decide(&failed);
        if decision != RetryDecision::Retry {
            return Err(self.give_up(reason, REFUSED_RETRY_AFTER));
        }
        self.retries += 1;
        Ok(())
    }

    fn give_up(&self, message: String, retry_after: Duration) -> CallerError {
        if self.may_have_run {
            return CallerError::Unknown(message);
        }
        CallerError::Overloaded {
            message,
            retry_after,
        }
    }

    fn set_outcome(&self, outcome: AttemptOutcome) {
        record::set_outcome(&self.context.shared, self.request.request, outcome);
    }
}

fn failure_kind(error: &AttemptError) -> FailureKind {
    match error {
        AttemptError::NotSent(_) => FailureKind::NotSent,
        _ if error.proves_not_run() => FailureKind::Refused,
        _ => FailureKind::MayHaveRun,
    }
}

fn is_cache_lost(error: &AttemptError) -> bool {
    matches!(error, AttemptError::Refused(refusal) if refusal.reason == RefusalReason::CacheNotFound)
}
