//! What of a call's end goes to the caller: a whole answer, or one that is passed on as it comes.

use bytes::Bytes;
use dalestand_engine_link::ResponseHead;
use dalestand_routing::staged::AttemptResult;
use dalestand_types::PoolName;

use crate::context::Context;
use crate::quarantine::run_watch::UnfinishedReason;
use crate::serve::answer::promises_not_run;
use crate::serve::attempt::{AttemptEnd, EngineAnswer};
use crate::serve::held_bytes::HeldRoom;
use crate::serve::progress::Progress;

/// Longest body that is gathered before it is passed on, so that a broken one can be replaced.
const GATHERED_BYTES: usize = 1 << 20;

/// What a body that does not tell its length is taken to need until it has come.
const UNTOLD_BYTES: usize = 64 << 10;

/// An answer found for a request.
pub(super) enum Served {
    /// A whole answer.
    Whole(ResponseHead, Bytes, HeldRoom),
    /// An answer that goes on.
    Stream(PoolName, Box<EngineAnswer>),
}

/// Turns what came into an answer for the caller; `None` if there is none in it.
pub(super) async fn deliver(
    context: &Context,
    progress: &Progress,
    pool: PoolName,
    ended: AttemptEnd,
) -> Option<Served> {
    let mut answer = match ended {
        AttemptEnd::Answered(answer) => answer,
        AttemptEnd::Refused | AttemptEnd::NotSent | AttemptEnd::Unknown => return None,
    };
    let is_long = answer
        .body
        .length()
        .is_some_and(|length| length > GATHERED_BYTES as u64);
    let streams = progress.route.kind.is_stream() && answer.head.status.is_success();
    // An engine that did not run it says so, and is asked no more. Passed on, any other answer of such a status
    // would have the caller send again what may have run.
    let is_false_promise =
        promises_not_run(answer.head.status) && !progress.route.kind.is_repeatable();
    let length = answer.body.length();
    let length = length.and_then(|length| usize::try_from(length).ok());
    let expected = length.unwrap_or(UNTOLD_BYTES).min(GATHERED_BYTES);
    let room = context.held_bytes.reserve(expected);
    let is_passed_on = streams || (is_long && !is_false_promise);
    let Some(mut room) = room.filter(|_| !is_passed_on) else {
        return (!is_false_promise).then(|| Served::Stream(pool, answer));
    };
    match answer.body.collect(GATHERED_BYTES).await {
        Ok(body) => {
            answer.watch.record_answer(&answer.body);
            room.resize(body.len());
            let whole = Served::Whole(answer.head, body, room);
            Some(whole).filter(|_| !is_false_promise)
        }
        Err(_) => {
            answer.watch.record_unfinished(UnfinishedReason::BrokenOff);
            let now = context.now();
            let mut router = context.router.borrow_mut();
            let engine = answer.choice.engine.key;
            router.health.note(now, engine, AttemptResult::Failed);
            None
        }
    }
}
