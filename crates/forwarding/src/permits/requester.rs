//! Asks for permits.

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
use crate::permits::issuer::{IssuerPlace, issuer_of};
use crate::permits::state::Asked;

/// For how long a request waits for leave: a node whose share of a core is a quota answers after a tenth of a
/// second at most, and the way between regions takes a few hundredths.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(120);

/// For how long an engine gets no requests of this node after a question without an answer, or where nobody is
/// known to ask.
const UNKNOWN_PAUSE: Duration = Duration::from_millis(200);

/// From so many questions on, those whose answer would come too late are forgotten.
const MANY_ASKED: usize = 256;

/// Leave to send one request to an engine with a limit, or why there is none.
pub(super) async fn permit(context: &Context, engine: EngineKey) -> Result<Permit, ClosedReason> {
    if let Some(permit) = take_held(context, engine) {
        return Ok(permit);
    }
    match issuer_of(context, engine) {
        IssuerPlace::Here => issue_here(context, engine),
        IssuerPlace::At(relay) => ask(context, engine, &relay).await,
        IssuerPlace::Unknown => {
            context.metrics.permit("no issuer");
            close(context, engine, UNKNOWN_PAUSE);
        }
    }
    take_held(context, engine).ok_or_else(|| {
        let now = context.now();
        let router = context.router.borrow();
        let closed = router.signals.closed(now, engine);
        closed.unwrap_or(ClosedReason::Limit(now))
    })
}

/// Tells the issuer of a call that needs no leave. Where that is lost, one call more goes to the engine.
pub(super) fn tell_of_call(context: &Context, engine: EngineKey) {
    match issuer_of(context, engine) {
        IssuerPlace::Here => grants::debit(context, engine),
        IssuerPlace::At(relay) => {
            send_request(context, engine, &relay, PermitNeed::Counted);
        }
        IssuerPlace::Unknown => {}
    }
}

/// Takes an answer in. One that comes late counts for what is left of its permits' time.
pub(crate) fn handle_answer(context: &Context, answer: PermitAnswer) {
    let asked = context.permits.asked.borrow_mut().remove(&answer.number);
    let Some(asked) = asked.filter(|asked| asked.engine.0 == answer.engine) else {
        return;
    };
    let retry_in = Duration::from_millis(answer.retry_in_ms.into());
    credit(context, asked.engine, asked.at, answer.permits, retry_in);
    if let Some(answered) = asked.answered {
        // Who asked may have given up.
        let _ = answered.send(());
    }
}

fn take_held(context: &Context, engine: EngineKey) -> Option<Permit> {
    let now = context.now();
    let mut router = context.router.borrow_mut();
    router.signals.permits.take(now, engine)
}

fn issue_here(context: &Context, engine: EngineKey) {
    let grant = grants::issue(context, engine);
    credit(
        context,
        engine,
        context.now(),
        grant.permits,
        grant.retry_in,
    );
}

/// Notes what an issuer gave for a question of `asked_at`.
fn credit(
    context: &Context,
    engine: EngineKey,
    asked_at: MonotonicTime,
    permits: u32,
    retry_in: Duration,
) {
    if permits == 0 {
        context.metrics.permit("denied");
        close(context, engine, retry_in);
        return;
    }
    context.metrics.permit("granted");
    let now = context.now();
    let mut router = context.router.borrow_mut();
    let held = &mut router.signals.permits;
    held.add(now, engine, permits, asked_at + PERMIT_LIFETIME);
}

fn close(context: &Context, engine: EngineKey, time: Duration) {
    let now = context.now();
    let mut router = context.router.borrow_mut();
    router.signals.permits.close(now, engine, time);
}

async fn ask(context: &Context, engine: EngineKey, relay: &Relay) {
    let number = send_request(context, engine, relay, PermitNeed::Request);
    let (answered, answer) = oneshot::channel();
    let at = context.now();
    let asked = Asked {
        engine,
        at,
        answered: Some(answered),
    };
    {
        let mut all = context.permits.asked.borrow_mut();
        if all.len() >= MANY_ASKED {
            all.retain(|_, asked| at.since(asked.at) < PERMIT_LIFETIME);
        }
        all.insert(number, asked);
    }
    let came = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
    if matches!(came, Ok(Ok(()))) {
        context.permits.has_answered(relay.number);
    } else {
        context.metrics.permit("unanswered");
        context
            .permits
            .has_not_answered(relay.number, context.now());
        close(context, engine, UNKNOWN_PAUSE);
    }
}

/// Sends a question; its number.
fn send_request(context: &Context, engine: EngineKey, relay: &Relay, need: PermitNeed) -> u64 {
    let desk = &context.permits;
    let number = desk.last_number.get() + 1;
    desk.last_number.set(number);
    let request = PermitRequest {
        node: context.dissemination.node,
        number,
        need,
        limit: known_limit(context, engine),
    };
    if let Some(socket) = desk.socket.get() {
        let message = Message::PermitRequest(request);
        let sent_bytes = send(context, socket, &[relay.address], &message);
        context.record_sent_bytes(sent_bytes);
    }
    number
}
