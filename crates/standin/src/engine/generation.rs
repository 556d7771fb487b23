//! Accepts requests into the batch of the simulated engine, or rejects them.

use std::rc::Rc;

use bytes::Bytes;
use dalestand_http_server::{Answer, StatusCode, json_answer, stream_answer};
use dalestand_types::{GenerationRequest, Refusal, RefusalReason};
use futures_util::stream;
use tokio::sync::mpsc;

use super::faults::consume_one;
use super::frame_sender::FrameSender;
use super::log::RunLogEvent;
use super::state::Engine;
use super::transfer::import;

/// Retry delay reported in every rejection, in milliseconds.
const RETRY_AFTER_MS: u64 = 250;

/// Responds with the frames of a request, or with the reason for its rejection.
pub(super) async fn generate(engine: &Rc<Engine>, request: GenerationRequest) -> Answer {
    if let Some(reason) = engine.refusal(&request) {
        return reject(reason);
    }
    if let Some(handle) = request.import_from {
        if import(handle).await.is_none() {
            return reject(RefusalReason::CacheNotFound);
        }
        // The engine may have changed its role or filled up during the import.
        if let Some(reason) = engine.refusal(&request) {
            return reject(reason);
        }
    }
    accept(engine, request)
}

fn reject(reason: RefusalReason) -> Answer {
    let refusal = Refusal {
        reason,
        retry_after_ms: RETRY_AFTER_MS,
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
    engine.work_available.notify_one();
    let frames = stream::unfold((receiver, guard), |(mut receiver, guard)| async move {
        receiver.recv().await.map(|line| (line, (receiver, guard)))
    });
    stream_answer(StatusCode::OK, "application/x-ndjson", frames)
}

/// Creates the sender of a request's frames; `None` if a fault breaks its connection at once.
fn open_stream(engine: &Engine, sender: mpsc::UnboundedSender<Bytes>) -> Option<FrameSender> {
    let mut faults = engine.faults.borrow_mut();
    if consume_one(&mut faults.break_after_accept) {
        return None;
    }
    let breaks = consume_one(&mut faults.break_in_answer);
    let break_at = breaks.then_some(faults.break_at_token);
    Some(FrameSender::new(sender, break_at))
}

/// Removes an attempt from the batch when its connection is closed.
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
