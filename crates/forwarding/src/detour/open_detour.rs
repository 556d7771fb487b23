//! Asks other nodes for a connection to an engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::sleep;
use dalestand_engine_link::{Detour, DetourError, LinkTarget};
use dalestand_routing::reachability::PeerFailure;
use dalestand_tunnel::{OpenError, PROTOCOL_VERSION, TunnelReply, TunnelRequest, open_tunnel};
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use tokio::net::TcpStream;

use crate::context::Context;
use crate::detour::reach::engine_of;
use crate::fleet::engines::engine_name;

/// Nodes that are asked for one connection. Those that are cut off themselves answer at once.
const PEERS_ASKED: usize = 12;

/// Time after which the next node is asked too. One that is cut off itself and does not know it yet answers late.
const NEXT_PEER_DELAY: Duration = Duration::from_millis(40);

/// Time limit for a node's answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Connections that are asked for at once; callers beyond that fail fast while no node carries any.
const MAX_PENDING: usize = 64;

/// Opens a connection to an engine through another node.
pub(super) async fn open_detour(
    context: Rc<Context>,
    target: LinkTarget,
) -> Result<Detour, DetourError> {
    let engine = engine_of(&target);
    if let Some(failure) = context.detours.recent_failure(context.now(), engine) {
        return Err(failure);
    }
    let peers = context.dissemination.peers();
    if peers.is_empty() {
        return Err(DetourError::NoPeers);
    }
    let Some(_pending) = PendingRequest::begin(&context) else {
        return Err(DetourError::Unavailable);
    };
    let order = {
        let ranking = &context.detours.ranking;
        ranking.borrow_mut().retain(&peers);
        let mut random = rand::rng();
        ranking
            .borrow()
            .order(context.now(), peers, PEERS_ASKED, &mut random)
    };
    let request = TunnelRequest {
        version: PROTOCOL_VERSION,
        node: context.settings.node.to_string(),
        engine: engine_name(&target).to_owned(),
    };
    let opened = ask_in_turn(&context, &request, order).await;
    if let Err(failure) = &opened {
        let now = context.now();
        context.detours.record_failure(now, engine, *failure);
    }
    context.metrics.detours.record_opening(&opened);
    opened
}

/// A request to other nodes under way, until dropped.
struct PendingRequest(Rc<Context>);

impl PendingRequest {
    fn begin(context: &Rc<Context>) -> Option<Self> {
        let pending = &context.detours.pending;
        if pending.get() >= MAX_PENDING {
            return None;
        }
        pending.set(pending.get() + 1);
        Some(Self(Rc::clone(context)))
    }
}

impl Drop for PendingRequest {
    fn drop(&mut self) {
        let pending = &self.0.detours.pending;
        pending.set(pending.get().saturating_sub(1));
    }
}

/// Asks the nodes one after the other, the next one early if an answer takes long. The first connection counts.
async fn ask_in_turn(
    context: &Context,
    request: &TunnelRequest,
    order: Vec<SocketAddr>,
) -> Result<Detour, DetourError> {
    let source = context.settings.peer_listen.ip();
    let mut order = order.into_iter();
    let mut asked = FuturesUnordered::new();
    loop {
        let next = order.next();
        let is_last = next.is_none();
        if let Some(carrier) = next {
            asked.push(async move {
                let opened = open_tunnel(source, carrier, request, ANSWER_TIMEOUT).await;
                (carrier, opened)
            });
        }
        let answer = tokio::select! {
            answer = asked.next() => answer,
            () = sleep(NEXT_PEER_DELAY), if !is_last => continue,
        };
        let Some((carrier, opened)) = answer else {
            return Err(DetourError::Unavailable);
        };
        match record_answer(context, carrier, opened) {
            Some(Ok(stream)) => return Ok(Detour { stream, carrier }),
            Some(Err(failure)) => return Err(failure),
            None => {}
        }
    }
}

/// Records a node's answer; `None` if another one has to be asked.
fn record_answer(
    context: &Context,
    carrier: SocketAddr,
    opened: Result<TcpStream, OpenError>,
) -> Option<Result<TcpStream, DetourError>> {
    let now = context.now();
    let mut ranking = context.detours.ranking.borrow_mut();
    let failure = match opened {
        Ok(stream) => {
            ranking.record_success(now, carrier);
            return Some(Ok(stream));
        }
        Err(OpenError::Refused(TunnelReply::NoListener)) => {
            return Some(Err(DetourError::NoListener));
        }
        // This says nothing of the node.
        Err(OpenError::Refused(TunnelReply::UnknownEngine)) => return None,
        Err(OpenError::Refused(TunnelReply::Busy)) => PeerFailure::Busy,
        Err(OpenError::Refused(
            TunnelReply::Stopping | TunnelReply::UnknownNode | TunnelReply::Malformed,
        )) => PeerFailure::Unwilling,
        Err(OpenError::Refused(
            TunnelReply::CutOff | TunnelReply::EngineUnreachable | TunnelReply::Opened,
        )) => PeerFailure::Unreachable,
        Err(OpenError::NoAnswer(_)) => PeerFailure::Unreachable,
    };
    ranking.record_failure(now, carrier, failure);
    None
}
