//! Handles exchanges of other relays.

use std::net::SocketAddr;

use dalestand_dissemination::Exchange;
use dalestand_routing::staged::LoadSource;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::receive::declaration::request_if_newer;
use crate::dissemination::receive::loads::{apply_demand, apply_slice};
use crate::dissemination::receive::news::apply_and_forward;
use crate::dissemination::recent_changes::ChangeSource;
use crate::fleet::engine_entries;
use crate::quarantine::evidence::apply_records;

pub(super) fn handle(context: &Context, socket: &UdpSocket, relay: SocketAddr, exchange: Exchange) {
    let dissemination = &context.dissemination;
    dissemination.record_exchange(context.now(), relay);
    let source = LoadSource::Relay(exchange.node.0);
    apply_slice(context, source, exchange.age_ms, &exchange.work);
    apply_demand(context, source, exchange.demand);
    dissemination.set_lease_holder(exchange.holder);
    apply_and_forward(context, exchange.news);
    apply_records(context, &exchange.stopped);
    engine_entries::merge(context, exchange.changes, ChangeSource::Relay);
    request_if_newer(context, socket, relay, exchange.declaration);
}
