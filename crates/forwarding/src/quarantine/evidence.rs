//! Takes evidence in, of this node and of others, and tells what is stopped.

use dalestand_quarantine::{ApplyOutcome, CrashRecord, EngineRunId, RequestFingerprint};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::MonotonicTime;

use crate::context::Context;

/// Stopped requests that a relay names in one message: 1 KB.
const MAX_TOLD: usize = 10;

/// Requests of which this node remembers that it saw a crash, before it looks which still count.
const MAX_SEEN: usize = 4_096;

/// Notes that a request was unfinished at an engine when that ended.
pub(crate) fn attribute(
    context: &Context,
    engine_name: &str,
    engine: EngineRunId,
    fingerprint: RequestFingerprint,
) {
    let record = CrashRecord {
        fingerprint,
        engine,
        age_ms: 0,
        is_cleared: false,
    };
    let quarantine = &context.quarantine;
    note_seen(context, fingerprint);
    let taken = take(context, &record);
    if taken == ApplyOutcome::Known {
        return;
    }
    context.metrics.crash_attributed();
    let crashes = quarantine
        .ledger
        .borrow()
        .crash_count(context.now(), fingerprint);
    log_event!(context.logger, Event::CrashAttributed, "fingerprint" => %fingerprint,
        "engine" => engine_name, "crashes" => crashes);
    if taken == ApplyOutcome::New {
        quarantine.outgoing_records.borrow_mut().push(record);
        context.work_changed.notify_one();
    }
}

/// Notes that this node saw a crash of the request. Of requests that nothing counts against any more
/// nothing is to be stored.
fn note_seen(context: &Context, fingerprint: RequestFingerprint) {
    let mut seen = context.quarantine.seen_here.borrow_mut();
    if seen.len() >= MAX_SEEN {
        let now = context.now();
        let ledger = context.quarantine.ledger.borrow();
        seen.retain(|fingerprint| ledger.crash_count(now, *fingerprint) > 0);
    }
    seen.insert(fingerprint);
}

/// Takes the records of other nodes in.
pub(crate) fn apply_records(context: &Context, records: &[CrashRecord]) {
    for record in records {
        if take(context, record) == ApplyOutcome::Cleared {
            // It has completed here.
            let mut news = context.quarantine.outgoing_records.borrow_mut();
            news.push(CrashRecord {
                is_cleared: true,
                ..*record
            });
            context.work_changed.notify_one();
        }
    }
}

fn take(context: &Context, record: &CrashRecord) -> ApplyOutcome {
    let now = context.now();
    let quarantine = &context.quarantine;
    let mut ledger = quarantine.ledger.borrow_mut();
    let fingerprint = record.fingerprint;
    let was_stopped = ledger.is_stopped(now, fingerprint);
    let taken = ledger.apply(now, record);
    let is_stopped = ledger.is_stopped(now, fingerprint);
    let crashes = ledger.crash_count(now, fingerprint);
    drop(ledger);
    if is_stopped
        && taken == ApplyOutcome::New
        && quarantine.seen_here.borrow().contains(&fingerprint)
    {
        quarantine.to_store.borrow_mut().insert(fingerprint);
        quarantine.store_wanted.notify_one();
    }
    if is_stopped && !was_stopped {
        log_event!(context.logger, Event::RequestStopped, "fingerprint" => %fingerprint,
            "crashes" => crashes);
    } else if was_stopped && !is_stopped {
        log_event!(context.logger, Event::RequestReleased, "fingerprint" => %fingerprint);
    }
    taken
}

/// Notes that a request has completed at an engine: it does not end each that runs it.
pub(crate) fn completed(context: &Context, fingerprint: RequestFingerprint) {
    let mut ledger = context.quarantine.ledger.borrow_mut();
    let cleared = ledger.record_completion(context.now(), fingerprint);
    drop(ledger);
    if cleared.is_empty() {
        return;
    }
    log_event!(context.logger, Event::RequestReleased, "fingerprint" => %fingerprint);
    let mut news = context.quarantine.outgoing_records.borrow_mut();
    for record in cleared {
        news.push(record);
    }
    context.work_changed.notify_one();
}

/// Whether a request is stopped.
pub(crate) fn is_stopped(context: &Context, fingerprint: Option<RequestFingerprint>) -> bool {
    let ledger = context.quarantine.ledger.borrow();
    fingerprint.is_some_and(|fingerprint| ledger.is_stopped(context.now(), fingerprint))
}

/// Crashes that count against a request.
pub(crate) fn crashes(context: &Context, fingerprint: Option<RequestFingerprint>) -> usize {
    let ledger = context.quarantine.ledger.borrow();
    fingerprint.map_or(0, |fingerprint| {
        ledger.crash_count(context.now(), fingerprint)
    })
}

/// Records of stopped requests for the next message of a relay: all by turns, where there are many.
pub(crate) fn stopped_records(context: &Context) -> Vec<CrashRecord> {
    let ledger = context.quarantine.ledger.borrow();
    if ledger.is_empty() {
        return Vec::new();
    }
    let stopped = ledger.stopped(context.now());
    let turns = stopped.len().div_ceil(MAX_TOLD).max(1);
    // Messages with records go out about once a second.
    let seconds = context.now().since(MonotonicTime::ZERO).as_secs();
    let turn = (seconds % turns as u64) as usize;
    let told = stopped.into_iter().skip(turn * MAX_TOLD).take(MAX_TOLD);
    told.flat_map(|(_, records)| records).collect()
}

/// Number of requests that are stopped.
pub(crate) fn stopped_count(context: &Context) -> usize {
    let ledger = context.quarantine.ledger.borrow();
    ledger.stopped(context.now()).len()
}
