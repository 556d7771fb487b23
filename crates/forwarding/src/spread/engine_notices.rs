//! Tells other nodes what engines said of themselves: that they drain, when they started, and how many
//! requests they take.
//!
//! An engine's entry says that it drains, too, but late or never while the key-value service is away: just
//! then the nodes that the engine answers must tell the others. What is lost is repaired by the relays, which
//! name by turns, once a second, the engines that drain while their entries say otherwise, all starts and all limits.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::{
    EngineLimits, EngineNotices, EngineStart, Message, NodeNumber, ReportTarget,
};
use dalestand_routing::staged::EngineKey;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::fleet::signals::{known_limit, take_drain, take_start, take_told_limit};
use crate::spread::notice_queue::{EngineNotice, NoticeSource, PER_MESSAGE};
use crate::spread::transmit::send;

/// Time between messages that carry the same.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// How often a relay names what stands: within the shortest drain bound (2 s) a node that lost the news of
/// an engine that drains hears twice.
const NAMED_INTERVAL: Duration = Duration::from_secs(1);

/// Sends what is to be told, for as long as it is polled.
pub(crate) async fn send_notices(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut named_at = BootInstant::now();
    loop {
        let queue = &context.spread.notices;
        if queue.is_empty() {
            let changed = tokio::time::timeout(NAMED_INTERVAL, queue.changed.notified());
            // Whether something changed or the time is over, both are looked at below.
            let _ = changed.await;
        } else {
            actix_rt::time::sleep(REPEAT_INTERVAL).await;
        }
        let is_relay = context.spread.role(context.now()).is_relay;
        let names_all = is_relay && named_at.elapsed() >= NAMED_INTERVAL;
        if names_all {
            named_at = BootInstant::now();
        }
        let sent_bytes = if is_relay {
            send_as_relay(&context, &socket, names_all)
        } else {
            send_as_member(&context, &socket)
        };
        context.sent(sent_bytes);
    }
}

fn send_as_relay(context: &Context, socket: &UdpSocket, names_all: bool) -> usize {
    let queue = &context.spread.notices;
    let relays = context.spread.exchange_addresses(context.now());
    let relays: Vec<SocketAddr> = relays.into_iter().collect();
    let members = context.spread.subscribers.borrow().addresses();
    let for_relays = queue.for_relays.borrow_mut().take();
    let for_members = queue.for_members.borrow_mut().take();
    let news =
        tell(context, socket, &relays, &for_relays) + tell(context, socket, &members, &for_members);
    if !names_all {
        return news;
    }
    let standing = standing(context);
    // Relays read starts for themselves.
    news + tell(context, socket, &relays, &standing.heard)
        + tell(context, socket, &members, &standing.heard)
        + tell(context, socket, &members, &standing.started)
}

fn send_as_member(context: &Context, socket: &UdpSocket) -> usize {
    let queue = &context.spread.notices;
    queue.for_members.borrow_mut().clear();
    let target = context.spread.subscription.borrow().target(context.now());
    let addresses: Vec<SocketAddr> = match target {
        ReportTarget::Subscribed(relay) => vec![relay.address],
        ReportTarget::Probe(relays) => relays.iter().map(|relay| relay.address).collect(),
    };
    let notices = queue.for_relays.borrow_mut().take();
    tell(context, socket, &addresses, &notices)
}

/// What stands, by turns where it is much.
struct Standing {
    /// Engines that drain while their entries say otherwise, and limits.
    heard: Vec<EngineNotice>,
    /// When engines started.
    started: Vec<EngineNotice>,
}

fn standing(context: &Context) -> Standing {
    let turn = context.spread.notices.turn.get();
    context.spread.notices.turn.set(turn.wrapping_add(1));
    let fleet = context.fleet();
    let router = context.router.borrow();
    let signals = &router.signals;
    let start = |engine: EngineKey| EngineStart {
        engine: engine.0,
        born: signals.started_at_ms(engine),
    };
    let draining = fleet.draining().map(start).map(EngineNotice::Drains);
    let limits = signals.limits().iter();
    let limits = limits.map(|(engine, _, _)| EngineNotice::Limit(engine));
    let started = signals.start_times();
    let started = started.map(|(engine, _)| EngineNotice::Started(start(engine)));
    let mut heard = turn_of(draining.collect(), turn);
    heard.extend(turn_of(limits.collect(), turn));
    Standing {
        heard,
        started: turn_of(started.collect(), turn),
    }
}

/// The part of `all` whose turn it is.
fn turn_of<T>(all: Vec<T>, turn: usize) -> Vec<T> {
    let turns = all.len().div_ceil(PER_MESSAGE).max(1);
    let first = (turn % turns) * PER_MESSAGE;
    all.into_iter().skip(first).take(PER_MESSAGE).collect()
}

fn tell(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    notices: &[EngineNotice],
) -> usize {
    if notices.is_empty() || addresses.is_empty() {
        return 0;
    }
    let node = context.spread.node;
    let mut starts = EngineNotices {
        node,
        draining: Vec::new(),
        starts: Vec::new(),
    };
    let mut limits = Vec::new();
    for notice in notices {
        match notice {
            EngineNotice::Drains(start) => starts.draining.push(*start),
            EngineNotice::Started(start) => starts.starts.push(*start),
            EngineNotice::Limit(engine) => limits.push(known_limit(context, *engine)),
        }
    }
    let mut sent_bytes = 0;
    if !starts.draining.is_empty() || !starts.starts.is_empty() {
        sent_bytes += send(context, socket, addresses, &Message::Engines(starts));
    }
    if !limits.is_empty() {
        let limits = Message::Limits(EngineLimits { node, limits });
        sent_bytes += send(context, socket, addresses, &limits);
    }
    sent_bytes
}

/// How another node knows that it hears of something: from a relay, which tells the other relays itself.
fn source_of(context: &Context, node: NodeNumber) -> NoticeSource {
    let mut relays = context.spread.other_relays().into_iter();
    if relays.any(|relay| relay.number == node) {
        NoticeSource::Relay
    } else {
        NoticeSource::Member
    }
}

/// Takes in limits that another node tells.
pub(crate) fn take_limits(context: &Context, limits: &EngineLimits) {
    let source = source_of(context, limits.node);
    for limit in &limits.limits {
        take_told_limit(context, limit, source);
    }
}

/// Takes in what another node tells. Engines that this node does not know get nothing from it either;
/// relays name them again.
pub(crate) fn take(context: &Context, notices: &EngineNotices) {
    let source = source_of(context, notices.node);
    let is_known = |start: &&EngineStart| {
        let engine = EngineKey(start.engine);
        context.fleet().engine(engine).is_some()
    };
    // A start goes first: what is said of an engine holds for the start that stands.
    for start in notices.starts.iter().filter(is_known) {
        take_start(context, EngineKey(start.engine), start.born, source);
    }
    for start in notices.draining.iter().filter(is_known) {
        take_drain(context, EngineKey(start.engine), start.born, source);
    }
}
