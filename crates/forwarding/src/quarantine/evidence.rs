//! Collects crash evidence from this node and others, and answers which requests are stopped.

use dalestand_quarantine::{
    ApplyOutcome, CrashRecord, EngineRunId, RequestFingerprint, UnfinishedRequest,
};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::MonotonicTime;

use crate::context::Context;
use crate::quarantine::parts::evidence::attribute_to_parts;

/// Maximum number of stopped requests in one relay message, about 1 KB.
const MAX_REQUESTS_PER_MESSAGE: usize = 10;

/// Maximum number of requests kept as seen here before those without crashes are dropped.
const MAX_OBSERVED: usize = 4_096;

/// Attributes an engine crash to a request that was unfinished there, and to the parts of its prompt; queues the records
/// for the other nodes.
pub(crate) fn attribute_crash(
    context: &Context,
    engine_name: &str,
    engine: EngineRunId,
    request: &UnfinishedRequest,
) {
    attribute_to_parts(context, engine, request);
    let fingerprint = request.fingerprint;
    let record = CrashRecord {
        fingerprint,
        engine,
        age_ms: 0,
        is_cleared: false,
    };
    let quarantine = &context.quarantine;
    record_observed(context, fingerprint);
    let outcome = apply(context, &record);
    if outcome == ApplyOutcome::Known {
        return;
    }
    context.metrics.crash_attributed();
    let crashes = quarantine
        .ledger
        .borrow()
        .crash_count(context.evidence_time(), fingerprint);
    log_event!(context.logger, Event::CrashAttributed, "fingerprint" => %fingerprint,
        "engine" => engine_name, "crashes" => crashes);
    if outcome == ApplyOutcome::New {
        quarantine.outgoing_records.borrow_mut().push(record);
        context.work_changed.notify_one();
    }
}

/// Records that this node saw a crash of the request. At the limit, requests without crashes on
/// record are dropped, as there is nothing to store for them.
fn record_observed(context: &Context, fingerprint: RequestFingerprint) {
    let mut observed = context.quarantine.observed_here.borrow_mut();
    if observed.len() >= MAX_OBSERVED {
        let now = context.evidence_time();
        let ledger = context.quarantine.ledger.borrow();
        observed.retain(|fingerprint| ledger.crash_count(now, *fingerprint) > 0);
    }
    observed.insert(fingerprint);
}

/// Applies crash records received from other nodes or read from the key-value service.
pub(crate) fn apply_records(context: &Context, records: &[CrashRecord]) {
    for record in records {
        if apply(context, record) == ApplyOutcome::Cleared {
            // The request completed here recently, so the other nodes have to clear the record too.
            let mut outgoing = context.quarantine.outgoing_records.borrow_mut();
            outgoing.push(CrashRecord {
                is_cleared: true,
                ..*record
            });
            context.work_changed.notify_one();
        }
    }
}

fn apply(context: &Context, record: &CrashRecord) -> ApplyOutcome {
    let now = context.evidence_time();
    let quarantine = &context.quarantine;
    let mut ledger = quarantine.ledger.borrow_mut();
    let fingerprint = record.fingerprint;
    let was_stopped = ledger.is_stopped(now, fingerprint);
    let outcome = ledger.apply(now, record);
    let is_stopped = ledger.is_stopped(now, fingerprint);
    let crashes = ledger.crash_count(now, fingerprint);
    drop(ledger);
    if is_stopped
        && outcome == ApplyOutcome::New
        && quarantine.observed_here.borrow().contains(&fingerprint)
    {
        quarantine.pending_writes.borrow_mut().insert(fingerprint);
        quarantine.write_queued.notify_one();
    }
    if is_stopped && !was_stopped {
        log_event!(context.logger, Event::RequestStopped, "fingerprint" => %fingerprint,
            "crashes" => crashes);
    } else if was_stopped && !is_stopped {
        log_event!(context.logger, Event::RequestReleased, "fingerprint" => %fingerprint);
    }
    outcome
}

/// Records that an engine has completed a request, which clears the crashes attributed to it.
pub(crate) fn record_completion(context: &Context, fingerprint: RequestFingerprint) {
    let mut ledger = context.quarantine.ledger.borrow_mut();
    let cleared = ledger.record_completion(context.evidence_time(), fingerprint);
    drop(ledger);
    if cleared.is_empty() {
        return;
    }
    log_event!(context.logger, Event::RequestReleased, "fingerprint" => %fingerprint);
    let mut outgoing = context.quarantine.outgoing_records.borrow_mut();
    for record in cleared {
        outgoing.push(record);
    }
    context.work_changed.notify_one();
}

/// Whether a request is stopped.
pub(crate) fn is_stopped(context: &Context, fingerprint: Option<RequestFingerprint>) -> bool {
    let ledger = context.quarantine.ledger.borrow();
    fingerprint.is_some_and(|fingerprint| ledger.is_stopped(context.evidence_time(), fingerprint))
}

/// Number of crashes that count against a request.
pub(crate) fn crash_count(context: &Context, fingerprint: Option<RequestFingerprint>) -> usize {
    let ledger = context.quarantine.ledger.borrow();
    fingerprint.map_or(0, |fingerprint| {
        ledger.crash_count(context.evidence_time(), fingerprint)
    })
}

/// Crash records of stopped requests to repeat in a relay's next message. If there are too many for
/// one message, successive messages carry successive parts.
pub(crate) fn stopped_records(context: &Context) -> Vec<CrashRecord> {
    let ledger = context.quarantine.ledger.borrow();
    if ledger.is_empty() {
        return Vec::new();
    }
    let stopped = ledger.stopped(context.evidence_time());
    let parts = stopped.len().div_ceil(MAX_REQUESTS_PER_MESSAGE).max(1);
    // Such messages are sent about once a second.
    let seconds = context.evidence_time().since(MonotonicTime::ZERO).as_secs();
    let part_index = (seconds % parts as u64) as usize;
    let part = stopped
        .into_iter()
        .skip(part_index * MAX_REQUESTS_PER_MESSAGE)
        .take(MAX_REQUESTS_PER_MESSAGE);
    part.flat_map(|(_, records)| records).collect()
}

/// Number of stopped requests.
pub(crate) fn stopped_count(context: &Context) -> usize {
    let ledger = context.quarantine.ledger.borrow();
    ledger.stopped(context.evidence_time()).len()
}
