//! The only place that sends to engines: callers' requests as well as internal calls.
//!
//! Some time may pass between the planning of a call and its sending, for a prefill elsewhere or a
//! new connection. The engine's own signals (draining, backoff, rate limit) and its entry are
//! therefore checked again at the moment of sending, and those in an answer are applied before anything else is done
//! with it.

#[cfg(test)]
mod tests;

use std::sync::Arc;

use actix_http::RequestHead;
use actix_http::header::HeaderName;
use dalestand_edge::routed::ResponseMetadata;
use dalestand_edge::unknown_headers::HeaderSender;
use dalestand_engine_link::{
    AllowedPaths, CallKey, ConnectionTerms, Exchange, LinkTarget, NewConnection, ResponseHead,
    SendError,
};
use dalestand_http_server::Body;
use dalestand_routing::staged::{ClosedReason, EngineKey, ProbeCall, ProbeOutcome, StagedEngine};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::fleet::signals;
use crate::node::metrics::RetryOutcome;
use crate::permits::send_permission::SendPermission;

/// A call to be sent.
pub(crate) struct EngineCall<'a> {
    pub(crate) pool: &'a PoolName,
    pub(crate) engine: &'a StagedEngine,
    pub(crate) target: &'a LinkTarget,
    pub(crate) head: RequestHead,
    pub(crate) body: &'a Body,
    pub(crate) content: CallContent,
    /// Paths that it may take.
    pub(crate) paths: AllowedPaths,
    /// Whether it may be sent again if it may have run.
    pub(crate) is_repeatable: bool,
    /// Permission to send it.
    pub(crate) permission: SendPermission,
}

/// What a call carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallContent {
    /// A caller's request, with its id. Not sent to draining engines.
    Request(Option<Arc<str>>),
    /// An internal call, for example to read an engine's state or to free a KV cache.
    Internal,
}

impl CallContent {
    /// The id that the answer has to carry.
    fn id(&self) -> Option<&Arc<str>> {
        match self {
            Self::Request(id) => id.as_ref(),
            Self::Internal => None,
        }
    }

    /// Why an engine is closed to the call, given why it is closed by its signals and whether it accepts
    /// work by its registry entry.
    fn closed(&self, signalled: Option<ClosedReason>, is_accepting: bool) -> Option<ClosedReason> {
        match self {
            Self::Internal => signalled.filter(|closed| *closed != ClosedReason::Draining),
            Self::Request(_) => {
                signalled.or_else(|| (!is_accepting).then_some(ClosedReason::Removed))
            }
        }
    }
}

/// A response head and what it says.
pub(crate) struct EngineReply {
    pub(crate) exchange: Exchange,
    pub(crate) facts: ResponseMetadata,
}

/// Why there is no response head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CallError {
    /// The engine is closed to the call; nothing was sent.
    Closed(ClosedReason),
    /// The exchange failed.
    Link(SendError),
}

/// Why the engine is closed to the call, if it is.
pub(crate) fn closed_reason(
    context: &Context,
    engine: &StagedEngine,
    content: &CallContent,
) -> Option<ClosedReason> {
    let router = context.router.borrow();
    let signalled = router.signals.closed(context.now(), engine.key);
    let is_accepting = context.fleet().engine(engine.key).is_some();
    content.closed(signalled, is_accepting)
}

/// Sends a call unless its engine is closed to it, and waits for the response head.
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
        paths,
        is_repeatable,
        mut permission,
    } = call;
    // A rate limit does not close the engine to this call, as the call holds a permission.
    let closed = || {
        let closed = closed_reason(context, engine, &content);
        closed.filter(|closed| !matches!(closed, ClosedReason::Limit(_)))
    };
    if let Some(closed) = closed() {
        return Err(CallError::Closed(closed));
    }
    let probe = Probe::new(context, engine.key);
    let sent_at = context.now();
    let terms = ConnectionTerms {
        call: Some(CallKey::new(content.id().map(|id| &**id))),
        max_connections: context.max_connections(pool),
        share: context.connection_share(pool),
        is_scarce: context.has_scarce_connections(pool),
        paths,
        new_connection: if is_repeatable {
            NewConnection::AtOnceIfRoom
        } else {
            NewConnection::Accepted
        },
    };
    // After a backoff, the call is itself one of the probes, so the limit on probes does not close
    // the engine to it.
    let is_open = || {
        let is_open = closed().is_none_or(|closed| closed == ClosedReason::Probing)
            && permission.is_valid(context.now());
        if is_open {
            permission.mark_used();
        }
        is_open
    };
    let mut facts = ResponseMetadata::default();
    // An answer to another call does not describe the engine's present state.
    let is_own = |answer: &ResponseHead| {
        facts = context.dialect.read_answer(answer.status, &answer.headers);
        facts.id.as_ref() == content.id()
    };
    let link = &context.link;
    let sent = link.send_if(target, terms, head, body, is_open, is_own);
    let exchange = sent.await.map_err(|error| match error {
        SendError::NotEligible => {
            CallError::Closed(closed().unwrap_or(ClosedReason::Limit(context.now())))
        }
        error => CallError::Link(error),
    })?;
    charge_read_calls(context, engine.key);
    let answer = &exchange.head;
    let names = answer.headers.keys().map(HeaderName::as_str);
    for name in names.filter(|name| context.dialect.is_unknown_header(name)) {
        context.unknown_headers.record(HeaderSender::Engine, name);
    }
    let reply = EngineReply { exchange, facts };
    let is_accepted = content != CallContent::Internal && !reply.facts.refused;
    let request_sent_at = is_accepted.then_some(sent_at);
    signals::apply_answer(context, engine, reply.facts.signals, request_sent_at);
    if !reply.facts.refused {
        probe.accepted();
    }
    Ok(reply)
}

/// Charges the calls that were given up at an engine while it answered nothing, and that it has read by now.
fn charge_read_calls(context: &Context, engine: EngineKey) {
    let now = context.now();
    for pool in context.budget.borrow_mut().record_answer(now, engine) {
        context.metrics.retry(&pool, RetryOutcome::ReadLate);
    }
}

/// A call that probes whether an engine accepts calls again after its backoff. If dropped before an
/// accepted answer, the probe counts as not accepted.
struct Probe<'a> {
    context: &'a Context,
    call: Option<ProbeCall>,
}

impl<'a> Probe<'a> {
    fn new(context: &'a Context, engine: EngineKey) -> Self {
        let now = context.now();
        let call = context.router.borrow_mut().signals.begin_call(now, engine);
        Self { context, call }
    }

    fn accepted(mut self) {
        self.end(ProbeOutcome::Accepted);
    }

    fn end(&mut self, end: ProbeOutcome) {
        if let Some(call) = self.call.take() {
            let mut router = self.context.router.borrow_mut();
            router.signals.finish_probe(call, end);
        }
    }
}

impl Drop for Probe<'_> {
    fn drop(&mut self) {
        self.end(ProbeOutcome::NotAccepted);
    }
}
