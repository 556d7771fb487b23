//! Collects evidence against prompt parts from this node and others, and answers which parts are held.

use std::rc::Rc;

use dalestand_quarantine::{
    EngineRunId, PartChange, PartCompletion, PartCrash, PartFingerprint, SuspectPart,
    UnfinishedRequest,
};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::MonotonicTime;

use crate::context::Context;
use crate::dissemination::notice_queue::NoticeSource;
use crate::quarantine::parts::state::QueuedEvidence;

/// Crashes after which other nodes are told that requests with a part completed before, if none of them knows that.
const CRASHES_TO_REPORT_COMPLETIONS: usize = 2;

/// Maximum number of parts kept as seen here before those without crashes are dropped.
const MAX_OBSERVED: usize = 4_096;

/// Records that a request with these parts has arrived.
pub(crate) fn record_arrival(context: &Context, parts: &[PartFingerprint]) {
    if !parts.is_empty() {
        let activity = &context.quarantine.parts.activity;
        activity
            .borrow_mut()
            .record_arrival(context.evidence_time(), parts);
    }
}

/// Attributes an engine crash to the parts of a request that was unfinished there, and queues the record for other nodes.
pub(crate) fn attribute_to_parts(
    context: &Context,
    engine: EngineRunId,
    request: &UnfinishedRequest,
) {
    if request.shared_parts.is_empty() {
        return;
    }
    let now = context.evidence_time();
    let parts = &context.quarantine.parts;
    let activity = parts.activity.borrow();
    let suspects = request.shared_parts.iter().map(|part| SuspectPart {
        part: *part,
        arrivals: activity.arrivals(*part),
        completed_ms: activity
            .completed_begin(*part)
            .map(|begin| now.since(begin).as_millis() as u32),
    });
    let crash = PartCrash {
        engine,
        age_ms: 0,
        request: request.fingerprint.short(),
        is_trial: request.is_part_trial,
        parts: suspects.collect(),
    };
    drop(activity);
    record_observed(context, &request.shared_parts);
    if parts.ledger.borrow_mut().apply_crash(now, &crash) {
        let evidence = QueuedEvidence::Crash(Rc::new(crash), now);
        parts.outgoing.push(evidence, NoticeSource::OwnAnswer);
        update(context);
        if request.is_part_trial {
            // A failed trial changes the entry of the held part, so that a restart does not repeat it.
            for part in request.shared_parts.iter() {
                queue_write(context, *part);
            }
        }
    }
}

/// Records that this node saw a crash of the parts. At the limit, parts without crashes on record are dropped, as there is
/// nothing to store for them.
fn record_observed(context: &Context, observed: &[PartFingerprint]) {
    let parts = &context.quarantine.parts;
    let mut known = parts.observed_here.borrow_mut();
    if known.len() >= MAX_OBSERVED {
        let ledger = parts.ledger.borrow();
        known.retain(|part| ledger.crash_count(*part) > 0);
    }
    known.extend(observed);
}

/// Records that a run with these parts, begun at `begin`, has completed.
pub(crate) fn record_part_completions(
    context: &Context,
    completed: &[PartFingerprint],
    begin: MonotonicTime,
) {
    let now = context.evidence_time();
    let parts = &context.quarantine.parts;
    let mut activity = parts.activity.borrow_mut();
    let mut ledger = parts.ledger.borrow_mut();
    let mut cleared = Vec::new();
    for part in completed {
        activity.record_completion(now, *part, begin);
        if ledger.apply_completion(*part, begin) {
            cleared.push(*part);
        }
    }
    drop(ledger);
    for part in &cleared {
        let evidence = QueuedEvidence::Completion(*part);
        parts.outgoing.push(evidence, NoticeSource::OwnAnswer);
    }
    if !cleared.is_empty() {
        update(context);
    }
}

/// Applies crash records of other nodes or of the key-value service, and forwards those that are new.
pub(crate) fn apply_crashes(context: &Context, crashes: Vec<PartCrash>, source: NoticeSource) {
    let now = context.evidence_time();
    let parts = &context.quarantine.parts;
    let mut has_changed = false;
    for crash in crashes {
        if parts.ledger.borrow_mut().apply_crash(now, &crash) {
            has_changed = true;
            report_completions(context, &crash);
            let evidence = QueuedEvidence::Crash(Rc::new(crash), now);
            parts.outgoing.push(evidence, source);
        }
    }
    if has_changed {
        update(context);
    }
}

/// Tells other nodes of completions seen here that matter for parts of this crash.
fn report_completions(context: &Context, crash: &PartCrash) {
    let parts = &context.quarantine.parts;
    let activity = parts.activity.borrow();
    let mut ledger = parts.ledger.borrow_mut();
    for suspect in &crash.parts {
        let Some(begin) = activity.completed_begin(suspect.part) else {
            continue;
        };
        if !ledger.lacks_completion(suspect.part, begin) {
            continue;
        }
        let crashes = ledger.crash_count(suspect.part);
        ledger.apply_completion(suspect.part, begin);
        let was_cleared = ledger.crash_count(suspect.part) < crashes;
        if was_cleared || crashes >= CRASHES_TO_REPORT_COMPLETIONS {
            let evidence = QueuedEvidence::Completion(suspect.part);
            parts.outgoing.push(evidence, NoticeSource::OwnAnswer);
        }
    }
}

/// Applies completions that other nodes report, and forwards those that are new.
pub(crate) fn apply_completions(
    context: &Context,
    completions: &[PartCompletion],
    source: NoticeSource,
) {
    let now = context.evidence_time();
    let parts = &context.quarantine.parts;
    let mut has_changed = false;
    for completion in completions {
        let mut ledger = parts.ledger.borrow_mut();
        if ledger.apply_reported_completion(now, completion) {
            has_changed = true;
            drop(ledger);
            let evidence = QueuedEvidence::Completion(completion.part);
            parts.outgoing.push(evidence, source);
        }
    }
    if has_changed {
        update(context);
    }
}

/// Releases a part: no crash up to now counts.
pub(crate) fn release_part(context: &Context, part: PartFingerprint) {
    let completion = PartCompletion { part, age_ms: 0 };
    apply_completions(context, &[completion], NoticeSource::Entry);
}

/// Decides anew which parts are held, after the evidence has changed.
fn update(context: &Context) {
    let now = context.evidence_time();
    let parts = &context.quarantine.parts;
    let mut ledger = parts.ledger.borrow_mut();
    let changes = ledger.update(now);
    if !changes.is_empty() {
        let explained = ledger.explained().clone();
        let mut requests = context.quarantine.ledger.borrow_mut();
        requests.set_explained(explained);
    }
    let held_count = ledger.held().len();
    for change in &changes {
        log_change(context, *change, &ledger);
        let (PartChange::Held(part) | PartChange::Cleared(part) | PartChange::Explained(part)) =
            change;
        queue_write(context, *part);
    }
    drop(ledger);
    context.metrics.held_parts.set_held(held_count);
}

fn log_change(context: &Context, change: PartChange, ledger: &dalestand_quarantine::PartLedger) {
    match change {
        PartChange::Held(part) => {
            let held = ledger.held().get(&part);
            log_event!(context.logger, Event::PartHeld, "part" => %part,
                "crashes" => held.map(|held| held.crashes), "arrivals" => ledger.arrivals(part),
                "suspects" => ledger.len());
        }
        PartChange::Cleared(part) => {
            log_event!(context.logger, Event::PartReleased, "part" => %part,
                "reason" => "completed");
        }
        PartChange::Explained(part) => {
            log_event!(context.logger, Event::PartReleased, "part" => %part,
                "reason" => "other parts explain the crashes");
        }
    }
}

/// Queues the entry of a part for writing if this node saw a crash of it.
fn queue_write(context: &Context, part: PartFingerprint) {
    let parts = &context.quarantine.parts;
    if parts.observed_here.borrow().contains(&part) {
        parts.pending_writes.borrow_mut().insert(part);
        parts.write_queued.notify_one();
    }
}

/// Expires evidence that is too old to count.
pub(crate) fn expire_part_evidence(context: &Context) {
    if !context.quarantine.parts.ledger.borrow().is_empty() {
        update(context);
    }
}

/// The first held part among these.
pub(crate) fn held_part(context: &Context, parts: &[PartFingerprint]) -> Option<PartFingerprint> {
    let ledger = context.quarantine.parts.ledger.borrow();
    let mut held = ledger.held_among(parts);
    held.next()
}

/// The largest number of crashes that count against one of these parts.
pub(crate) fn part_crash_count(context: &Context, parts: &[PartFingerprint]) -> usize {
    let ledger = context.quarantine.parts.ledger.borrow();
    let counts = parts.iter().map(|part| ledger.crash_count(*part));
    counts.max().unwrap_or_default()
}
