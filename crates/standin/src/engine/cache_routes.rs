//! What the engine stand-in answers about its KV caches.

use std::time::Duration;

use dalestand_edge::wire::engine::{CACHE_EVENTS_AFTER, CacheExportRequest, CacheExportResponse};
use dalestand_http_server::{Answer, StatusCode, json_answer, status_answer};
use dalestand_types::{AttemptId, Sequence};

use super::faults::take_count;
use super::state::Engine;
use super::transfer::transfer_time;

/// Holds the cache of a prompt that has run for export.
pub(super) fn hold_export(engine: &Engine, attempt: AttemptId, prompt_tokens: u32) {
    if take_count(&mut engine.faults.borrow_mut().forget_exports) {
        return;
    }
    let now = engine.now();
    let mut exports = engine.exports.borrow_mut();
    exports.hold(now, attempt, prompt_tokens);
}

/// Events after the one that the query names, as far as they may be seen yet.
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
    if take_count(&mut faults.lose_cache_events) {
        batch.cache_mut().lose_newest_event();
    }
    let lag = Duration::from_millis(faults.cache_event_lag_ms);
    let newest = batch.cache().newest_event();
    let visible = engine
        .lagged_events
        .borrow_mut()
        .report(engine.now(), lag, newest);
    let mut answer = batch.cache().events_after(after);
    answer.events.retain(|event| event.sequence <= visible);
    json_answer(StatusCode::OK, &answer)
}

/// Sends a cache on its way; answered once it has arrived.
pub(super) async fn export(engine: &Engine, body: &CacheExportRequest) -> Answer {
    let found = engine.exports.borrow().find(engine.now(), body.attempt);
    let Some(prompt_tokens) = found else {
        return status_answer(StatusCode::NOT_FOUND);
    };
    actix_rt::time::sleep(transfer_time(prompt_tokens)).await;
    json_answer(StatusCode::OK, &CacheExportResponse { prompt_tokens })
}
