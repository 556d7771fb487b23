//! Trials of stopped requests: at intervals, one node runs a stopped request once. A wrongly
//! stopped request is thereby released without an operator, and a crashing one ends at most one
//! engine per trial.

use std::time::Duration;

use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::RequestFingerprint;
use dalestand_telemetry::{Event, log_event};
use error_stack::Report;

use crate::context::Context;
use crate::quarantine::state::TRIAL_LEASE;

/// Prefix of the keys that grant a trial to one node; the fingerprint follows.
const TRIAL_PREFIX: &str = "dalestand/quarantine/trial/";

/// Time limit for the key-value service to grant a trial, as the caller is waiting.
const GRANT_TIMEOUT: Duration = Duration::from_millis(100);

/// Minimum retry delay given to the caller of a stopped request.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay to give to the caller of a stopped request: the time until the next trial, at least
/// one second.
pub(crate) fn retry_after(context: &Context, fingerprint: RequestFingerprint) -> Duration {
    let ledger = context.quarantine.ledger.borrow();
    let left = ledger.time_to_trial(context.now(), fingerprint);
    left.unwrap_or_default().max(MIN_RETRY_AFTER)
}

/// Whether this node may run a stopped request once now.
pub(crate) async fn acquire_trial(context: &Context, fingerprint: RequestFingerprint) -> bool {
    let Some(store) = context.quarantine.store.get() else {
        return false;
    };
    let now = context.now();
    let quarantine = &context.quarantine;
    let due = quarantine.ledger.borrow().time_to_trial(now, fingerprint);
    if !due.is_some_and(|left| left.is_zero()) {
        return false;
    }
    if !quarantine
        .trial_requests
        .borrow_mut()
        .may_request(now, fingerprint)
    {
        return false;
    }
    let granted = dalestand_clock::timeout(
        GRANT_TIMEOUT,
        write_trial_key(context, &**store, fingerprint),
    )
    .await;
    match granted {
        Ok(Ok(is_granted)) => {
            if is_granted {
                log_event!(context.logger, Event::StoppedRequestTried, "fingerprint" => %fingerprint);
            }
            is_granted
        }
        Ok(Err(error)) => {
            log_event!(context.logger, Event::KeyValueFailed, "prefix" => TRIAL_PREFIX,
                "error" => %error.current_context());
            false
        }
        Err(_) => false,
    }
}

/// Tries to write the key that grants the trial to this node.
async fn write_trial_key(
    context: &Context,
    store: &dyn KeyValue,
    fingerprint: RequestFingerprint,
) -> Result<bool, Report<PlatformError>> {
    let key = format!("{TRIAL_PREFIX}{fingerprint}");
    let lease = store.grant_lease(TRIAL_LEASE).await?;
    let node = context.settings.node.as_str();
    let written = store
        .compare_and_swap(&key, WriteExpectation::Absent, Some(node), Some(lease))
        .await?;
    Ok(matches!(written, CasOutcome::Written { .. }))
}
