//! Sends figures that add up over all nodes, and takes in those of others: members to their relay, relays to each
//! other and to their members.

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
use crate::fleet_sums::FleetSums;
use crate::spread::own_figures::{count_own_figures, divide_room};
use crate::spread::transmit::send;

/// Time between two messages. Shares and room follow demand that turns within three seconds.
const INTERVAL: Duration = Duration::from_millis(250);

/// Longest time between two messages: a row of demand outlasts two of them.
const LONGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes a second that a node sends of these figures at most: a quarter of what the users allow a node for control.
const BYTES_PER_S: f64 = 7_250.0;

/// Rows of pools, of tenants or of engines in one message: 1.2 KB, what a path carries in one packet.
const ROWS_PER_MESSAGE: usize = 32;

/// Engines reported in one round; larger fleets go by turns.
const ENGINES_PER_ROUND: usize = 128;

/// Sends figures for as long as it is polled.
pub(crate) async fn send_sums(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut turn = 0;
    let mut was_relay = None;
    let mut pause = INTERVAL;
    loop {
        actix_rt::time::sleep(pause).await;
        let now = context.now();
        let is_relay = context.spread.role(now).is_relay;
        if was_relay.replace(is_relay) == Some(false) && is_relay {
            // A relay has the sums of its own members and of the other relays instead.
            context.sums.forget(LoadSource::Fleet);
        }
        count_own_figures(&context, now);
        context.sums.refresh(now);
        divide_room(&context, now);
        let sent_bytes = if is_relay {
            send_as_relay(&context, &socket, turn)
        } else {
            send_as_member(&context, &socket, turn)
        };
        turn += 1;
        context.sent(sent_bytes);
        let paced = Duration::from_secs_f64(sent_bytes as f64 / BYTES_PER_S);
        pause = paced.clamp(INTERVAL, LONGEST_INTERVAL);
    }
}

fn send_as_member(context: &Context, socket: &UdpSocket, turn: usize) -> usize {
    let target = context.spread.subscription.borrow().target(context.now());
    let ReportTarget::Subscribed(relay) = target else {
        // Relays that are only looked for would count the figures a second time.
        return 0;
    };
    let rows = rows(context, turn, |_| false);
    send_rows(context, socket, &[relay.address], SumScope::Node, rows)
}

fn send_as_relay(context: &Context, socket: &UdpSocket, turn: usize) -> usize {
    let relays = context.spread.exchange_addresses(context.now());
    let relays: Vec<SocketAddr> = relays.into_iter().collect();
    let members = context.spread.subscribers.borrow().addresses();
    let of_members = rows(context, turn, |source| {
        matches!(source, LoadSource::Member(_))
    });
    let of_fleet = rows(context, turn, |_| true);
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
    let node = context.spread.node;
    let sent = messages.into_iter().map(|rows| {
        let message = Message::Sums(SumsMessage { node, scope, rows });
        send(context, socket, addresses, &message)
    });
    sent.sum()
}

/// The sums of this node and of the sources that `counts` names, in messages.
fn rows(
    context: &Context,
    turn: usize,
    counts: impl Fn(LoadSource) -> bool + Copy,
) -> Vec<SummedRows> {
    let mut messages = class_rows(context, counts);
    messages.extend(tenant_rows(context, counts));
    messages.extend(slowness_rows(context, turn, counts));
    messages
}

fn class_rows(context: &Context, counts: impl Fn(LoadSource) -> bool) -> Vec<SummedRows> {
    let classes = context.sums.classes.borrow();
    let sums = classes.sum_of(context.now(), counts).into_iter();
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

fn tenant_rows(context: &Context, counts: impl Fn(LoadSource) -> bool) -> Vec<SummedRows> {
    let tenants = context.sums.tenants.borrow();
    let mut classes = std::collections::BTreeMap::new();
    for ((class, tenant), figures) in tenants.sum_of(context.now(), counts) {
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
    turn: usize,
    counts: impl Fn(LoadSource) -> bool,
) -> Vec<SummedRows> {
    let slowness = context.sums.slowness.borrow();
    let sums = slowness.sum_of(context.now(), counts).into_iter();
    let rows = sums.map(|((engine, kind), figures)| SlownessRow {
        engine,
        kind,
        figures,
    });
    let mut rows: Vec<SlownessRow> = rows.collect();
    rows.sort_by_key(|row| (row.engine, row.kind));
    let turns = rows.len().div_ceil(ENGINES_PER_ROUND).max(1);
    let first = (turn % turns) * ENGINES_PER_ROUND;
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

/// Takes in figures of another node. Rows that no node can have counted are passed over.
pub(super) fn take(context: &Context, message: SumsMessage) {
    let now = context.now();
    let is_relay = context.spread.role(now).is_relay;
    let source = match message.scope {
        SumScope::Node => LoadSource::Member(message.node.0),
        SumScope::Members => LoadSource::Relay(message.node.0),
        SumScope::Fleet => LoadSource::Fleet,
    };
    let counts_here = match source {
        LoadSource::Fleet => !is_relay && is_followed(context, &message),
        LoadSource::Member(_) | LoadSource::Relay(_) => is_relay,
    };
    if counts_here {
        let unsound = take_rows(&context.sums, now, source, message.rows);
        context.metrics.rows_unsound(unsound);
    }
}

fn is_followed(context: &Context, message: &SumsMessage) -> bool {
    let subscription = context.spread.subscription.borrow();
    let current = subscription.current();
    current.is_some_and(|relay| relay.number == message.node)
}

/// Takes rows in; yields how many were passed over.
fn take_rows(
    sums: &FleetSums,
    now: dalestand_types::MonotonicTime,
    source: LoadSource,
    rows: SummedRows,
) -> usize {
    match rows {
        SummedRows::Classes(rows) => {
            let told = rows.len();
            let rows = rows.into_iter().filter(|row| row.figures.is_sound());
            let rows: Vec<_> = rows
                .map(|row| ((row.pool, row.priority), row.figures))
                .collect();
            let unsound = told - rows.len();
            sums.classes.borrow_mut().reported(now, source, rows);
            unsound
        }
        SummedRows::Tenants(TenantRows {
            pool,
            priority,
            rows,
        }) => {
            let told = rows.len();
            let rows = rows.into_iter().filter(|row| row.figures.is_sound());
            let rows: Vec<_> = rows
                .map(|row| (((pool.clone(), priority), row.tenant), row.figures))
                .collect();
            let unsound = told - rows.len();
            sums.tenants.borrow_mut().reported(now, source, rows);
            unsound
        }
        SummedRows::Slowness(rows) => {
            let told = rows.len();
            let rows = rows.into_iter().filter(|row| row.figures.is_sound());
            let rows: Vec<_> = rows
                .map(|row| ((row.engine, row.kind), row.figures))
                .collect();
            let unsound = told - rows.len();
            sums.slowness.borrow_mut().reported(now, source, rows);
            unsound
        }
    }
}
