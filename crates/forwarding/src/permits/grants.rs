//! Issues permits to the nodes that request them.

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
use crate::permits::issuer::{IssuerLocation, issuer_of};

/// Retry delay for a node that mistook this one for the issuer; nodes agree on the issuer within a
/// second.
const NOT_ISSUER_RETRY: Duration = Duration::from_millis(200);

/// Handles a permit request of another node and sends the answer.
pub(crate) fn respond(
    context: &Context,
    socket: &UdpSocket,
    requester: SocketAddr,
    request: &PermitRequest,
) {
    let engine = EngineKey(request.limit.start.engine);
    // The requesting node may have learned of the limit, or of a new value, before this one.
    apply_reported_limit(context, &request.limit, NoticeSource::Member);
    let is_issuer = issuer_of(context, engine) == IssuerLocation::Local;
    let rate = known_rate(context, engine).or(request.limit.rate);
    let grant = match (rate, request.need) {
        (Some(rate), PermitNeed::Request) if is_issuer => {
            let now = context.now();
            context.permits.issuer.borrow_mut().issue(now, engine, rate)
        }
        (_, PermitNeed::Request) => Grant {
            permits: 0,
            retry_in: NOT_ISSUER_RETRY,
        },
        (_, PermitNeed::Counted) => {
            if is_issuer {
                count_call(context, engine);
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
    let sent_bytes = send(context, socket, &[requester], &message);
    context.record_sent_bytes(sent_bytes);
}

/// Issues permits to this node itself.
pub(super) fn issue(context: &Context, engine: EngineKey) -> Grant {
    let now = context.now();
    let mut issuer = context.permits.issuer.borrow_mut();
    let Some(rate) = known_rate(context, engine) else {
        // The limit has been lifted in the meantime, so the call needs no real permit.
        return Grant {
            permits: 1,
            retry_in: Duration::ZERO,
        };
    };
    issuer.issue(now, engine, rate)
}

/// Counts a call that is made without a permit against the engine's limit.
pub(super) fn count_call(context: &Context, engine: EngineKey) {
    let now = context.now();
    if let Some(rate) = known_rate(context, engine) {
        let mut issuer = context.permits.issuer.borrow_mut();
        issuer.debit(now, engine, rate);
    }
}

fn known_rate(context: &Context, engine: EngineKey) -> Option<RequestRate> {
    let router = context.router.borrow();
    let limit = router.signals.limits().get(engine);
    limit.map(|(rate, _)| rate)
}
