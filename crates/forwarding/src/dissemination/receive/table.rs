//! Handles tables of a member's relay.

use std::net::SocketAddr;

use dalestand_dissemination::Table;
use dalestand_telemetry::{Event, log_event};
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::AnnouncedEntries;
use crate::dissemination::receive::declaration::request_if_newer;
use crate::dissemination::receive::entries::compare;
use crate::dissemination::receive::loads::apply_fleet_slice;
use crate::dissemination::receive::news::apply_news;
use crate::dissemination::recent_changes::ChangeSource;
use crate::fleet::engine_entries;
use crate::quarantine::evidence::apply_records;

/// Applies a table if it comes from the relay that this node follows.
pub(super) fn handle(context: &Context, socket: &UdpSocket, relay: SocketAddr, table: Table) {
    let now = context.now();
    let dissemination = &context.dissemination;
    if dissemination.role(now).is_relay {
        return;
    }
    let was_silent = dissemination.subscription.borrow().is_silent(now);
    if !dissemination
        .subscription
        .borrow_mut()
        .record_table(now, table.node)
    {
        return;
    }
    if was_silent {
        log_event!(context.logger, Event::RelaySubscribed, "relay" => table.node.0,
            "nodes" => table.node_count);
    }
    context.set_node_count(table.node_count as usize);
    dissemination.set_reported_node_count(table.node_count as usize);
    dissemination.set_lease_holder(table.holder);
    if !table.relays.is_empty() {
        dissemination
            .subscription
            .borrow_mut()
            .set_relays(table.relays);
    }
    let mut included = table.included.iter();
    let own = included.find(|report| report.node == dissemination.node);
    let sequence = own.map(|report| report.sequence);
    dissemination
        .own_reports
        .borrow_mut()
        .set_included(sequence);
    apply_fleet_slice(context, table.age_ms, &table.work);
    for news in &table.news {
        apply_news(context, news);
    }
    apply_records(context, &table.stopped);
    engine_entries::merge(context, table.changes, ChangeSource::Relay);
    request_if_newer(context, socket, relay, table.declaration);
    let announced = AnnouncedEntries {
        relay: table.node,
        address: relay,
        digest: table.entries_digest,
        announced_at: now,
    };
    compare(context, socket, announced);
}
