//! The one place from which something is sent to an engine: a caller's request, an order, a question.
//!
//! A call is planned some time before it goes out: a prompt is read elsewhere first, a connection is made.
//! What the engine has said of itself counts at the moment at which the call goes out, and what its answer
//! says is taken in before anything else is done with it.

use std::sync::Arc;

use actix_http::RequestHead;
use actix_http::header::HeaderName;
use bytes::Bytes;
use dalestand_edge::routed::ResponseMetadata;
use dalestand_edge::unknown_headers::UnknownSender;
use dalestand_engine_link::{Exchange, LinkTarget, SendError};
use dalestand_routing::staged::{ClosedReason, EngineKey, ProbeCall, ProbeOutcome, StagedEngine};
use dalestand_types::{EngineSignals, PoolName};

use crate::context::Context;
use crate::fleet::signals;
use crate::permits::passage::Passage;

/// What is sent, and where.
pub(crate) struct EngineCall<'a> {
    pub(crate) pool: &'a PoolName,
    pub(crate) engine: &'a StagedEngine,
    pub(crate) target: &'a LinkTarget,
    pub(crate) head: RequestHead,
    pub(crate) body: &'a Bytes,
    pub(crate) content: CallContent,
    /// Leave for it.
    pub(crate) passage: Passage<'a>,
}

/// What a call carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallContent {
    /// A caller's request, with its id. An engine that drains gets none.
    Request(Option<Arc<str>>),
    /// A call of the node's own: an order, a question, memory to be freed.
    Own,
}

impl CallContent {
    /// The id that its answer carries.
    fn id(&self) -> Option<&Arc<str>> {
        match self {
            Self::Request(id) => id.as_ref(),
            Self::Own => None,
        }
    }

    /// Whether a closed engine gets it all the same.
    fn is_let_through(&self, closed: ClosedReason) -> bool {
        *self == Self::Own && closed == ClosedReason::Draining
    }
}

/// An answer's head that has come.
pub(crate) struct EngineReply {
    pub(crate) exchange: Exchange,
    pub(crate) facts: ResponseMetadata,
    /// Whether it answers this call. A surplus answer to another one says nothing of its engine now.
    pub(crate) is_own: bool,
}

impl EngineReply {
    /// What it says of its engine.
    pub(crate) fn signals(&self) -> EngineSignals {
        if self.is_own {
            self.facts.signals
        } else {
            EngineSignals::default()
        }
    }
}

/// Why no answer's head came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The engine is closed to the call; nothing went out.
    Closed(ClosedReason),
    /// The exchange failed.
    Link(SendError),
}

/// Why the engine is not to get the call now.
pub(crate) fn closed(
    context: &Context,
    engine: &StagedEngine,
    content: &CallContent,
) -> Option<ClosedReason> {
    let router = context.router.borrow();
    let closed = router.signals.closed(context.now(), engine.key);
    closed.filter(|closed| !content.is_let_through(*closed))
}

/// Sends a call, unless its engine is closed to it, and waits for the head of its answer.
pub(crate) async fn send(
    context: &Context,
    call: EngineCall<'_>,
) -> Result<EngineReply, CallError> {
    let EngineCall {
        pool,
        engine,
        target,
        head,
        body,
        content,
        mut passage,
    } = call;
    // What leave is for, the call has.
    let closed = || {
        let closed = closed(context, engine, &content);
        closed.filter(|closed| !matches!(closed, ClosedReason::Limit(_)))
    };
    if let Some(closed) = closed() {
        return Err(CallError::Closed(closed));
    }
    let returning = Returning::new(context, engine.key);
    let sent_at = context.now();
    let max_connections = context.max_connections(pool);
    // Once it is on its way it is one of those that ask whether the engine takes calls again.
    let is_open = || {
        let is_open = closed().is_none_or(|closed| closed == ClosedReason::Probing)
            && passage.holds(context.now());
        if is_open {
            passage.used();
        }
        is_open
    };
    let link = &context.link;
    let sent = link.send_while(target, max_connections, head, body, is_open);
    let exchange = sent.await.map_err(|error| match error {
        SendError::Withheld => {
            CallError::Closed(closed().unwrap_or(ClosedReason::Limit(context.now())))
        }
        error => CallError::Link(error),
    })?;
    let answer = &exchange.head;
    let names = answer.headers.keys().map(HeaderName::as_str);
    for name in names.filter(|name| context.dialect.is_unknown_header(name)) {
        context.unknown_headers.record(UnknownSender::Engine, name);
    }
    let facts = context.dialect.read_answer(answer.status, &answer.headers);
    let reply = EngineReply {
        is_own: facts.id.as_ref() == content.id(),
        facts,
        exchange,
    };
    let takes_up = content != CallContent::Own && !reply.facts.refused;
    let request_sent_at = takes_up.then_some(sent_at);
    signals::apply_answer(context, engine, reply.signals(), request_sent_at);
    if reply.is_own && !reply.facts.refused {
        returning.taken_up();
    }
    Ok(reply)
}

/// A call that asks whether an engine takes calls again after its backoff, until its answer's head came.
/// Dropped, it was not taken up.
struct Returning<'a> {
    context: &'a Context,
    call: Option<ProbeCall>,
}

impl<'a> Returning<'a> {
    fn new(context: &'a Context, engine: EngineKey) -> Self {
        let now = context.now();
        let call = context.router.borrow_mut().signals.begin_call(now, engine);
        Self { context, call }
    }

    fn taken_up(mut self) {
        self.end(ProbeOutcome::Accepted);
    }

    fn end(&mut self, end: ProbeOutcome) {
        if let Some(call) = self.call.take() {
            let mut router = self.context.router.borrow_mut();
            router.signals.finish_probe(call, end);
        }
    }
}

impl Drop for Returning<'_> {
    fn drop(&mut self) {
        self.end(ProbeOutcome::NotAccepted);
    }
}
