//! Sends and receives statistics that are summed over all nodes: from members to their relay, from
//! relays to each other and to their members.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{
    ClassRow, Message, ReportTarget, SlownessRow, SumScope, SummedRows, SumsMessage, TenantRow,
    TenantRows,
};
use dalestand_routing::overload::tenant_meters::top_tenants;
use dalestand_routing::staged::LoadSource;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::own_figures::{refresh_tenant_shares, update_own_figures};
use crate::dissemination::transmit::send;
use crate::fleet_sums::FleetSums;

/// Shortest interval between two rounds. Tenant shares must follow a change of demand within three
/// seconds.
const SEND_INTERVAL: Duration = Duration::from_millis(250);

/// Longest interval between two rounds; rows of demand remain valid for more than two of them.
const MAX_SEND_INTERVAL: Duration = Duration::from_secs(1);

/// Limit on the bytes per second sent for these statistics, a quarter of a node's control traffic.
const MAX_BYTES_PER_S: f64 = 7_250.0;

/// Rows per message; a message fits one packet of 1.2 KB.
const ROWS_PER_MESSAGE: usize = 32;

/// Slowness rows per round; larger fleets take several rounds.
const ENGINES_PER_ROUND: usize = 128;

/// Sends statistics until dropped.
pub(crate) async fn send_sums(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut round_number = 0;
    let mut was_relay = None;
    let mut pause = SEND_INTERVAL;
    loop {
        actix_rt::time::sleep(pause).await;
        let now = context.now();
        let is_relay = context.dissemination.role(now).is_relay;
        if was_relay.replace(is_relay) == Some(false) && is_relay {
            // Replaced by the statistics of its members and of the other relays.
            context.sums.forget_source(LoadSource::Fleet);
        }
        update_own_figures(&context, now);
        context.sums.refresh(now);
        refresh_tenant_shares(&context, now);
        let sent_bytes = if is_relay {
            send_as_relay(&context, &socket, round_number)
        } else {
            send_as_member(&context, &socket, round_number)
        };
        round_number += 1;
        context.record_sent_bytes(sent_bytes);
        let paced = Duration::from_secs_f64(sent_bytes as f64 / MAX_BYTES_PER_S);
        pause = paced.clamp(SEND_INTERVAL, MAX_SEND_INTERVAL);
    }
}

fn send_as_member(context: &Context, socket: &UdpSocket, round_number: usize) -> usize {
    let target = context
        .dissemination
        .subscription
        .borrow()
        .target(context.now());
    let ReportTarget::Subscribed(relay) = target else {
        // Each probed relay would count the statistics again.
        return 0;
    };
    let rows = rows(context, round_number, |_| false);
    send_rows(context, socket, &[relay.address], SumScope::Node, rows)
}

fn send_as_relay(context: &Context, socket: &UdpSocket, round_number: usize) -> usize {
    let relays = context.dissemination.exchange_addresses(context.now());
    let relays: Vec<SocketAddr> = relays.into_iter().collect();
    let members = context.dissemination.subscribers.borrow().addresses();
    let of_members = rows(context, round_number, |source| {
        matches!(source, LoadSource::Member(_))
    });
    let of_fleet = rows(context, round_number, |_| true);
    send_rows(context, socket, &relays, SumScope::Members, of_members)
        + send_rows(context, socket, &members, SumScope::Fleet, of_fleet)
}

fn send_rows(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    scope: SumScope,
    messages: Vec<SummedRows>,
) -> usize {
    if addresses.is_empty() {
        return 0;
    }
    let node = context.dissemination.node;
    let sent = messages.into_iter().map(|rows| {
        let message = Message::Sums(SumsMessage { node, scope, rows });
        send(context, socket, addresses, &message)
    });
    sent.sum()
}

/// Messages with the sums over this node and the sources that `includes` selects.
fn rows(
    context: &Context,
    round_number: usize,
    includes: impl Fn(LoadSource) -> bool + Copy,
) -> Vec<SummedRows> {
    let mut messages = class_rows(context, includes);
    messages.extend(tenant_rows(context, includes));
    messages.extend(slowness_rows(context, round_number, includes));
    messages
}

fn class_rows(context: &Context, includes: impl Fn(LoadSource) -> bool) -> Vec<SummedRows> {
    let classes = context.sums.classes.borrow();
    let sums = classes.sum_of(context.now(), includes).into_iter();
    let rows = sums.map(|((pool, priority), figures)| ClassRow {
        pool,
        priority,
        figures,
    });
    let rows: Vec<ClassRow> = rows.collect();
    let messages = rows.chunks(ROWS_PER_MESSAGE);
    messages
        .map(|rows| SummedRows::Classes(rows.to_vec()))
        .collect()
}

fn tenant_rows(context: &Context, includes: impl Fn(LoadSource) -> bool) -> Vec<SummedRows> {
    let tenants = context.sums.tenants.borrow();
    let mut classes = std::collections::BTreeMap::new();
    for ((class, tenant), figures) in tenants.sum_of(context.now(), includes) {
        let rows: &mut Vec<_> = classes.entry(class).or_default();
        rows.push((tenant, figures));
    }
    let mut messages = Vec::new();
    for ((pool, priority), rows) in classes {
        let rows = top_tenants(rows).into_iter();
        let rows = rows.map(|(tenant, figures)| TenantRow { tenant, figures });
        let rows: Vec<TenantRow> = rows.collect();
        let chunks = rows.chunks(ROWS_PER_MESSAGE);
        messages.extend(chunks.map(|rows| {
            SummedRows::Tenants(TenantRows {
                pool: pool.clone(),
                priority,
                rows: rows.to_vec(),
            })
        }));
    }
    messages
}

fn slowness_rows(
    context: &Context,
    round_number: usize,
    includes: impl Fn(LoadSource) -> bool,
) -> Vec<SummedRows> {
    let slowness = context.sums.slowness.borrow();
    let sums = slowness.sum_of(context.now(), includes).into_iter();
    let rows = sums.map(|((engine, kind), figures)| SlownessRow {
        engine,
        kind,
        figures,
    });
    let mut rows: Vec<SlownessRow> = rows.collect();
    rows.sort_by_key(|row| (row.engine, row.kind));
    let rounds = rows.len().div_ceil(ENGINES_PER_ROUND).max(1);
    let first = (round_number % rounds) * ENGINES_PER_ROUND;
    let round: Vec<SlownessRow> = rows
        .into_iter()
        .skip(first)
        .take(ENGINES_PER_ROUND)
        .collect();
    let messages = round.chunks(ROWS_PER_MESSAGE);
    messages
        .map(|rows| SummedRows::Slowness(rows.to_vec()))
        .collect()
}

/// Applies statistics of another node. Invalid rows are skipped and counted.
pub(super) fn handle(context: &Context, message: SumsMessage) {
    let now = context.now();
    let is_relay = context.dissemination.role(now).is_relay;
    let source = match message.scope {
        SumScope::Node => LoadSource::Member(message.node.0),
        SumScope::Members => LoadSource::Relay(message.node.0),
        SumScope::Fleet => LoadSource::Fleet,
    };
    let is_relevant = match source {
        LoadSource::Fleet => !is_relay && is_from_followed_relay(context, &message),
        LoadSource::Member(_) | LoadSource::Relay(_) => is_relay,
    };
    if is_relevant {
        let invalid = apply_rows(&context.sums, now, source, message.rows);
        context.metrics.invalid_rows(invalid);
    }
}

fn is_from_followed_relay(context: &Context, message: &SumsMessage) -> bool {
    let subscription = context.dissemination.subscription.borrow();
    let current = subscription.current();
    current.is_some_and(|relay| relay.number == message.node)
}

/// Applies rows; returns how many were invalid.
fn apply_rows(
    sums: &FleetSums,
    now: dalestand_types::MonotonicTime,
    source: LoadSource,
    rows: SummedRows,
) -> usize {
    match rows {
        SummedRows::Classes(rows) => {
            let received = rows.len();
            let rows = rows.into_iter().filter(|row| row.figures.is_valid());
            let rows: Vec<_> = rows
                .map(|row| ((row.pool, row.priority), row.figures))
                .collect();
            let invalid = received - rows.len();
            sums.classes.borrow_mut().set_reported(now, source, rows);
            invalid
        }
        SummedRows::Tenants(TenantRows {
            pool,
            priority,
            rows,
        }) => {
            let received = rows.len();
            let rows = rows.into_iter().filter(|row| row.figures.is_valid());
            let rows: Vec<_> = rows
                .map(|row| (((pool.clone(), priority), row.tenant), row.figures))
                .collect();
            let invalid = received - rows.len();
            sums.tenants.borrow_mut().set_reported(now, source, rows);
            invalid
        }
        SummedRows::Slowness(rows) => {
            let received = rows.len();
            let rows = rows.into_iter().filter(|row| row.figures.is_valid());
            let rows: Vec<_> = rows
                .map(|row| ((row.engine, row.kind), row.figures))
                .collect();
            let invalid = received - rows.len();
            sums.slowness.borrow_mut().set_reported(now, source, rows);
            invalid
        }
    }
}
