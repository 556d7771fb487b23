//! Turns an engine's answer into one for the caller, buffered or streamed.

use std::rc::Rc;

use bytes::Bytes;
use dalestand_engine_link::{BodyError, ResponseHead};
use dalestand_routing::staged::AttemptResult;

use crate::context::Context;
use crate::quarantine::run_watch::UnfinishedReason;
use crate::serve::answer::guarantees_not_run;
use crate::serve::attempt::{EngineAnswer, abandon_open_calls};
use crate::serve::held_bytes::HeldReservation;
use crate::serve::progress::Progress;
use crate::serve::retries::may_retry;
use crate::serve::unmarked_end::{EngineState, await_engine_state, check_engine};

/// Maximum length of a body that is buffered before it is sent on, so that a broken answer can be
/// replaced.
const MAX_BUFFERED_BYTES: usize = 1 << 20;

/// Bytes reserved for a body of unknown length until it has been received.
const UNKNOWN_LENGTH_BYTES: usize = 64 << 10;

/// An answer for the caller.
pub(crate) enum Served {
    /// A completely received answer.
    Whole(ResponseHead, Bytes, HeldReservation),
    /// An answer whose body is still being received.
    Stream(Box<EngineAnswer>),
}

/// Reads a body for which `reserved` bytes are reserved, and reserves more as it turns out to be longer. `None` if it is too long
/// to be held.
async fn collect_body(
    answer: &mut EngineAnswer,
    reservation: &mut HeldReservation,
    mut reserved: usize,
) -> Result<Option<Bytes>, BodyError> {
    loop {
        let body = answer.body.collect_if_short(reserved).await?;
        if body.is_some() || reserved >= MAX_BUFFERED_BYTES {
            return Ok(body);
        }
        reserved = (2 * reserved).clamp(UNKNOWN_LENGTH_BYTES, MAX_BUFFERED_BYTES);
        if !reservation.extend(reserved) {
            return Ok(None);
        }
    }
}

/// Turns an engine's answer into one for the caller; `None` if it is broken or must not be passed on.
pub(super) async fn deliver(
    context: &Rc<Context>,
    progress: &mut Progress,
    mut answer: Box<EngineAnswer>,
) -> Option<Served> {
    let is_long = answer
        .body
        .length()
        .is_some_and(|length| length > MAX_BUFFERED_BYTES as u64);
    let is_stream = progress.route.kind.is_stream() && answer.head.status.is_success();
    // An engine that did not run the request reports this as a refusal, which is handled before.
    // Any other answer with such a status must not be sent on: the caller would repeat a request
    // that may have run.
    let is_false_guarantee =
        guarantees_not_run(answer.head.status) && !progress.route.kind.is_repeatable();
    let length = answer.body.length();
    let length = length.and_then(|length| usize::try_from(length).ok());
    let expected = length
        .unwrap_or(UNKNOWN_LENGTH_BYTES)
        .min(MAX_BUFFERED_BYTES);
    let reservation = context.held_bytes.reserve(expected);
    let is_streamed = is_stream || (is_long && !is_false_guarantee);
    let Some(mut reservation) = reservation.filter(|_| !is_streamed) else {
        return (!is_false_guarantee).then(|| Served::Stream(answer));
    };
    let body = match collect_body(&mut answer, &mut reservation, expected).await {
        Ok(Some(body)) => Ok(body),
        // Its length was unknown.
        Ok(None) => return (!is_false_guarantee).then(|| Served::Stream(answer)),
        Err(error) => Err(error),
    };
    let state = match body {
        Ok(_) if may_retry(context, progress) => check_engine(context, &answer).await,
        Ok(_) => await_engine_state(context, &answer).await,
        Err(_) => EngineState::Unknown,
    };
    match body {
        Ok(body) if state == EngineState::Alive => {
            if !answer.is_server_error() {
                abandon_open_calls(context, progress);
            }
            answer.watch.record_answer(answer.head.status);
            reservation.resize(body.len());
            let whole = Served::Whole(answer.head, body, reservation);
            Some(whole).filter(|_| !is_false_guarantee)
        }
        body => {
            if let Err(error) = body {
                progress.record_body_error(error);
            }
            answer.watch.record_unfinished(UnfinishedReason::BrokenOff);
            let now = context.now();
            let mut router = context.router.borrow_mut();
            let engine = answer.choice.engine.key;
            router.health.record(now, engine, AttemptResult::Failed);
            None
        }
    }
}
