//! What a member's relay knows of the fleet.

use std::net::SocketAddr;

use dalestand_dissemination::Table;
use dalestand_telemetry::{Event, log_event};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::fleet::engine_entries;
use crate::quarantine::evidence::apply_records;
use crate::spread::receive::declaration::ask_if_newer;
use crate::spread::receive::entries::ask_if_due;
use crate::spread::receive::loads::take_fleet_slice;
use crate::spread::receive::news::take_news;
use crate::spread::recent_changes::ChangeSource;

/// Takes a table in, if it is from the relay that this node listens to from now on.
pub(super) fn take(context: &Context, socket: &UdpSocket, relay: SocketAddr, table: Table) {
    let now = context.now();
    let spread = &context.spread;
    if spread.role(now).is_relay {
        return;
    }
    let was_silent = spread.subscription.borrow().is_silent(now);
    if !spread.subscription.borrow_mut().heard(now, table.node) {
        return;
    }
    if was_silent {
        log_event!(context.logger, Event::RelayFollowed, "relay" => table.node.0,
            "nodes" => table.node_count);
    }
    context.set_nodes(table.node_count as usize);
    spread.set_fleet_nodes(table.node_count as usize);
    spread.set_holder(table.holder);
    if !table.relays.is_empty() {
        spread.subscription.borrow_mut().set_relays(table.relays);
    }
    let mut included = table.included.iter();
    let own = included.find(|report| report.node == spread.node);
    let sequence = own.map(|report| report.sequence);
    spread.own_reports.borrow_mut().set_included(sequence);
    take_fleet_slice(context, table.age_ms, &table.work);
    for news in &table.news {
        take_news(context, news);
    }
    apply_records(context, &table.stopped);
    engine_entries::take(context, table.changes, ChangeSource::Relay);
    ask_if_newer(context, socket, relay, table.declaration);
    if spread.entries.borrow().digest() == table.entries_digest {
        spread.entry_sync.borrow_mut().progressed();
    } else {
        ask_if_due(context, socket, relay);
    }
}
