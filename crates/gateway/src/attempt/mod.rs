//! Attempts of one request: choose an engine, send, and go on to another engine only when the
//! first is proved not to have run it.
//!
//! Where routing says so, the prompt runs on one engine and the output on another. Once a prompt
//! has run, the request is never called "not run".

mod guard;
mod prefill;

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_decision::{AttemptOutcome, AttemptRecord, Candidate};
use dalestand_platform::{AttemptError, Engine as _, FrameStream, HttpEngine};
use dalestand_routing::{EngineView, RouteDecision, RoutePhase, RouteRequest};
use dalestand_types::{AttemptId, GenerationRequest, MonotonicTime, Placement, RefusalReason};
use rand::RngExt as _;
use rand::rngs::StdRng;

use self::guard::InFlightGuard;
use crate::error::CallerError;
use crate::shared::Shared;

/// Most engines asked for one request.
const MAX_ATTEMPTS: usize = 4;

/// Wait told to a caller whose request several engines refused.
const REFUSED_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An attempt that an engine has accepted.
pub(crate) struct AcceptedAttempt {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// Its frames.
    pub(crate) frames: FrameStream,
    /// Tells the router how the attempt goes.
    pub(crate) guard: InFlightGuard,
}

/// Sends the request to engines until one accepts it.
pub(crate) async fn start(
    shared: &Arc<Shared>,
    random: &Rc<RefCell<StdRng>>,
    received_at: MonotonicTime,
    route: RouteRequest,
    request: GenerationRequest,
) -> Result<AcceptedAttempt, CallerError> {
    let mut attempts = Attempts {
        shared,
        random,
        received_at,
        route,
        request,
        sent: 0,
        prompt_ran: false,
    };
    attempts.run().await
}

/// The engine chosen for one attempt.
struct Choice {
    engine: EngineView,
    placement: Placement,
}

/// The attempts of one request so far.
struct Attempts<'a> {
    shared: &'a Arc<Shared>,
    random: &'a RefCell<StdRng>,
    received_at: MonotonicTime,
    route: RouteRequest,
    request: GenerationRequest,
    sent: usize,
    prompt_ran: bool,
}

impl Attempts<'_> {
    async fn run(&mut self) -> Result<AcceptedAttempt, CallerError> {
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
        let view = self.shared.fleet.load();
        let now = self.shared.clock.now();
        let mut random = self.random.borrow_mut();
        let decision = self
            .shared
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
                ..
            } => {
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
        self.shared
            .decisions()
            .update_request(self.request.request, |kept| kept.attempts.push(record));
        self.shared.metrics.attempts.inc();
    }

    /// Runs the prompt on one engine; the next attempt imports its KV cache.
    async fn run_prompt(&mut self, choice: &Choice) -> Result<(), AttemptError> {
        self.sent += 1;
        let mut guard =
            InFlightGuard::new(self.shared, &choice.engine, &self.route, choice.placement);
        let prefilled = prefill::run(&choice.engine, &self.request).await?;
        guard.first_token();
        guard.complete(0, prefilled.usage);
        self.prompt_ran = true;
        self.request.import_from = Some(prefilled.handle);
        self.route.phase = RoutePhase::Prefilled {
            engine: choice.engine.engine.clone(),
        };
        self.set_outcome(AttemptOutcome::Prefilled);
        Ok(())
    }

    async fn send(&mut self, choice: &Choice) -> Result<AcceptedAttempt, AttemptError> {
        self.sent += 1;
        let guard = InFlightGuard::new(self.shared, &choice.engine, &self.route, choice.placement);
        let engine = HttpEngine::new(choice.engine.address);
        let frames = engine.generate(&self.request).await?;
        Ok(AcceptedAttempt {
            attempt: self.request.attempt,
            frames,
            guard,
        })
    }

    /// Decides whether another engine may be asked.
    fn after_failure(&mut self, choice: &Choice, error: &AttemptError) -> Result<(), CallerError> {
        let reason = error.to_string();
        if !error.proves_not_run() {
            self.set_outcome(AttemptOutcome::Unknown { reason });
            return Err(CallerError::Unknown(error.to_string()));
        }
        self.set_outcome(AttemptOutcome::NotRun { reason });
        if is_cache_lost(error) {
            // The prompt has to run again.
            self.request.import_from = None;
            self.route.phase = RoutePhase::Start;
        } else {
            self.route.tried.push(choice.engine.engine.clone());
        }
        if self.sent >= MAX_ATTEMPTS {
            return Err(self.give_up(error.to_string(), REFUSED_RETRY_AFTER));
        }
        Ok(())
    }

    fn give_up(&self, message: String, retry_after: Duration) -> CallerError {
        if self.prompt_ran {
            return CallerError::Unknown(message);
        }
        CallerError::Overloaded {
            message,
            retry_after,
        }
    }

    fn set_outcome(&self, outcome: AttemptOutcome) {
        self.shared
            .decisions()
            .update_request(self.request.request, |kept| {
                if let Some(last) = kept.attempts.last_mut() {
                    last.outcome = outcome;
                }
            });
    }
}

fn is_cache_lost(error: &AttemptError) -> bool {
    matches!(error, AttemptError::Refused(refusal) if refusal.reason == RefusalReason::CacheNotFound)
}
