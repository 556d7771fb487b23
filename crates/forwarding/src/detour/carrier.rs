//! Opens connections to engines for other nodes.

use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::timeout;
use dalestand_engine_link::SendError;
use dalestand_routing::staged::EngineKey;
use dalestand_tunnel::{TunnelPolicy, TunnelReply, TunnelRequest};
use futures_util::future::LocalBoxFuture;
use tokio::net::TcpStream;

use crate::context::Context;
use crate::detour::link_check::spawn_link_check;
use crate::detour::reach::{reaches_another, stays_open};
use crate::fleet::engines::FleetEngine;

/// Time limit for the connection to the engine.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);

/// Shortest limit on calls of other nodes, which may follow an older declaration, or one that this node does not know yet.
const MIN_CALL_LIMIT: Duration = Duration::from_secs(5);

/// A connection that is reset within this time has not reached its engine.
const SETTLE_TIME: Duration = Duration::from_millis(5);

/// Carries connections of registered nodes to engines that accept work, always directly.
pub(crate) struct Carrier(pub(crate) Rc<Context>);

impl TunnelPolicy for Carrier {
    fn connect(
        &self,
        source: IpAddr,
        request: TunnelRequest,
    ) -> LocalBoxFuture<'_, Result<TcpStream, TunnelReply>> {
        Box::pin(connect(&self.0, source, request))
    }

    fn call_limit(&self) -> Duration {
        let declared = self.0.table().map(|table| table.max_time_limit());
        declared.unwrap_or_default().max(MIN_CALL_LIMIT)
    }

    fn record_reply(&self, reply: TunnelReply) {
        self.0.metrics.detours.record_reply(reply);
    }
}

async fn connect(
    context: &Rc<Context>,
    source: IpAddr,
    request: TunnelRequest,
) -> Result<TcpStream, TunnelReply> {
    if context.is_stopping() {
        return Err(TunnelReply::Stopping);
    }
    if context.detours.is_cut_off() {
        return Err(TunnelReply::CutOff);
    }
    if !context.dissemination.knows_node(&request.node, source) {
        return Err(TunnelReply::UnknownNode);
    }
    let engine = EngineKey::of(&request.engine);
    let target = context.fleet().engine(engine).map(FleetEngine::target);
    let target = target.ok_or(TunnelReply::UnknownEngine)?;
    let address = target.address;
    match timeout(CONNECT_TIMEOUT, context.link.open_directly(address)).await {
        Ok(Ok(stream)) if stays_open(&stream, SETTLE_TIME).await => Ok(stream),
        Ok(Ok(_)) => {
            spawn_link_check(context, &target);
            Err(TunnelReply::EngineUnreachable)
        }
        Ok(Err(SendError::NoListener(_))) => {
            // A link that is cut may refuse connections too.
            if reaches_another(Rc::clone(context), engine).await {
                Err(TunnelReply::NoListener)
            } else {
                Err(TunnelReply::CutOff)
            }
        }
        Ok(Err(_)) | Err(_) => Err(TunnelReply::EngineUnreachable),
    }
}
