//! Attempts of one request: chooses an engine, sends the request and, if that fails, tries another
//! engine only if the first provably did not run the request, or the request may be repeated.
//!
//! The router may split a request: one engine prefills and another decodes. After a prefill, the
//! request is never reported as "not run".

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

/// Maximum number of times that an interrupted answer is resumed.
const MAX_RESUMES: u32 = 4;

/// Maximum number of tries to find an engine for one resume.
const MAX_RESUME_ROUNDS: u32 = 20;

/// Pause between two tries to find an engine for a resume.
const RESUME_RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Retry delay given to a caller whose request several engines refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An attempt that an engine has accepted.
pub(crate) struct AcceptedAttempt {
    pub(crate) attempt: AttemptId,
    /// The engine that runs it.
    pub(crate) engine: EngineId,
    /// The frames that the engine sends.
    pub(crate) frames: FrameStream,
    /// Reports the progress of the attempt to the router.
    pub(crate) guard: InFlightGuard,
    frame_seen: bool,
}

impl AcceptedAttempt {
    /// Records that a frame arrived; the arrival of the first one counts as the first token's.
    pub(crate) fn record_frame(&mut self) {
        if !self.frame_seen {
            self.frame_seen = true;
            self.guard.record_first_token();
        }
    }
}

/// The engine chosen for one attempt, and the stages that it runs.
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
    /// Creates the state before the first attempt. `repeatable` says whether the request may run again
    /// after an attempt whose result is unknown.
    pub(crate) fn new(
        context: Rc<Context>,
        received_at: MonotonicTime,
        route: RouteRequest,
        request: GenerationRequest,
        repeatable: bool,
    ) -> Self {
        context.shared.retry_budget().record_first_attempt();
        // A resumed request has run before.
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

    pub(crate) fn request_id(&self) -> RequestId {
        self.request.request
    }

    /// Position of the first token requested from the current engine.
    pub(crate) fn resume_from(&self) -> u32 {
        self.request.resume_from
    }

    /// Position of the first token requested in this call, unchanged by later resumes.
    pub(crate) fn first_position(&self) -> u32 {
        self.first_position
    }

    /// Estimated number of tokens in the prompt.
    pub(crate) fn prompt_tokens(&self) -> u32 {
        self.route.prompt_tokens
    }

    /// Resumes an interrupted answer of which `delivered` tokens were delivered.
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
            return Err(CallerError::ResultUnknown(reason));
        }
        self.request.resume_from = delivered;
        // An answer that has begun is not refused because of its deadline.
        self.route.deadlines = Deadlines::default();
        for _ in 0..MAX_RESUME_ROUNDS {
            self.request.import_from = None;
            self.route.phase = RoutePhase::Start;
            self.retries = 0;
            if let Ok(accepted) = self.start().await {
                return Ok(accepted);
            }
            actix_rt::time::sleep(RESUME_RETRY_INTERVAL).await;
            self.route.tried.clear();
        }
        Err(CallerError::ResultUnknown(reason))
    }

    /// Sends the request to engines until one accepts it.
    pub(crate) async fn start(&mut self) -> Result<AcceptedAttempt, CallerError> {
        loop {
            let choice = self.choose()?;
            let failed = match choice.placement {
                Placement::PrefillOnly => match self.run_prefill(&choice).await {
                    Ok(()) => continue,
                    Err(error) => error,
                },
                Placement::Whole | Placement::DecodeOnly => match self.send(&choice).await {
                    Ok(accepted) => return Ok(accepted),
                    Err(error) => error,
                },
            };
            self.handle_failure(&choice, &failed)?;
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
                self.record_attempt(now, &engine, placement, candidates);
                Ok(Choice { engine, placement })
            }
            RouteDecision::Refuse {
                reason,
                retry_after,
                candidates,
            } => {
                let record = NoEngineRecord {
                    after_ms: now.since(self.received_at).as_millis() as u64,
                    reason: format!("{reason:?}"),
                    retry_after_ms: retry_after.as_millis() as u64,
                    candidates,
                };
                shared
                    .decisions()
                    .update_request(self.request.request, |entry| entry.no_engine = Some(record));
                let message = format!("no engine can accept the request now: {reason:?}");
                Err(self.final_error(message, retry_after))
            }
        }
    }

    fn record_attempt(
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
            .update_request(self.request.request, |entry| entry.attempts.push(record));
        self.context.shared.metrics.attempts.inc();
    }

    /// Prefills the prompt on one engine; the next attempt imports its KV cache.
    async fn run_prefill(&mut self, choice: &Choice) -> Result<(), AttemptError> {
        let mut guard = self.guard(choice);
        let client = self.context.engines.get(choice.engine.address);
        let prefilled = prefill::run(&client, &choice.engine, &self.request).await?;
        guard.record_first_token();
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
            frame_seen: false,
        })
    }

    fn guard(&self, choice: &Choice) -> InFlightGuard {
        let shared = &self.context.shared;
        InFlightGuard::new(shared, &choice.engine, &self.route, choice.placement)
    }

    /// Decides whether another attempt may follow a failed one.
    fn handle_failure(&mut self, choice: &Choice, error: &AttemptError) -> Result<(), CallerError> {
        let reason = error.to_string();
        if error.proves_not_run() {
            self.set_outcome(AttemptOutcome::NotRun { reason });
        } else {
            self.may_have_run = true;
            self.set_outcome(AttemptOutcome::Unknown { reason });
            if !self.repeatable {
                return Err(CallerError::ResultUnknown(error.to_string()));
            }
        }
        if is_cache_lost(error) {
            // The prompt must be prefilled again.
            self.request.import_from = None;
            self.route.phase = RoutePhase::Start;
        } else {
            self.route.tried.push(choice.engine.engine.clone());
        }
        self.consume_retry(failure_kind(error), error.to_string())
    }

    /// Takes one more attempt out of the retry budgets of the request and the node.
    fn consume_retry(&mut self, kind: FailureKind, reason: String) -> Result<(), CallerError> {
        let failed = FailedAttempt {
            kind,
            repeatable: self.repeatable,
            retries: self.retries,
        };
        let decision = self.context.shared.retry_budget().decide(&failed);
        if decision != RetryDecision::Retry {
            return Err(self.final_error(reason, REFUSED_RETRY_AFTER));
        }
        self.retries += 1;
        Ok(())
    }

    fn final_error(&self, message: String, retry_after: Duration) -> CallerError {
        if self.may_have_run {
            return CallerError::ResultUnknown(message);
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
