//! HTTP handlers of the simulated engine for cache events and KV cache exports.

use std::time::Duration;

use dalestand_edge::wire::engine::{CACHE_EVENTS_AFTER, CacheExportRequest, CacheExportResponse};
use dalestand_http_server::{Answer, StatusCode, json_answer, status_answer};
use dalestand_types::{AttemptId, Sequence};

use super::faults::consume_one;
use super::state::Engine;
use super::transfer::transfer_time;

/// Keeps the KV cache of a prefilled prompt for export.
pub(super) fn retain_export(engine: &Engine, attempt: AttemptId, prompt_tokens: u32) {
    if consume_one(&mut engine.faults.borrow_mut().forget_exports) {
        return;
    }
    let now = engine.now();
    let mut exports = engine.exports.borrow_mut();
    exports.insert(now, attempt, prompt_tokens);
}

/// Returns the cache events after the sequence number in the query, without those that the
/// configured lag still hides.
pub(super) fn cache_events(engine: &Engine, query: Option<&str>) -> Answer {
    let after = query
        .and_then(|query| query.strip_prefix(CACHE_EVENTS_AFTER)?.strip_prefix('='))
        .and_then(|number| number.parse().ok())
        .map(Sequence);
    let Some(after) = after else {
        return status_answer(StatusCode::BAD_REQUEST);
    };
    let mut faults = engine.faults.borrow_mut();
    let mut batch = engine.batch.borrow_mut();
    if consume_one(&mut faults.lose_cache_events) {
        batch.cache_mut().lose_newest_event();
    }
    let lag = Duration::from_millis(faults.cache_event_lag_ms);
    let newest = batch.cache().newest_event();
    let visible = engine
        .delayed_events
        .borrow_mut()
        .push(engine.now(), lag, newest);
    let mut answer = batch.cache().events_after(after);
    answer.events.retain(|event| event.sequence <= visible);
    json_answer(StatusCode::OK, &answer)
}

/// Exports a KV cache; responds when the simulated transfer is complete.
pub(super) async fn export(engine: &Engine, body: &CacheExportRequest) -> Answer {
    let retained = engine.exports.borrow().find(engine.now(), body.attempt);
    let Some(prompt_tokens) = retained else {
        return status_answer(StatusCode::NOT_FOUND);
    };
    actix_rt::time::sleep(transfer_time(prompt_tokens)).await;
    json_answer(StatusCode::OK, &CacheExportResponse { prompt_tokens })
}
