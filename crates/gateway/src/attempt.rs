//! Attempts of one request: choose an engine, send, and go on to another engine only when the
//! first is proved not to have run it.

use std::rc::Rc;
use std::sync::Arc;

use dalestand_decision::{AttemptOutcome, AttemptRecord};
use dalestand_platform::{AttemptError, Engine as _, FrameStream, HttpEngine};
use dalestand_routing::{Completion, EngineView, Placement, RouteDecision, RouteRequest, Ticket};
use dalestand_types::{AttemptId, GenerationRequest, MonotonicTime};
use rand::rngs::StdRng;

use crate::error::CallerError;
use crate::shared::Shared;

/// Most engines tried for one request.
const MAX_ATTEMPTS: usize = 3;

/// An attempt that an engine has accepted.
pub(crate) struct AcceptedAttempt {
    /// The attempt.
    pub(crate) attempt: AttemptId,
    /// Its frames.
    pub(crate) frames: FrameStream,
    /// Keeps the router's count of requests at the engine.
    pub(crate) _guard: InFlightGuard,
}

/// Counts a request at an engine until dropped.
pub(crate) struct InFlightGuard {
    shared: Arc<Shared>,
    ticket: Ticket,
}

impl InFlightGuard {
    fn new(
        shared: &Arc<Shared>,
        engine: &EngineView,
        route: &RouteRequest,
        placement: Placement,
    ) -> Self {
        let now = shared.clock.now();
        let ticket = shared.router().sent(now, engine, route, placement);
        Self {
            shared: Arc::clone(shared),
            ticket,
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut router = self.shared.router();
        router.finished(now, &self.ticket, Completion::default());
    }
}

/// Sends the request to engines until one accepts it.
pub(crate) async fn start(
    shared: &Arc<Shared>,
    random: &Rc<std::cell::RefCell<StdRng>>,
    received_at: MonotonicTime,
    mut route: RouteRequest,
    mut request: GenerationRequest,
) -> Result<AcceptedAttempt, CallerError> {
    loop {
        let view = shared.fleet.load_full();
        let now = shared.clock.now();
        let decision = shared
            .router()
            .decide(now, &view, &route, &mut *random.borrow_mut());
        let (engine, placement, candidates) = match decision {
            RouteDecision::Send {
                engine,
                placement,
                candidates,
                ..
            } => (engine, placement, candidates),
            RouteDecision::Refuse {
                reason,
                retry_after,
                ..
            } => {
                let message = format!("no engine can take the request now: {reason:?}");
                return Err(CallerError::Overloaded {
                    message,
                    retry_after,
                });
            }
        };
        request.attempt = AttemptId(rand::RngExt::random(&mut *random.borrow_mut()));
        request.incarnation = Some(engine.incarnation);
        let record = AttemptRecord {
            attempt: request.attempt,
            after_ms: now.since(received_at).as_millis() as u64,
            engine: engine.engine.clone(),
            candidates,
            outcome: AttemptOutcome::Running,
        };
        shared
            .decisions()
            .update_request(request.request, |kept| kept.attempts.push(record));
        shared.metrics.attempts.inc();
        let guard = InFlightGuard::new(shared, &engine, &route, placement);
        let error = match HttpEngine::new(engine.address).generate(&request).await {
            Ok(frames) => {
                return Ok(AcceptedAttempt {
                    attempt: request.attempt,
                    frames,
                    _guard: guard,
                });
            }
            Err(error) => error,
        };
        drop(guard);
        record_failure(shared, &request, &error);
        if !error.proves_not_run() {
            return Err(CallerError::Unknown(error.to_string()));
        }
        route.tried.push(engine.engine);
        if route.tried.len() >= MAX_ATTEMPTS {
            let retry_after = std::time::Duration::from_secs(1);
            return Err(CallerError::Overloaded {
                message: error.to_string(),
                retry_after,
            });
        }
    }
}

fn record_failure(shared: &Shared, request: &GenerationRequest, error: &AttemptError) {
    let reason = error.to_string();
    let outcome = if error.proves_not_run() {
        AttemptOutcome::NotRun { reason }
    } else {
        AttemptOutcome::Unknown { reason }
    };
    shared.decisions().update_request(request.request, |kept| {
        if let Some(last) = kept.attempts.last_mut() {
            last.outcome = outcome;
        }
    });
}
