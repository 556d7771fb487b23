//! Records requests whose callers' connections end before their answers are complete.

#[cfg(test)]
mod tests;

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Poll, ready};

use actix_http::body::{BodySize, BoxBody, MessageBody};
use bytes::Bytes;
use dalestand_clock::BootInstant;
use dalestand_http_server::{Answer, HttpMessage as _, Request};
use dalestand_telemetry::{Event, log_event};

use crate::context::Context;
use crate::serve::line_limit::LineLimit;

/// Longest request id in a log line. Callers choose it.
const MAX_LOGGED_ID_BYTES: usize = 64;

/// How far a request has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) enum RequestPhase {
    /// Its body has not arrived completely. One that breaks off is refused as unreadable and does not count as left.
    #[default]
    Receiving,
    /// It has been read, and its answer has not begun.
    Waiting,
    /// Its answer is being passed to the connection.
    Answering,
}

impl RequestPhase {
    /// Name for logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Receiving => "receiving",
            Self::Waiting => "waiting",
            Self::Answering => "answering",
        }
    }
}

/// What is known of a request that is being served.
#[derive(Debug, Default)]
struct RequestTrace {
    phase: Cell<RequestPhase>,
    id: RefCell<Option<Arc<str>>>,
}

/// Records that a request has been read completely.
pub(crate) fn record_read(request: &Request, id: Option<&Arc<str>>) {
    if let Some(trace) = request.extensions().get::<Rc<RequestTrace>>() {
        trace.phase.set(RequestPhase::Waiting);
        trace.id.replace(id.cloned());
    }
}

/// Limits the log lines on requests left by their callers, by phase.
pub(crate) type DepartureLog = LineLimit<RequestPhase>;

/// Watches one request from its arrival to the end of its answer. If it is dropped before, the connection has ended.
pub(crate) struct CallerWatch {
    context: Rc<Context>,
    log: Rc<DepartureLog>,
    trace: Rc<RequestTrace>,
    started: BootInstant,
    configuration: Option<u64>,
    sent_bytes: u64,
    is_over: bool,
}

impl CallerWatch {
    /// Watches a request that has arrived.
    pub(crate) fn new(context: &Rc<Context>, log: &Rc<DepartureLog>, request: &Request) -> Self {
        let trace = Rc::<RequestTrace>::default();
        request.extensions_mut().insert(Rc::clone(&trace));
        Self {
            context: Rc::clone(context),
            log: Rc::clone(log),
            trace,
            started: BootInstant::now(),
            configuration: revision(context),
            sent_bytes: 0,
            is_over: false,
        }
    }

    /// Watches the answer until its body has been passed to the connection.
    pub(crate) fn follow(mut self, answer: Answer) -> Answer {
        self.trace.phase.set(RequestPhase::Answering);
        if matches!(answer.body().size(), BodySize::None | BodySize::Sized(0)) {
            self.is_over = true;
            return answer;
        }
        answer.map_body(|_, body| BoxBody::new(WatchedBody { body, watch: self }))
    }
}

/// Revision of the declaration in force.
fn revision(context: &Context) -> Option<u64> {
    context.table().map(|table| table.revision().0)
}

impl Drop for CallerWatch {
    fn drop(&mut self) {
        // A panic ends the request, not its connection.
        if self.is_over || std::thread::panicking() {
            return;
        }
        let (context, phase) = (&self.context, self.trace.phase.get());
        context.metrics.caller_left(phase);
        let Some(unlogged) = self.log.admit(context.now(), phase) else {
            return;
        };
        let id = self.trace.id.borrow();
        let id = id.as_deref().unwrap_or_default();
        let id = &id[..id.floor_char_boundary(MAX_LOGGED_ID_BYTES)];
        log_event!(context.logger, Event::CallerLeft, "request" => id, "phase" => phase.label(),
            "took_ms" => self.started.elapsed().as_millis() as u64,
            "sent_bytes" => self.sent_bytes,
            "configuration" => self.configuration, "configuration_now" => revision(context),
            "stopping" => context.is_stopping(), "unlogged" => unlogged);
    }
}

/// The body of an answer whose request is watched.
struct WatchedBody {
    body: BoxBody,
    watch: CallerWatch,
}

impl MessageBody for WatchedBody {
    type Error = Box<dyn Error>;

    fn size(&self) -> BodySize {
        self.body.size()
    }

    fn poll_next(
        self: Pin<&mut Self>,
        context: &mut std::task::Context<'_>,
    ) -> Poll<Option<Result<Bytes, Self::Error>>> {
        let this = self.get_mut();
        let next = ready!(Pin::new(&mut this.body).poll_next(context));
        match &next {
            Some(Ok(bytes)) => this.watch.sent_bytes += bytes.len() as u64,
            // The node itself ends the answer after an error, which has its own log line.
            Some(Err(_)) | None => this.watch.is_over = true,
        }
        Poll::Ready(next)
    }
}
