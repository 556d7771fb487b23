//! Takes requests into the batch of the engine stand-in, or refuses them.

use std::rc::Rc;

use bytes::Bytes;
use dalestand_http_server::{Answer, StatusCode, json_answer, stream_answer};
use dalestand_types::{GenerationRequest, Refusal, RefusalReason};
use futures_util::stream;
use tokio::sync::mpsc;

use super::faults::take_count;
use super::log::RunLogEvent;
use super::outgoing::Outgoing;
use super::state::Engine;
use super::transfer::import;

/// When a refused request may come back, in milliseconds.
const FULL_RETRY_AFTER_MS: u64 = 250;

/// Runs a request; answered by its frames, or by why it is refused.
pub(super) async fn generate(engine: &Rc<Engine>, request: GenerationRequest) -> Answer {
    if let Some(reason) = engine.refusal(&request) {
        return refuse(reason);
    }
    if let Some(handle) = request.import_from {
        if import(handle).await.is_none() {
            return refuse(RefusalReason::CacheNotFound);
        }
        // The engine may have left service, or filled up, while the cache was on its way.
        if let Some(reason) = engine.refusal(&request) {
            return refuse(reason);
        }
    }
    accept(engine, request)
}

fn refuse(reason: RefusalReason) -> Answer {
    let refusal = Refusal {
        reason,
        retry_after_ms: FULL_RETRY_AFTER_MS,
    };
    let status = match reason {
        RefusalReason::Full => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::CONFLICT,
    };
    json_answer(status, &refusal)
}

fn accept(engine: &Rc<Engine>, request: GenerationRequest) -> Answer {
    engine.attempts.borrow_mut().insert(request.attempt);
    if let Some(key) = &request.once_key {
        engine.once_keys.borrow_mut().insert(key.clone());
    }
    engine.log_run(&request, RunLogEvent::Accepted);
    let (sender, receiver) = mpsc::unbounded_channel();
    if let Some(stream) = open_stream(engine, sender) {
        engine.streams.borrow_mut().insert(request.attempt, stream);
    }
    let guard = AttemptGuard {
        engine: Rc::clone(engine),
        request: request.clone(),
    };
    engine.batch.borrow_mut().add(request);
    engine.work.notify_one();
    let frames = stream::unfold((receiver, guard), |(mut receiver, guard)| async move {
        receiver.recv().await.map(|line| (line, (receiver, guard)))
    });
    stream_answer(StatusCode::OK, "application/x-ndjson", frames)
}

/// Where the frames of a request go; nowhere if it is to break.
fn open_stream(engine: &Engine, sender: mpsc::UnboundedSender<Bytes>) -> Option<Outgoing> {
    let mut faults = engine.faults.borrow_mut();
    if take_count(&mut faults.break_after_accept) {
        return None;
    }
    let breaks = take_count(&mut faults.break_in_answer);
    let break_at = breaks.then_some(faults.break_at_token);
    Some(Outgoing::new(sender, break_at))
}

/// Takes an attempt out of the batch when its connection goes.
struct AttemptGuard {
    engine: Rc<Engine>,
    request: GenerationRequest,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let attempt = self.request.attempt;
        self.engine.streams.borrow_mut().remove(&attempt);
        if let Some(tokens) = self.engine.batch.borrow_mut().remove(attempt) {
            self.engine
                .log_run(&self.request, RunLogEvent::Cancelled { tokens });
        }
    }
}
