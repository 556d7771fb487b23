//! Trials of stopped requests: one run at one node of the fleet, so that a request which was stopped
//! wrongly comes back into service by itself, and one that ends engines ends no more than one each time.

use std::time::Duration;

use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::RequestFingerprint;
use dalestand_telemetry::{Event, log_event};
use error_stack::Report;

use crate::context::Context;
use crate::quarantine::state::TRIAL_HELD;

/// Leading part of the keys that let one node try a request; the fingerprint follows.
const TRIAL_PREFIX: &str = "dalestand/quarantine/trial/";

/// Time in which the key-value service must let a node try: the caller waits for it.
const GRANT_TIMEOUT: Duration = Duration::from_millis(100);

/// Shortest time after which the caller of a stopped request is to come back.
const SHORTEST_REFUSAL: Duration = Duration::from_secs(1);

/// Time until a stopped request may be tried, a second at least: until then it is refused.
pub(crate) fn retry_after(context: &Context, fingerprint: RequestFingerprint) -> Duration {
    let ledger = context.quarantine.ledger.borrow();
    let left = ledger.time_to_trial(context.now(), fingerprint);
    left.unwrap_or_default().max(SHORTEST_REFUSAL)
}

/// Whether this node may have a stopped request run once.
pub(crate) async fn may_try(context: &Context, fingerprint: RequestFingerprint) -> bool {
    let Some(store) = context.quarantine.store.get() else {
        return false;
    };
    let now = context.now();
    let quarantine = &context.quarantine;
    let due = quarantine.ledger.borrow().time_to_trial(now, fingerprint);
    if !due.is_some_and(|left| left.is_zero()) {
        return false;
    }
    if !quarantine.trials.borrow_mut().may_ask(now, fingerprint) {
        return false;
    }
    let granted =
        dalestand_clock::timeout(GRANT_TIMEOUT, grant(context, &**store, fingerprint)).await;
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

/// Takes the key that lets one node of the fleet try.
async fn grant(
    context: &Context,
    store: &dyn KeyValue,
    fingerprint: RequestFingerprint,
) -> Result<bool, Report<PlatformError>> {
    let key = format!("{TRIAL_PREFIX}{fingerprint}");
    let lease = store.grant_lease(TRIAL_HELD).await?;
    let node = context.settings.node.as_str();
    let written = store
        .compare_and_swap(&key, WriteExpectation::Absent, Some(node), Some(lease))
        .await?;
    Ok(matches!(written, CasOutcome::Written { .. }))
}
