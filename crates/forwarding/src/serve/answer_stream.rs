//! Streams the body of an engine's answer to the caller, and resumes it at another engine if it
//! breaks off.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::CONTENT_TYPE;
use bytes::Bytes;
use dalestand_clock::{BootInstant, TimedOut, sleep, timeout, timeout_at};
use dalestand_engine_link::{BodyFraming, ResponseHead};
use dalestand_routing::staged::{AttemptResult, response_timeout};
use dalestand_stream_origins::StreamBinding;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::SoftwareVersion;
use futures_util::stream::{self, Stream};
use tokio::task::yield_now;

use crate::context::Context;
use crate::node::in_flight::InFlightGuard;
use crate::node::metrics::RunEnd;
use crate::node::metrics::streams::{ResumedSoftware, SilenceEnd};
use crate::quarantine::run_watch::UnfinishedReason;
use crate::serve::answer_stream_error::AnswerStreamError;
use crate::serve::attempt::{EngineAnswer, abandon_open_calls};
use crate::serve::event_stream::EventSplitter;
use crate::serve::held_bytes::HeldReservation;
use crate::serve::plan::choose_for_resume;
use crate::serve::progress::Progress;
use crate::serve::replacement::{BodyRead, Replacement, find_replacement};
use crate::serve::response_timeout::may_hedge;
use crate::serve::retries::may_retry;
use crate::serve::unmarked_end::{
    ENGINE_CHECK_INTERVAL, EngineState, await_engine_state, check_engine,
};
use crate::streams::share::record_origin;

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// A stream is resumed elsewhere after a pause of this multiple of the pause objective.
const PAUSE_FACTOR: u32 = 3;

/// A stream is resumed elsewhere if its first event takes this multiple of the objective.
const FIRST_EVENT_FACTOR: u32 = 3;

/// Pause objective of routes that state none.
const DEFAULT_PAUSE_OBJECTIVE: Duration = Duration::from_secs(2);

/// Minimum pause after which a stream is resumed elsewhere.
const MIN_PAUSE_TIMEOUT: Duration = Duration::from_millis(400);

/// The longest event that is held until its end has arrived.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes of an event that are held without a reservation. Engines send far shorter ones.
pub(super) const SHORT_EVENT_BYTES: usize = 16 << 10;

/// The body of an answer on its way to the caller.
pub(crate) struct AnswerStream {
    context: Rc<Context>,
    progress: Progress,
    answer: EngineAnswer,
    _in_flight: InFlightGuard,
    /// Splits an event stream into events, so that incomplete ones are held back. `None` for other bodies.
    splitter: Option<EventSplitter>,
    /// Memory for an event that is not a short one.
    event_memory: Option<HeldReservation>,
    /// Whether another engine may go on after the last event.
    is_resumable: bool,
    last_event: Option<u64>,
    any_sent: bool,
    /// When the last unsuccessful search for an engine that takes over from the silent one ended.
    last_search_end: Option<BootInstant>,
    ended: bool,
}

impl AnswerStream {
    pub(crate) fn new(
        context: Rc<Context>,
        progress: Progress,
        answer: EngineAnswer,
        in_flight: InFlightGuard,
    ) -> Self {
        let kind = progress.route.kind;
        let is_event_stream = kind.is_stream() && may_be_event_stream(&answer.head);
        Self {
            context,
            last_event: progress.facts.last_event,
            splitter: is_event_stream.then(EventSplitter::default),
            is_resumable: is_event_stream && kind.is_repeatable(),
            event_memory: None,
            progress,
            answer,
            _in_flight: in_flight,
            any_sent: false,
            last_search_end: None,
            ended: false,
        }
    }

    /// Length of the body, if it is known: a stream that is resumed may get another one.
    pub(crate) fn length(&self) -> Option<u64> {
        let length = self.answer.body.length();
        length.filter(|_| !self.is_resumable)
    }

    /// The body as a stream of chunks.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, AnswerStreamError>> {
        stream::unfold(self, |mut stream| async move {
            let next = stream.next().await?;
            Some((next, stream))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, AnswerStreamError>> {
        if self.ended {
            return None;
        }
        let due = self.progress.due;
        let context = Rc::clone(&self.context);
        let next = timeout_at(due, self.next_chunk());
        let next = match context.shutdown.limit(next).await {
            Ok(Ok(next)) => next,
            Ok(Err(TimedOut)) => Some(Err(AnswerStreamError::TimeOver)),
            Err(TimedOut) => Some(Err(AnswerStreamError::ShutDown)),
        };
        match &next {
            Some(Ok(_)) => {}
            Some(Err(error)) => {
                self.ended = true;
                log_event!(self.context.logger, Event::RequestFailed,
                    "request" => self.progress.facts.id.as_deref().unwrap_or_default(),
                    "route" => &self.progress.route.name, "reason" => %error,
                    "took_ms" => self.progress.started.elapsed().as_millis() as u64,
                    "last_event" => self.last_event,
                    "calls" => self.progress.call_summary());
                // On an error, the server closes the connection without writing buffered data;
                // yielding lets it write that first.
                yield_now().await;
            }
            None => self.ended = true,
        }
        next
    }

    async fn next_chunk(&mut self) -> Option<Result<Bytes, AnswerStreamError>> {
        loop {
            if let Some(events) = self.take_events() {
                self.any_sent = true;
                self.bind();
                return Some(Ok(events));
            }
            let failure = if self.reserve_event() {
                match self.read().await {
                    BodyRead::Bytes(bytes) => {
                        let Some(splitter) = &mut self.splitter else {
                            return Some(Ok(bytes));
                        };
                        splitter.push(&bytes);
                        continue;
                    }
                    BodyRead::WentOn => continue,
                    BodyRead::End if self.is_truncated() => RunFailure::InsideEvent,
                    BodyRead::End => match self.engine_state_after_end().await {
                        EngineState::Alive => return self.finish(),
                        // The answer may be whole. Another engine can tell, as it goes on after the last event.
                        EngineState::Unknown if self.can_resume() => {
                            self.record_failure(RunFailure::BrokenOff);
                            if !self.resume_elsewhere().await {
                                sleep(ENGINE_CHECK_INTERVAL).await;
                            }
                            continue;
                        }
                        EngineState::Unknown | EngineState::Ended => RunFailure::BrokenOff,
                    },
                    BodyRead::BrokenOff => RunFailure::BrokenOff,
                }
            } else {
                RunFailure::EventTooLong
            };
            let error = self.fail_run(failure);
            if !self.is_resumable || !self.resume_elsewhere().await {
                return Some(Err(error));
            }
        }
    }

    /// What is known of the engine after the end of its answer. If no other engine can go on with the answer, it is checked
    /// until that is known, as far as possible.
    async fn engine_state_after_end(&self) -> EngineState {
        let state = check_engine(&self.context, &self.answer).await;
        if state == EngineState::Unknown && !self.can_resume() {
            return await_engine_state(&self.context, &self.answer).await;
        }
        state
    }

    /// Binds a stream to the software version that sends its first event.
    fn bind(&mut self) {
        let is_beginning = matches!(self.progress.binding, StreamBinding::Beginning { .. });
        if self.is_resumable && is_beginning {
            self.answer.software = self
                .answer
                .software
                .take()
                .or_else(|| self.current_software());
            let software = self.answer.software.as_ref();
            self.progress.binding = StreamBinding::to(&self.answer.pool, software);
            let id = self.progress.facts.id.as_deref();
            record_origin(&self.context, id, &self.progress.binding);
        }
    }

    /// The version of the engine's software as it is known now, if the engine has not restarted since the call was made.
    fn current_software(&self) -> Option<SoftwareVersion> {
        let fleet = self.context.fleet();
        let engine = fleet.engine(self.answer.choice.engine.key)?;
        let software = engine.software.clone();
        software.filter(|_| engine.target() == self.answer.target)
    }

    /// Whether another engine may go on with the stream, and there is one.
    fn can_resume(&self) -> bool {
        self.is_resumable
            && may_retry(&self.context, &self.progress)
            && choose_for_resume(&self.context, &self.progress, &self.answer.pool).is_some()
    }

    /// Reads the next bytes of the engine's answer. While the engine is silent, another one is searched that takes over.
    async fn read(&mut self) -> BodyRead {
        loop {
            let Some(pause) = self.pause_before_search() else {
                return self.read_answer().await;
            };
            if let Ok(read) = timeout(pause, self.read_answer()).await {
                return read;
            }
            let silent_since = BootInstant::now().minus(pause);
            if let Some(read) = self.read_or_replace(silent_since).await {
                return read;
            }
            self.last_search_end = Some(BootInstant::now());
        }
    }

    async fn read_answer(&mut self) -> BodyRead {
        let read = self.answer.body.next().await.into();
        self.answer.work.record_prefilled();
        if matches!(read, BodyRead::Bytes(_)) && self.last_search_end.take().is_some() {
            self.record_going_on();
        }
        read
    }

    /// Searches for an engine that takes over from the silent one, and reads on meanwhile, as that one may go on first.
    /// `None` if it is still silent and no other engine accepts the stream.
    async fn read_or_replace(&mut self, silent_since: BootInstant) -> Option<BodyRead> {
        self.answer.watch.record_silence();
        self.record_health(AttemptResult::NoResponse);
        self.progress.facts.last_event = self.last_event;
        let pool = self.answer.pool.clone();
        let mut ended = None;
        let found = {
            let mut search = pin!(find_replacement(&self.context, &mut self.progress, &pool));
            loop {
                let read = tokio::select! {
                    biased;
                    chunk = self.answer.body.next(), if ended.is_none() => BodyRead::from(chunk),
                    found = &mut search => break Ok(found),
                };
                match read {
                    BodyRead::Bytes(bytes) => {
                        let splitter = self.splitter.get_or_insert_default();
                        splitter.push(&bytes);
                        self.answer.work.record_prefilled();
                        // Less than a short event does not show that the engine goes on.
                        if splitter.has_event() || splitter.pending().len() > SHORT_EVENT_BYTES {
                            break Err(BodyRead::WentOn);
                        }
                    }
                    BodyRead::End if self.answer.body.framing() != BodyFraming::ConnectionClose => {
                        break Err(BodyRead::End);
                    }
                    // What has broken off, or may have, goes on elsewhere if that is possible.
                    read => ended = Some(read),
                }
            }
        };
        let (outcome, read) = match found {
            Err(read) => {
                abandon_open_calls(&self.context, &mut self.progress);
                self.record_going_on();
                (SilenceEnd::WentOn, Some(read))
            }
            Ok(Some(replacement)) => {
                let failure = if ended.is_some() {
                    RunFailure::BrokenOff
                } else {
                    RunFailure::Silent
                };
                self.end_run(failure);
                self.replace(replacement);
                (SilenceEnd::Replaced, Some(BodyRead::WentOn))
            }
            Ok(None) => (SilenceEnd::NoReplacement, ended),
        };
        self.record_silence_end(outcome, silent_since);
        read
    }

    /// Logs and counts how a silence of an engine ended, or that no other engine took over.
    fn record_silence_end(&self, outcome: SilenceEnd, silent_since: BootInstant) {
        log_event!(self.context.logger, Event::StreamSilent,
            "request" => self.progress.facts.id.as_deref().unwrap_or_default(),
            "outcome" => outcome.label(),
            "silent_ms" => silent_since.elapsed().as_millis() as u64,
            "last_event" => self.last_event,
            "calls" => self.progress.call_summary());
        self.context.metrics.streams.record_silence(outcome);
    }

    /// Complete events received that the caller does not have yet.
    fn take_events(&mut self) -> Option<Bytes> {
        let splitter = self.splitter.as_mut()?;
        let mut events = Vec::new();
        while let Some(event) = splitter.next_event() {
            if let (true, Some(id), Some(last)) = (self.is_resumable, event.id, self.last_event)
                && id <= last
            {
                continue;
            }
            self.last_event = event.id.or(self.last_event);
            events.push(event.bytes);
        }
        match events.len() {
            0 => None,
            1 => events.pop(),
            _ => Some(events.concat().into()),
        }
    }

    /// Bytes received of an event whose end is missing.
    fn pending_bytes(&self) -> usize {
        let splitter = self.splitter.as_ref();
        splitter.map_or(0, |splitter| splitter.pending().len())
    }

    /// Reserves memory for the event that is being received; false if it is too long, or if there is no memory.
    fn reserve_event(&mut self) -> bool {
        let bytes = self.pending_bytes();
        if bytes <= SHORT_EVENT_BYTES {
            self.event_memory = None;
            return true;
        }
        if bytes > MAX_EVENT_BYTES {
            return false;
        }
        match &mut self.event_memory {
            Some(memory) => memory.extend(bytes),
            None => {
                self.event_memory = self.context.held_bytes.reserve(bytes);
                self.event_memory.is_some()
            }
        }
    }

    /// Whether a stream whose end nothing but the end of the connection marks ended inside an event or before the first.
    fn is_truncated(&self) -> bool {
        let Some(splitter) = &self.splitter else {
            return false;
        };
        let lacks_events = !self.any_sent && self.last_event.is_none();
        self.answer.body.framing() == BodyFraming::ConnectionClose
            && (lacks_events || splitter.is_inside_event())
    }

    /// Ends a complete answer with the bytes that follow its last event.
    fn finish(&mut self) -> Option<Result<Bytes, AnswerStreamError>> {
        self.count_end(RunEnd::Complete);
        let status = self.answer.head.status;
        self.answer.watch.record_answer(status);
        self.ended = true;
        let rest = self.splitter.take()?;
        let rest = rest.pending();
        (!rest.is_empty()).then(|| Ok(Bytes::copy_from_slice(rest)))
    }

    /// Records that the engine did not complete the answer, and cancels its run; with the error for the caller.
    fn fail_run(&mut self, failure: RunFailure) -> AnswerStreamError {
        let pending_bytes = self.pending_bytes();
        self.record_failure(failure);
        self.end_run(failure);
        match failure {
            RunFailure::InsideEvent => AnswerStreamError::InsideEvent { pending_bytes },
            RunFailure::EventTooLong => AnswerStreamError::EventTooLong,
            RunFailure::BrokenOff | RunFailure::Silent => AnswerStreamError::BrokenOff,
        }
    }

    /// Records a failure of the engine as evidence against the request and in the engine's health.
    fn record_failure(&mut self, failure: RunFailure) {
        let pending_bytes = self.pending_bytes();
        self.answer.watch.record_unfinished(match failure {
            RunFailure::InsideEvent => UnfinishedReason::InsideEvent { pending_bytes },
            RunFailure::BrokenOff | RunFailure::EventTooLong => UnfinishedReason::BrokenOff,
            RunFailure::Silent => UnfinishedReason::Silent,
        });
        self.record_health(AttemptResult::Failed);
    }

    /// Cancels the engine's run.
    fn end_run(&mut self, failure: RunFailure) {
        self.answer.watch.record_unfinished(match failure {
            RunFailure::Silent => UnfinishedReason::Silent,
            RunFailure::InsideEvent | RunFailure::BrokenOff | RunFailure::EventTooLong => {
                UnfinishedReason::BrokenOff
            }
        });
        self.count_end(match failure {
            RunFailure::InsideEvent => RunEnd::InsideEvent,
            RunFailure::BrokenOff => RunEnd::BrokenOff,
            RunFailure::EventTooLong => RunEnd::EventTooLong,
            RunFailure::Silent => RunEnd::Silent,
        });
        self.answer.body.abort();
    }

    fn record_health(&self, result: AttemptResult) {
        let now = self.context.now();
        let mut router = self.context.router.borrow_mut();
        let engine = self.answer.choice.engine.key;
        router.health.record(now, engine, result);
    }

    /// Lets the engine, and those that refused the stream meanwhile, be used again as before the silence.
    fn record_going_on(&mut self) {
        self.answer.watch.withdraw_silence();
        self.progress.end_silence(self.answer.choice.engine.key);
        let now = self.context.now();
        let mut router = self.context.router.borrow_mut();
        let engine = self.answer.choice.engine.key;
        router.health.end_silence(now, engine);
    }

    fn count_end(&self, end: RunEnd) {
        let framing = self.answer.body.framing();
        self.context.metrics.streamed_run(framing, end);
    }

    /// How long the engine may send nothing before another one is searched; `None` if none may be called.
    fn pause_before_search(&self) -> Option<Duration> {
        let route = &self.progress.route;
        let engine = &self.answer.choice.engine;
        let may_search = self.is_resumable
            && self.progress.may_call_another()
            && may_hedge(&self.context, &self.progress, &self.answer.pool, engine);
        if !may_search {
            return None;
        }
        if self.any_sent {
            let pause = route.pause_objective_ms.map(Duration::from_millis);
            let pause = pause.unwrap_or(DEFAULT_PAUSE_OBJECTIVE) * PAUSE_FACTOR;
            return Some(pause.max(MIN_PAUSE_TIMEOUT));
        }
        let objective = Duration::from_millis(route.objective_ms) * FIRST_EVENT_FACTOR;
        let expected_s = self.answer.choice.expected_s;
        let limit = response_timeout(expected_s, objective.max(MIN_PAUSE_TIMEOUT));
        let left = limit.saturating_sub(self.answer.sent_at.elapsed());
        // An engine that has just sent the head of its answer is not unresponsive, and a search is not repeated at once.
        let last_change = self.last_search_end.unwrap_or(self.answer.answered_at);
        Some(left.max(MIN_PAUSE_TIMEOUT.saturating_sub(last_change.elapsed())))
    }

    /// Resumes the stream at another engine after the last event sent to the caller; false if that is not possible.
    async fn resume_elsewhere(&mut self) -> bool {
        self.progress.facts.last_event = self.last_event;
        let pool = self.answer.pool.clone();
        let Some(replacement) = find_replacement(&self.context, &mut self.progress, &pool).await
        else {
            return false;
        };
        self.replace(replacement);
        true
    }

    /// Goes on with the answer of another engine.
    fn replace(&mut self, replacement: Replacement) {
        self.record_resumption(&replacement.answer);
        self.answer = replacement.answer;
        self.splitter = Some(replacement.splitter);
        self.event_memory = None;
        self.last_search_end = None;
    }

    /// Logs and counts that another engine goes on with the stream.
    fn record_resumption(&self, next: &EngineAnswer) {
        let (former, current) = (self.answer.software.as_ref(), next.software.as_ref());
        log_event!(self.context.logger, Event::StreamResumed,
            "request" => self.progress.facts.id.as_deref().unwrap_or_default(),
            "from" => &*self.answer.choice.engine.run, "to" => &*next.choice.engine.run,
            "former_software" => former.map(SoftwareVersion::as_str),
            "software" => current.map(SoftwareVersion::as_str),
            "last_event" => self.last_event);
        let software = compare_software(former, current);
        self.context.metrics.streams.record_resumed(software);
    }
}

/// Whether the software of the engine that goes on with a stream has the version of the former one.
fn compare_software(
    former: Option<&SoftwareVersion>,
    current: Option<&SoftwareVersion>,
) -> ResumedSoftware {
    match (former, current) {
        (Some(former), Some(current)) if former == current => ResumedSoftware::Same,
        (Some(_), Some(_)) => ResumedSoftware::Other,
        (None, _) | (_, None) => ResumedSoftware::Unknown,
    }
}

/// Why an engine's run did not complete the answer.
#[derive(Clone, Copy)]
enum RunFailure {
    /// The connection ended inside an event or before the first, and nothing else marks the end.
    InsideEvent,
    /// The answer broke off before its marked end.
    BrokenOff,
    /// An event was too long, or there was no memory for it.
    EventTooLong,
    /// The engine sent nothing for too long.
    Silent,
}

/// Whether an answer on a route of event streams can be one.
fn may_be_event_stream(head: &ResponseHead) -> bool {
    let content_type = head.headers.get(CONTENT_TYPE);
    let content_type = content_type.map(|value| value.to_str().unwrap_or_default());
    let is_declared = content_type.is_none_or(|value| {
        let media_type = value.split(';').next().unwrap_or_default();
        media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
    });
    head.status.is_success() && is_declared
}
