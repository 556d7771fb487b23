//! Issues permits to the nodes that ask.

use std::net::SocketAddr;
use std::time::Duration;

use dalestand_dissemination::{Message, PermitAnswer, PermitNeed, PermitRequest};
use dalestand_routing::shared_rate::Grant;
use dalestand_routing::staged::EngineKey;
use dalestand_types::RequestRate;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::notice_queue::NoticeSource;
use crate::dissemination::transmit::send;
use crate::fleet::signals::apply_reported_limit;
use crate::permits::issuer::{IssuerPlace, issuer_of};

/// After how long a node asks again that took this one for the issuer: nodes agree on that within a second.
const NOT_ISSUER_PAUSE: Duration = Duration::from_millis(200);

/// Answers a node.
pub(crate) fn respond(
    context: &Context,
    socket: &UdpSocket,
    asker: SocketAddr,
    request: &PermitRequest,
) {
    let engine = EngineKey(request.limit.start.engine);
    // Who asks may have heard of the limit, or of another figure, before this node did.
    apply_reported_limit(context, &request.limit, NoticeSource::Member);
    let is_issuer = issuer_of(context, engine) == IssuerPlace::Here;
    let rate = rate(context, engine).or(request.limit.rate);
    let grant = match (rate, request.need) {
        (Some(rate), PermitNeed::Request) if is_issuer => {
            let now = context.now();
            context.permits.issuer.borrow_mut().issue(now, engine, rate)
        }
        (_, PermitNeed::Request) => Grant {
            permits: 0,
            retry_in: NOT_ISSUER_PAUSE,
        },
        (_, PermitNeed::Counted) => {
            if is_issuer {
                debit(context, engine);
            }
            return;
        }
    };
    let answer = PermitAnswer {
        number: request.number,
        engine: engine.0,
        permits: grant.permits,
        retry_in_ms: u32::try_from(grant.retry_in.as_millis()).unwrap_or(u32::MAX),
    };
    let message = Message::PermitAnswer(answer);
    let sent_bytes = send(context, socket, &[asker], &message);
    context.record_sent_bytes(sent_bytes);
}

/// Issues permits to this node itself.
pub(super) fn issue(context: &Context, engine: EngineKey) -> Grant {
    let now = context.now();
    let mut issuer = context.permits.issuer.borrow_mut();
    let Some(rate) = rate(context, engine) else {
        // The limit has ended meanwhile; the engine is asked as any other.
        return Grant {
            permits: 1,
            retry_in: Duration::ZERO,
        };
    };
    issuer.issue(now, engine, rate)
}

/// Counts a call that needs no leave.
pub(super) fn debit(context: &Context, engine: EngineKey) {
    let now = context.now();
    if let Some(rate) = rate(context, engine) {
        let mut issuer = context.permits.issuer.borrow_mut();
        issuer.debit(now, engine, rate);
    }
}

fn rate(context: &Context, engine: EngineKey) -> Option<RequestRate> {
    let router = context.router.borrow();
    let limit = router.signals.limits().get(engine);
    limit.map(|(rate, _)| rate)
}
