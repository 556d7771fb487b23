//! Finds an engine that goes on with a stream, up to its first event.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_clock::timeout;
use dalestand_engine_link::{BodyError, BodyFraming};
use dalestand_routing::staged::AttemptResult;
use dalestand_types::PoolName;

use crate::context::Context;
use crate::quarantine::run_watch::UnfinishedReason;
use crate::serve::answer_stream::SHORT_EVENT_BYTES;
use crate::serve::attempt::EngineAnswer;
use crate::serve::event_stream::EventSplitter;
use crate::serve::forward::resume;
use crate::serve::progress::Progress;
use crate::serve::unmarked_end::{EngineState, check_engine};

/// Longest time for which the former run goes on after another engine has accepted the stream. Engines send their first
/// event when they begin a run, so both would otherwise work on it.
const MAX_OVERLAP: Duration = Duration::from_millis(250);

/// What a read from an answer's body brought.
pub(super) enum BodyRead {
    /// Bytes of the body.
    Bytes(Bytes),
    /// The stream has gone on, and the bytes are with the splitter.
    WentOn,
    /// The end of the body.
    End,
    /// The end of the connection before that of the body.
    BrokenOff,
}

impl From<Option<Result<Bytes, BodyError>>> for BodyRead {
    fn from(chunk: Option<Result<Bytes, BodyError>>) -> Self {
        match chunk {
            Some(Ok(bytes)) => Self::Bytes(bytes),
            Some(Err(_)) => Self::BrokenOff,
            None => Self::End,
        }
    }
}

/// The answer of an engine that goes on with a stream.
pub(super) struct Replacement {
    pub(super) answer: EngineAnswer,
    /// Splits its events, and holds what has been received.
    pub(super) splitter: EventSplitter,
}

/// Finds an engine that goes on with the stream after the last event; `None` if that is not allowed or none accepts it.
/// Waits for its first event or the end of its answer, for a limited time.
pub(super) async fn find_replacement(
    context: &Rc<Context>,
    progress: &mut Progress,
    pool: &PoolName,
) -> Option<Replacement> {
    while let Some(answer) = resume(context, progress, pool).await {
        let mut replacement = Replacement {
            answer,
            splitter: EventSplitter::default(),
        };
        let has_events = progress.facts.last_event.is_some();
        let first_event = replacement.read_first_event(context, has_events);
        match timeout(MAX_OVERLAP, first_event).await {
            Ok(true) | Err(_) => return Some(replacement),
            Ok(false) => replacement.record_failure(context),
        }
    }
    None
}

impl Replacement {
    /// Reads until an event, more than a short one or the end of the answer has been received; false if it broke off before, or if its end is not
    /// certain. A stream of which the caller has no events does not end without one.
    async fn read_first_event(&mut self, context: &Rc<Context>, has_events: bool) -> bool {
        loop {
            if self.splitter.has_event() || self.splitter.pending().len() > SHORT_EVENT_BYTES {
                return true;
            }
            let read = self.answer.body.next().await.into();
            self.answer.work.record_prefilled();
            match read {
                BodyRead::Bytes(bytes) => self.splitter.push(&bytes),
                BodyRead::End if self.answer.body.framing() != BodyFraming::ConnectionClose => {
                    return true;
                }
                BodyRead::End => {
                    return has_events
                        && !self.splitter.is_inside_event()
                        && check_engine(context, &self.answer).await == EngineState::Alive;
                }
                BodyRead::BrokenOff | BodyRead::WentOn => return false,
            }
        }
    }

    /// Whether the answer has ended inside an event.
    fn is_truncated(&self) -> bool {
        let framing = self.answer.body.framing();
        framing == BodyFraming::ConnectionClose && self.splitter.is_inside_event()
    }

    fn record_failure(&mut self, context: &Context) {
        let pending_bytes = self.splitter.pending().len();
        let reason = if self.is_truncated() {
            UnfinishedReason::InsideEvent { pending_bytes }
        } else {
            UnfinishedReason::BrokenOff
        };
        self.answer.watch.record_unfinished(reason);
        let now = context.now();
        let mut router = context.router.borrow_mut();
        let engine = self.answer.choice.engine.key;
        router.health.record(now, engine, AttemptResult::Failed);
    }
}
