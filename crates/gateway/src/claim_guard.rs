//! A granted claim, whose end is reported even if the caller disconnects.

use std::sync::Arc;

use dalestand_types::RunState;

use crate::claim::{ClaimEnd, ClaimOutcome, ClaimRequest, KeptAnswer};
use crate::error::CallerError;
use crate::shared::SharedState;

/// A granted claim. If it is dropped before [`Self::finish`], the run state is reported as unknown.
pub(crate) struct ClaimGuard {
    shared: Arc<SharedState>,
    claim: ClaimRequest,
    reported: bool,
}

/// Result of a successful claim.
pub(crate) enum Claimed {
    /// The request may run.
    Granted(ClaimGuard),
    /// An earlier request under the key has this answer.
    Answered(KeptAnswer),
}

impl ClaimGuard {
    /// Reports how the request ended.
    pub(crate) fn finish(mut self, run_state: RunState, answer: Option<KeptAnswer>) {
        self.report(ClaimEnd { run_state, answer });
    }

    fn report(&mut self, end: ClaimEnd) {
        self.reported = true;
        if let Some(gate) = self.shared.claim_gate() {
            gate.finish(&self.claim, end);
        }
    }
}

impl Drop for ClaimGuard {
    fn drop(&mut self) {
        if !self.reported {
            self.report(ClaimEnd {
                run_state: RunState::Unknown,
                answer: None,
            });
        }
    }
}

/// Claims a key; `None` if this node has no claim gate.
pub(crate) async fn claim(
    shared: &Arc<SharedState>,
    claim: ClaimRequest,
) -> Result<Option<Claimed>, CallerError> {
    let Some(gate) = shared.claim_gate() else {
        return Ok(None);
    };
    match gate.claim(&claim).await {
        ClaimOutcome::Granted => Ok(Some(Claimed::Granted(ClaimGuard {
            shared: Arc::clone(shared),
            claim,
            reported: false,
        }))),
        ClaimOutcome::Duplicate {
            answer: Some(answer),
            ..
        } => Ok(Some(Claimed::Answered(answer))),
        ClaimOutcome::Duplicate {
            first, run_state, ..
        } => Err(CallerError::AlreadyRun { first, run_state }),
        ClaimOutcome::InProgress { retry_after } => Err(CallerError::InProgress { retry_after }),
        ClaimOutcome::KeyReused => Err(CallerError::KeyReused),
        ClaimOutcome::Refused {
            reason,
            retry_after,
        } => Err(CallerError::Unavailable {
            message: reason,
            retry_after,
        }),
    }
}
