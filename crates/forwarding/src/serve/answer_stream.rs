//! Streams the body of an engine's answer to the caller, and resumes it at another engine if it
//! breaks off.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use dalestand_clock::{timeout, timeout_at};
use dalestand_routing::staged::{AttemptResult, response_timeout};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::PoolName;
use futures_util::stream::{self, Stream};
use tokio::task::yield_now;

use crate::context::Context;
use crate::node::in_flight::InFlightGuard;
use crate::node::metrics::RunEnd;
use crate::quarantine::run_watch::UnfinishedReason;
use crate::serve::answer_stream_error::AnswerStreamError;
use crate::serve::attempt::EngineAnswer;
use crate::serve::event_stream::EventSplitter;
use crate::serve::forward::resume;
use crate::serve::progress::Progress;
use crate::serve::response_timeout::may_abandon;

/// A stream is resumed elsewhere after a pause of this multiple of the pause objective.
const PAUSE_FACTOR: u32 = 3;

/// A stream is resumed elsewhere if its first event takes this multiple of the objective.
const FIRST_EVENT_FACTOR: u32 = 3;

/// Pause objective of routes that state none.
const DEFAULT_PAUSE_OBJECTIVE: Duration = Duration::from_secs(2);

/// Minimum pause after which a stream is resumed elsewhere.
const MIN_PAUSE_TIMEOUT: Duration = Duration::from_millis(400);

/// The body of an answer on its way to the caller.
pub(crate) struct AnswerStream {
    context: Rc<Context>,
    progress: Progress,
    pool: PoolName,
    answer: EngineAnswer,
    _in_flight: InFlightGuard,
    /// Splits the stream into events if it can be resumed.
    splitter: Option<EventSplitter>,
    last_event: Option<u64>,
    any_sent: bool,
    ended: bool,
}

impl AnswerStream {
    pub(crate) fn new(
        context: Rc<Context>,
        progress: Progress,
        pool: PoolName,
        answer: EngineAnswer,
        in_flight: InFlightGuard,
    ) -> Self {
        let resumable = progress.route.kind.is_stream() && progress.route.kind.is_repeatable();
        Self {
            context,
            last_event: progress.facts.last_event,
            splitter: resumable.then(EventSplitter::default),
            progress,
            pool,
            answer,
            _in_flight: in_flight,
            any_sent: false,
            ended: false,
        }
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
        let next = timeout_at(due, self.next_chunk()).await;
        let next = next.unwrap_or(Some(Err(AnswerStreamError::TimeOver)));
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
        if self.splitter.is_none() {
            let next = self.answer.body.next().await;
            self.answer.work.record_prefilled();
            match &next {
                None => {
                    self.count_end(RunEnd::Complete);
                    self.answer.watch.record_answer(&self.answer.body);
                }
                Some(Err(_)) => {
                    self.count_end(RunEnd::BrokenOff);
                    self.answer
                        .watch
                        .record_unfinished(UnfinishedReason::BrokenOff);
                }
                Some(Ok(_)) => {}
            }
            return next.map(|chunk| chunk.map_err(|_| AnswerStreamError::BrokenOff));
        }
        loop {
            if let Some(events) = self.take_events() {
                self.any_sent = true;
                return Some(Ok(events));
            }
            let event_timeout = self.event_timeout();
            let next = timeout(event_timeout, self.answer.body.next()).await;
            self.answer.work.record_prefilled();
            match next {
                Ok(Some(Ok(bytes))) => {
                    if let Some(splitter) = &mut self.splitter {
                        splitter.push(&bytes);
                    }
                }
                Ok(None) => return self.remaining_bytes(),
                Ok(Some(Err(_))) => {
                    if let Err(error) = self.resume_elsewhere(AttemptResult::Failed).await {
                        return Some(Err(error));
                    }
                }
                Err(_) => {
                    if let Err(error) = self.resume_elsewhere(AttemptResult::NoResponse).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// Complete events received that the caller does not have yet.
    fn take_events(&mut self) -> Option<Bytes> {
        let splitter = self.splitter.as_mut()?;
        let mut events = Vec::new();
        while let Some(event) = splitter.next_event() {
            if let (Some(id), Some(last)) = (event.id, self.last_event)
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

    /// The incomplete event left at the end of a complete body.
    fn remaining_bytes(&mut self) -> Option<Result<Bytes, AnswerStreamError>> {
        self.answer.watch.record_answer(&self.answer.body);
        let rest = self.splitter.take()?;
        self.ended = true;
        let rest = rest.pending();
        self.count_end(if rest.is_empty() {
            RunEnd::Complete
        } else {
            RunEnd::InsideEvent
        });
        (!rest.is_empty()).then(|| Ok(Bytes::copy_from_slice(rest)))
    }

    fn count_end(&self, end: RunEnd) {
        let framing = self.answer.body.framing();
        self.context.metrics.streamed_run(framing, end);
    }

    /// How long the engine may send nothing before the stream is resumed elsewhere.
    fn event_timeout(&self) -> Duration {
        let route = &self.progress.route;
        let engine = &self.answer.choice.engine;
        if !self.progress.may_call_another()
            || !may_abandon(&self.context, &self.progress, &self.pool, engine)
        {
            return self.progress.time_left();
        }
        if self.any_sent {
            let pause = route.pause_objective_ms.map(Duration::from_millis);
            return (pause.unwrap_or(DEFAULT_PAUSE_OBJECTIVE) * PAUSE_FACTOR)
                .max(MIN_PAUSE_TIMEOUT);
        }
        let objective = Duration::from_millis(route.objective_ms) * FIRST_EVENT_FACTOR;
        let since_sent = self.answer.sent_at.elapsed();
        let expected_s = self.answer.choice.expected_s;
        let limit = response_timeout(expected_s, objective.max(MIN_PAUSE_TIMEOUT));
        // An engine that has just sent the head of its answer is not unresponsive.
        let since_head = self.answer.answered_at.elapsed();
        let head_limit = MIN_PAUSE_TIMEOUT.saturating_sub(since_head);
        limit.saturating_sub(since_sent).max(head_limit)
    }

    /// Resumes the stream at another engine after the last event sent to the caller.
    async fn resume_elsewhere(&mut self, result: AttemptResult) -> Result<(), AnswerStreamError> {
        let failed = self.answer.choice.engine.key;
        let now = self.context.now();
        self.context
            .router
            .borrow_mut()
            .health
            .record(now, failed, result);
        let (reason, end) = match result {
            AttemptResult::NoResponse => (UnfinishedReason::Silent, RunEnd::Silent),
            _ => (UnfinishedReason::BrokenOff, RunEnd::BrokenOff),
        };
        self.answer.watch.record_unfinished(reason);
        self.count_end(end);
        // Ends the previous run before another one starts.
        self.answer.body.abort();
        self.progress.facts.last_event = self.last_event;
        let resumed = resume(&self.context, &mut self.progress, &self.pool).await;
        self.answer = resumed.ok_or(AnswerStreamError::BrokenOff)?;
        self.splitter = Some(EventSplitter::default());
        Ok(())
    }
}
