//! Updates the decision record, the log and the metrics of a request.

use std::sync::Arc;

use dalestand_decision::AttemptOutcome;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{RequestId, RunState};

use crate::shared::SharedState;

/// Sets the outcome of the request's last attempt.
pub(crate) fn set_outcome(shared: &SharedState, request: RequestId, outcome: AttemptOutcome) {
    shared.decisions().update_request(request, |record| {
        if let Some(last) = record.attempts.last_mut() {
            last.outcome = outcome;
        }
    });
}

/// Closes the record of a request as unknown when dropped, which happens if the caller disconnects
/// while the request is being sent to engines.
pub(crate) struct RecordGuard {
    shared: Arc<SharedState>,
    request: RequestId,
    open: bool,
}

impl RecordGuard {
    /// Guards the record of `request`.
    pub(crate) fn new(shared: &Arc<SharedState>, request: RequestId) -> Self {
        Self {
            shared: Arc::clone(shared),
            request,
            open: true,
        }
    }

    /// Disarms the guard: dropping it no longer closes the record.
    pub(crate) fn disarm(mut self) {
        self.open = false;
    }
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        if self.open {
            let reason = "the caller disconnected".to_owned();
            finish(&self.shared, self.request, RunState::Unknown, Some(reason));
        }
    }
}

/// Records the end of a request; `failure` is the reason why it is not complete.
pub(crate) fn finish(
    shared: &SharedState,
    request: RequestId,
    state: RunState,
    failure: Option<String>,
) {
    shared
        .metrics
        .requests
        .with_label_values(&[state.as_str()])
        .inc();
    match &failure {
        Some(reason) => {
            log_event!(shared.logger, Event::RequestFailed,
                "request" => %request, "run_state" => state.as_str(), "reason" => reason);
        }
        None => {
            log_event!(shared.logger, Event::RequestComplete, "request" => %request);
        }
    }
    shared.decisions().update_request(request, |record| {
        record.run_state = Some(state);
        record.refusal = failure;
    });
}
