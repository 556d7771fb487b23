//! Sends the body of an engine's answer on as it comes.

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
use crate::quarantine::run_watch::Unfinished;
use crate::serve::attempt::EngineAnswer;
use crate::serve::event_stream::EventSplitter;
use crate::serve::forward::resume;
use crate::serve::patience::has_other_engine;
use crate::serve::progress::Progress;
use crate::serve::relay_error::RelayError;

/// A pause of this multiple of the longest one in time takes a stream to another engine.
const PAUSE_FACTOR: u32 = 3;

/// A first event that takes this multiple of the objective takes a stream to another engine.
const FIRST_EVENT_FACTOR: u32 = 3;

/// Longest pause where the route states none.
const DEFAULT_PAUSE: Duration = Duration::from_secs(2);

/// Shortest pause that takes a stream to another engine.
const MIN_PAUSE: Duration = Duration::from_millis(400);

/// An answer's body on its way to the caller.
pub(crate) struct Relay {
    context: Rc<Context>,
    progress: Progress,
    pool: PoolName,
    answer: EngineAnswer,
    _in_flight: InFlightGuard,
    /// Splits a stream that may be resumed.
    splitter: Option<EventSplitter>,
    last_event: Option<u64>,
    any_sent: bool,
    ended: bool,
}

impl Relay {
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

    /// The body as a stream.
    pub(crate) fn into_stream(self) -> impl Stream<Item = Result<Bytes, RelayError>> {
        stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, RelayError>> {
        if self.ended {
            return None;
        }
        let due = self.progress.due;
        let next = timeout_at(due, self.next_piece()).await;
        let next = next.unwrap_or(Some(Err(RelayError::TimeOver)));
        match &next {
            Some(Ok(_)) => {}
            Some(Err(error)) => {
                self.ended = true;
                log_event!(self.context.logger, Event::RequestFailed,
                    "request" => self.progress.facts.id.as_deref().unwrap_or_default(),
                    "route" => &self.progress.route.name, "reason" => %error,
                    "took_ms" => self.progress.started.elapsed().as_millis() as u64,
                    "last_event" => self.last_event,
                    "calls" => self.progress.account());
                // The server ends the connection on an error without writing what it holds: it writes first.
                yield_now().await;
            }
            None => self.ended = true,
        }
        next
    }

    async fn next_piece(&mut self) -> Option<Result<Bytes, RelayError>> {
        if self.splitter.is_none() {
            let next = self.answer.body.next().await;
            self.answer.work.prompt_read();
            match &next {
                None => self.answer.watch.answered(&self.answer.body),
                Some(Err(_)) => self.answer.watch.unfinished(Unfinished::BrokenOff),
                Some(Ok(_)) => {}
            }
            return next.map(|piece| piece.map_err(|_| RelayError::BrokenOff));
        }
        loop {
            if let Some(events) = self.take_events() {
                self.any_sent = true;
                return Some(Ok(events));
            }
            let patience = self.patience();
            let next = timeout(patience, self.answer.body.next()).await;
            self.answer.work.prompt_read();
            match next {
                Ok(Some(Ok(bytes))) => {
                    if let Some(splitter) = &mut self.splitter {
                        splitter.push(&bytes);
                    }
                }
                Ok(None) => return self.rest(),
                Ok(Some(Err(_))) => {
                    if let Err(error) = self.go_on_elsewhere(AttemptResult::Failed).await {
                        return Some(Err(error));
                    }
                }
                Err(_) => {
                    if let Err(error) = self.go_on_elsewhere(AttemptResult::NoResponse).await {
                        return Some(Err(error));
                    }
                }
            }
        }
    }

    /// Whole events that came and that the caller does not have.
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

    /// What is left at the end of a whole body.
    fn rest(&mut self) -> Option<Result<Bytes, RelayError>> {
        self.answer.watch.answered(&self.answer.body);
        let rest = self.splitter.take()?;
        self.ended = true;
        let rest = rest.pending();
        (!rest.is_empty()).then(|| Ok(Bytes::copy_from_slice(rest)))
    }

    /// How long the engine may be silent before another takes the stream up.
    fn patience(&self) -> Duration {
        let route = &self.progress.route;
        let engine = &self.answer.choice.engine;
        if !self.progress.may_run_again()
            || !has_other_engine(&self.context, &self.progress, &self.pool, engine)
        {
            return self.progress.time_left();
        }
        if self.any_sent {
            let pause = route.pause_objective_ms.map(Duration::from_millis);
            return (pause.unwrap_or(DEFAULT_PAUSE) * PAUSE_FACTOR).max(MIN_PAUSE);
        }
        let objective = Duration::from_millis(route.objective_ms) * FIRST_EVENT_FACTOR;
        let since_sent = self.answer.sent_at.elapsed();
        let expected_s = self.answer.choice.expected_s;
        response_timeout(expected_s, objective.max(MIN_PAUSE)).saturating_sub(since_sent)
    }

    /// Takes the stream up at another engine after the last event that the caller has.
    async fn go_on_elsewhere(&mut self, result: AttemptResult) -> Result<(), RelayError> {
        let failed = self.answer.choice.engine.key;
        let now = self.context.now();
        self.context
            .router
            .borrow_mut()
            .health
            .record(now, failed, result);
        self.answer.watch.unfinished(match result {
            AttemptResult::NoResponse => Unfinished::Silent,
            _ => Unfinished::BrokenOff,
        });
        // The former run ends before another begins.
        self.answer.body.abandon();
        self.progress.facts.last_event = self.last_event;
        let resumed = resume(&self.context, &mut self.progress, &self.pool).await;
        self.answer = resumed.ok_or(RelayError::BrokenOff)?;
        self.splitter = Some(EventSplitter::default());
        Ok(())
    }
}
