//! Keeps the decision record, the log and the metrics of a request up to date.

use std::sync::Arc;

use dalestand_decision::AttemptOutcome;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{RequestId, RunState};

use crate::shared::SharedState;

/// Notes what came of the request's last attempt.
pub(crate) fn set_outcome(shared: &SharedState, request: RequestId, outcome: AttemptOutcome) {
    shared.decisions().update_request(request, |kept| {
        if let Some(last) = kept.attempts.last_mut() {
            last.outcome = outcome;
        }
    });
}

/// A request's record until its end, or its relay, is there. Dropped before, the caller has gone
/// while engines were asked, and whether one ran it is not known.
pub(crate) struct OpenRecord {
    shared: Arc<SharedState>,
    request: RequestId,
    open: bool,
}

impl OpenRecord {
    /// The record of `request`.
    pub(crate) fn new(shared: &Arc<SharedState>, request: RequestId) -> Self {
        Self {
            shared: Arc::clone(shared),
            request,
            open: true,
        }
    }

    /// Leaves the end to another.
    pub(crate) fn hand_over(mut self) {
        self.open = false;
    }
}

impl Drop for OpenRecord {
    fn drop(&mut self) {
        if self.open {
            let reason = "the caller went away".to_owned();
            finish(&self.shared, self.request, RunState::Unknown, Some(reason));
        }
    }
}

/// Notes the end of a request.
pub(crate) fn finish(
    shared: &SharedState,
    request: RequestId,
    state: RunState,
    refusal: Option<String>,
) {
    shared
        .metrics
        .requests
        .with_label_values(&[state.as_str()])
        .inc();
    match &refusal {
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
        record.refusal = refusal;
    });
}
