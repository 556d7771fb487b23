//! The sums of another relay.

use std::net::SocketAddr;

use dalestand_dissemination::Exchange;
use dalestand_routing::staged::LoadSource;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::fleet::engine_entries;
use crate::quarantine::evidence::apply_records;
use crate::spread::receive::declaration::ask_if_newer;
use crate::spread::receive::loads::{take_demand, take_slice};
use crate::spread::receive::news::pass_to_members;
use crate::spread::recent_changes::ChangeSource;

/// Takes an exchange in.
pub(super) fn take(context: &Context, socket: &UdpSocket, relay: SocketAddr, exchange: Exchange) {
    let spread = &context.spread;
    spread.addressed(context.now(), relay);
    let source = LoadSource::Relay(exchange.node.0);
    take_slice(context, source, exchange.age_ms, &exchange.work);
    take_demand(context, source, exchange.demand);
    spread.set_holder(exchange.holder);
    pass_to_members(context, exchange.news);
    apply_records(context, &exchange.stopped);
    engine_entries::take(context, exchange.changes, ChangeSource::Relay);
    ask_if_newer(context, socket, relay, exchange.declaration);
}
