//! Log lines for finished requests.

use std::mem::discriminant;

use dalestand_http_server::{HttpMessage as _, Request};
use dalestand_routing::staged::EngineKey;
use dalestand_telemetry::{Event, log_event};

use crate::context::Context;
use crate::quarantine::parts::evidence::held_part;
use crate::serve::answer::Failure;
use crate::serve::pool_admissions::AdmissionRecord;
use crate::serve::progress::Progress;

/// Longest id of a resumed attempt in a log line. Callers choose it.
const MAX_LOGGED_ID_BYTES: usize = 64;

/// Logs a request that was rejected before it had been received. Of those rejected for their bodies, which many callers may send
/// at once, one each half second and reason.
pub(crate) fn log_rejected(context: &Context, request: &Request, failure: Failure) {
    let mut unlogged = None;
    if failure.concerns_body() {
        context.metrics.bodies.record_refused(failure);
        unlogged = context
            .body_refusals
            .admit(context.now(), discriminant(&failure));
        if unlogged.is_none() {
            return;
        }
    }
    let bodies = context.bodies.usage();
    let facts = context.dialect.read_request(request.headers());
    log_event!(context.logger, Event::RequestFailed,
        "request" => facts.id.as_deref().unwrap_or_default(),
        "path" => request.path(), "reason" => ?failure,
        "status" => failure.status().as_u16(),
        "configuration" => context.table().map(|table| table.revision().0),
        "body_bytes" => bodies.bytes, "body_bytes_limit" => bodies.limit_bytes,
        "bodies" => bodies.bodies, "unlogged" => unlogged);
}

/// Logs a request for which no engine gave an answer.
pub(crate) fn log_failed(context: &Context, progress: &Progress, failure: Failure) {
    let share_status = progress.share;
    let share = share_status.and_then(|status| status.share);
    let age = share_status.and_then(|status| status.age);
    log_event!(context.logger, Event::RequestFailed,
        "request" => progress.facts.id.as_deref().unwrap_or_default(),
        "route" => &progress.route.name, "reason" => ?failure,
        "status" => failure.status().as_u16(),
        "fingerprint" => progress.fingerprint.map(|fingerprint| fingerprint.to_string()),
        "held_part" => held_part(context, &progress.shared_parts).map(|part| part.to_string()),
        "configuration" => progress.table.revision().0,
        "took_ms" => progress.started.elapsed().as_millis() as u64,
        "engines" => context.fleet().len(),
        "expected_ms" => progress.expected.map(|expected| milliseconds(expected.total_s)),
        "queue_ms" => progress.expected.map(|expected| milliseconds(expected.queue_s)),
        "tenant" => progress.caller.tenant().map(|tenant| tenant.name.as_str()),
        "tenant_share" => share.map(|share| share.share_per_s),
        "tenant_demand" => share.map(|share| share.asked_per_s),
        "tenant_figures_age_ms" => age.map(|age| age.as_millis() as u64),
        "room" => admission_summary(progress),
        "resumed_attempt" => resumed_attempt(progress), "last_event" => progress.facts.last_event,
        "calls" => progress.call_summary());
}

/// What decided on its admission, if the pool was short of capacity.
fn admission_summary(progress: &Progress) -> Option<String> {
    progress.admission.as_ref().map(AdmissionRecord::summary)
}

/// The attempt that brought the first event of the stream that the request resumes, cut to a length fit for the log.
pub(crate) fn resumed_attempt(progress: &Progress) -> Option<&str> {
    let id = progress.facts.resumes.as_deref()?;
    let end = id.floor_char_boundary(MAX_LOGGED_ID_BYTES);
    Some(&id[..end])
}

fn milliseconds(seconds: f64) -> u64 {
    (seconds * 1_000.0) as u64
}

/// Logs an answered request if it is sampled, resumes a stream, was retried, took three or more calls, or has a 5xx status.
pub(crate) fn log_served(context: &Context, progress: &Progress, status: u16) {
    let id = progress.facts.id.as_deref().unwrap_or_default();
    let sampled = EngineKey::of(id)
        .0
        .is_multiple_of(context.settings.log.complete_one_in);
    let resumes = progress.facts.last_event.is_some();
    if !sampled && !resumes && !progress.was_retried() && progress.calls.len() < 3 && status < 500 {
        return;
    }
    log_event!(context.logger, Event::RequestComplete, "request" => id,
        "route" => &progress.route.name, "status" => status,
        "configuration" => progress.table.revision().0,
        "took_ms" => progress.started.elapsed().as_millis() as u64,
        "room" => admission_summary(progress),
        "resumed_attempt" => resumed_attempt(progress), "last_event" => progress.facts.last_event,
        "calls" => progress.call_summary());
}
