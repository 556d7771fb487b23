//! Requests permits from the issuing node.

use std::time::Duration;

use dalestand_dissemination::{Message, PermitAnswer, PermitNeed, PermitRequest, Relay};
use dalestand_routing::shared_rate::{PERMIT_LIFETIME, Permit};
use dalestand_routing::staged::{ClosedReason, EngineKey};
use dalestand_types::MonotonicTime;
use tokio::sync::oneshot;

use crate::context::Context;
use crate::dissemination::transmit::send;
use crate::fleet::signals::known_limit;
use crate::permits::grants;
use crate::permits::issuer::{IssuerLocation, issuer_of};
use crate::permits::state::PendingRequest;

/// How long a request waits for a permit: a node with a CPU quota answers within 100 ms, and the
/// round trip between regions takes some tens of milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// How long this node sends an engine no requests if the issuer is unknown or did not answer.
const NO_ISSUER_RETRY: Duration = Duration::from_millis(200);

/// Number of pending requests from which expired ones are dropped.
const CLEANUP_THRESHOLD: usize = 256;

/// Acquires a permit for one request to an engine with a limit, or returns why there is none.
pub(super) async fn acquire_permit(
    context: &Context,
    engine: EngineKey,
) -> Result<Permit, ClosedReason> {
    if let Some(permit) = take_held_permit(context, engine) {
        return Ok(permit);
    }
    match issuer_of(context, engine) {
        IssuerLocation::Local => issue_locally(context, engine),
        IssuerLocation::Remote(relay) => request_permits(context, engine, &relay).await,
        IssuerLocation::Unknown => {
            context.metrics.permit("no issuer");
            close_engine(context, engine, NO_ISSUER_RETRY);
        }
    }
    take_held_permit(context, engine).ok_or_else(|| {
        let now = context.now();
        let router = context.router.borrow();
        let closed = router.signals.closed(now, engine);
        closed.unwrap_or(ClosedReason::Limit(now))
    })
}

/// Reports an internal call to the issuer, so that it counts against the limit. If the message is
/// lost, the engine gets one call more than the limit allows.
pub(super) fn report_internal_call(context: &Context, engine: EngineKey) {
    match issuer_of(context, engine) {
        IssuerLocation::Local => grants::count_call(context, engine),
        IssuerLocation::Remote(relay) => {
            send_request(context, engine, &relay, PermitNeed::Counted);
        }
        IssuerLocation::Unknown => {}
    }
}

/// Handles the answer to a permit request. A late answer counts for the remaining lifetime of its
/// permits.
pub(crate) fn handle_answer(context: &Context, answer: PermitAnswer) {
    let pending = context.permits.pending.borrow_mut().remove(&answer.number);
    let Some(pending) = pending.filter(|pending| pending.engine.0 == answer.engine) else {
        return;
    };
    let retry_in = Duration::from_millis(answer.retry_in_ms.into());
    store_grant(
        context,
        pending.engine,
        pending.sent_at,
        answer.permits,
        retry_in,
    );
    if let Some(answer_sender) = pending.answer_sender {
        // The receiver may have timed out.
        let _ = answer_sender.send(());
    }
}

fn take_held_permit(context: &Context, engine: EngineKey) -> Option<Permit> {
    let now = context.now();
    let mut router = context.router.borrow_mut();
    router.signals.permits.take(now, engine)
}

fn issue_locally(context: &Context, engine: EngineKey) {
    let grant = grants::issue(context, engine);
    store_grant(
        context,
        engine,
        context.now(),
        grant.permits,
        grant.retry_in,
    );
}

/// Stores the permits granted for a request sent at `requested_at`, or closes the engine if there
/// are none.
fn store_grant(
    context: &Context,
    engine: EngineKey,
    requested_at: MonotonicTime,
    permits: u32,
    retry_in: Duration,
) {
    if permits == 0 {
        context.metrics.permit("denied");
        close_engine(context, engine, retry_in);
        return;
    }
    context.metrics.permit("granted");
    let now = context.now();
    let mut router = context.router.borrow_mut();
    let held = &mut router.signals.permits;
    held.add(now, engine, permits, requested_at + PERMIT_LIFETIME);
}

fn close_engine(context: &Context, engine: EngineKey, time: Duration) {
    let now = context.now();
    let mut router = context.router.borrow_mut();
    router.signals.permits.close(now, engine, time);
}

async fn request_permits(context: &Context, engine: EngineKey, relay: &Relay) {
    let number = send_request(context, engine, relay, PermitNeed::Request);
    let (answer_sender, answer) = oneshot::channel();
    let sent_at = context.now();
    let pending = PendingRequest {
        engine,
        sent_at,
        answer_sender: Some(answer_sender),
    };
    {
        let mut requests = context.permits.pending.borrow_mut();
        if requests.len() >= CLEANUP_THRESHOLD {
            requests.retain(|_, pending| sent_at.since(pending.sent_at) < PERMIT_LIFETIME);
        }
        requests.insert(number, pending);
    }
    let received = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    if matches!(received, Ok(Ok(()))) {
        context.permits.record_answered(relay.number);
    } else {
        context.metrics.permit("unanswered");
        context
            .permits
            .record_unanswered(relay.number, context.now());
        close_engine(context, engine, NO_ISSUER_RETRY);
    }
}

/// Sends a permit request and returns its number.
fn send_request(context: &Context, engine: EngineKey, relay: &Relay, need: PermitNeed) -> u64 {
    let state = &context.permits;
    let number = state.last_request_number.get() + 1;
    state.last_request_number.set(number);
    let request = PermitRequest {
        node: context.dissemination.node,
        number,
        need,
        limit: known_limit(context, engine),
    };
    if let Some(socket) = state.socket.get() {
        let message = Message::PermitRequest(request);
        let sent_bytes = send(context, socket, &[relay.address], &message);
        context.record_sent_bytes(sent_bytes);
    }
    number
}
