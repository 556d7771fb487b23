//! Trials of stopped requests and held prompt parts: at intervals, one node runs a stopped request once, or one request
//! with a held part. What was stopped wrongly is thereby released without an operator, and what crashes engines ends at
//! most one engine per trial.

use std::time::Duration;

use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::{PartFingerprint, RequestFingerprint};
use dalestand_telemetry::{Event, log_event};
use error_stack::Report;
use rand::RngExt as _;

use crate::context::Context;
use crate::quarantine::state::TRIAL_LEASE;
use crate::serve::progress::Progress;

/// Prefix of the keys that grant a trial of a request to one node; the fingerprint follows.
const TRIAL_PREFIX: &str = "dalestand/quarantine/trial/";

/// Prefix of the keys that grant a trial of a prompt part to one node; the fingerprint follows.
const PART_TRIAL_PREFIX: &str = "dalestand/quarantine/part-trial/";

/// Time limit for the key-value service to grant a trial, as the caller is waiting.
const GRANT_TIMEOUT: Duration = Duration::from_millis(100);

/// Minimum retry delay given to the caller of a stopped request.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Retry delay to give to the caller of a stopped request: the time until the next trial, at least
/// one second.
pub(crate) fn retry_after(context: &Context, fingerprint: RequestFingerprint) -> Duration {
    let ledger = context.quarantine.ledger.borrow();
    let left = ledger.time_to_trial(context.evidence_time(), fingerprint);
    left.unwrap_or_default().max(MIN_RETRY_AFTER)
}

/// Retry delay to give to the caller of a request with held parts: the time until the next trial, at least one second;
/// `None` if no part is held.
pub(crate) fn part_retry_after(context: &Context, parts: &[PartFingerprint]) -> Option<Duration> {
    let now = context.evidence_time();
    let ledger = context.quarantine.parts.ledger.borrow();
    let held = ledger.held_among(parts);
    let delays = held.filter_map(|part| Some(ledger.trial_at(part, parts)? - now));
    Some(delays.max()?.max(MIN_RETRY_AFTER))
}

/// Whether this node may run a stopped request once now.
pub(crate) async fn acquire_trial(context: &Context, fingerprint: RequestFingerprint) -> bool {
    let now = context.evidence_time();
    let quarantine = &context.quarantine;
    let due = quarantine.ledger.borrow().time_to_trial(now, fingerprint);
    if !due.is_some_and(|left| left.is_zero()) {
        return false;
    }
    let key = format!("{TRIAL_PREFIX}{fingerprint}");
    let is_granted = request_grant(context, &key).await == Grant::Granted;
    if is_granted {
        log_event!(context.logger, Event::StoppedRequestTried, "fingerprint" => %fingerprint);
    }
    is_granted
}

/// Whether this node may run a request once now although parts of its prompt are held. The key of the first one grants it.
pub(crate) async fn acquire_part_trial(context: &Context, progress: &Progress) -> bool {
    let Some(part) = due_part(context, &progress.shared_parts) else {
        return false;
    };
    let key = format!("{PART_TRIAL_PREFIX}{part}");
    let is_granted = match request_grant(context, &key).await {
        Grant::Granted => true,
        Grant::Denied => false,
        Grant::Unavailable => may_try_without_grant(context, part, &progress.shared_parts),
    };
    if !is_granted {
        return false;
    }
    // Another node may have tried it, or released it, while this one waited.
    if due_part(context, &progress.shared_parts) != Some(part) {
        return false;
    }
    context.metrics.held_parts.record_trial();
    log_event!(context.logger, Event::HeldPartTried, "part" => %part,
        "request" => progress.facts.id.as_deref().unwrap_or_default());
    true
}

/// Whether this node tries a part that may be held wrongly while the key-value service can't grant it: one node of all, on
/// average, so that a part that most requests share is not refused for as long as the service is away.
fn may_try_without_grant(
    context: &Context,
    part: PartFingerprint,
    parts: &[PartFingerprint],
) -> bool {
    let ledger = context.quarantine.parts.ledger.borrow();
    ledger.may_be_held_wrongly(part, parts)
        && rand::rng().random_range(0..context.node_count().max(1)) == 0
}

/// The first held part among these, if all of them may be tried now.
fn due_part(context: &Context, parts: &[PartFingerprint]) -> Option<PartFingerprint> {
    let now = context.evidence_time();
    let ledger = context.quarantine.parts.ledger.borrow();
    let mut held = ledger.held_among(parts);
    let is_due = |part| ledger.trial_at(part, parts).is_some_and(|at| at <= now);
    let first = held.next()?;
    (is_due(first) && held.all(is_due)).then_some(first)
}

/// Answer to the request for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Grant {
    Granted,
    /// Another node has it, or this one asked recently.
    Denied,
    /// The key-value service did not answer in time.
    Unavailable,
}

/// Requests the key that grants a trial.
async fn request_grant(context: &Context, key: &str) -> Grant {
    let Some(store) = context.quarantine.store.get() else {
        return Grant::Unavailable;
    };
    let requests = &context.quarantine.trial_requests;
    if !requests
        .borrow_mut()
        .may_request(context.evidence_time(), key)
    {
        return Grant::Denied;
    }
    let written = write_trial_key(context, &**store, key);
    match dalestand_clock::timeout(GRANT_TIMEOUT, written).await {
        Ok(Ok(true)) => Grant::Granted,
        Ok(Ok(false)) => Grant::Denied,
        Ok(Err(error)) => {
            log_event!(context.logger, Event::KeyValueFailed, "prefix" => TRIAL_PREFIX,
                "error" => %error.current_context());
            Grant::Unavailable
        }
        Err(_) => Grant::Unavailable,
    }
}

/// Tries to write the key that grants the trial to this node.
async fn write_trial_key(
    context: &Context,
    store: &dyn KeyValue,
    key: &str,
) -> Result<bool, Report<PlatformError>> {
    let lease = store.grant_lease(TRIAL_LEASE).await?;
    let node = context.settings.node.as_str();
    let written = store
        .compare_and_swap(key, WriteExpectation::Absent, Some(node), Some(lease))
        .await?;
    Ok(matches!(written, CasOutcome::Written { .. }))
}
