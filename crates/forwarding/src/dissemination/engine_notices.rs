//! Sends announcements by engines to other nodes: that they drain, when they started, and their rate
//! limits.
//!
//! An engine's entry also shows that it drains, but late or never while the key-value service is
//! unavailable; then the nodes that receive the engine's answers must inform the others. To make up for
//! lost datagrams, relays resend the current state once a second: engines that drain although their
//! entries say otherwise, starts and limits.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::{
    EngineLimits, EngineNotices, EngineRuns, EngineStart, Message, NodeNumber, ReportTarget,
};
use dalestand_routing::staged::EngineKey;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::dissemination::notice_queue::{EngineNotice, MAX_NOTICES_PER_MESSAGE, NoticeSource};
use crate::dissemination::transmit::send;
use crate::fleet::engine_runs::apply_end;
use crate::fleet::run_check::apply_confirmed;
use crate::fleet::signals::{apply_drain, apply_reported_limit, apply_start, known_limit};

/// Interval between retransmissions of a notice.
const RETRANSMIT_INTERVAL: Duration = Duration::from_millis(100);

/// How often a relay resends the current state. A node that missed a drain notice hears of it twice
/// within the shortest drain bound (2 s).
const FULL_STATE_INTERVAL: Duration = Duration::from_secs(1);

/// Sends notices until dropped.
pub(crate) async fn send_notices(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut all_sent_at = BootInstant::now();
    loop {
        let queue = &context.dissemination.notices;
        if queue.is_empty() {
            let changed = tokio::time::timeout(FULL_STATE_INTERVAL, queue.changed.notified());
            // A timeout is no error: the periodic state may be due.
            let _ = changed.await;
        } else {
            actix_rt::time::sleep(RETRANSMIT_INTERVAL).await;
        }
        let is_relay = context.dissemination.role(context.now()).is_relay;
        let sends_all = is_relay && all_sent_at.elapsed() >= FULL_STATE_INTERVAL;
        if sends_all {
            all_sent_at = BootInstant::now();
        }
        let sent_bytes = if is_relay {
            send_as_relay(&context, &socket, sends_all)
        } else {
            send_as_member(&context, &socket)
        };
        context.record_sent_bytes(sent_bytes);
    }
}

fn send_as_relay(context: &Context, socket: &UdpSocket, sends_all: bool) -> usize {
    let queue = &context.dissemination.notices;
    let relays = context.dissemination.exchange_addresses(context.now());
    let relays: Vec<SocketAddr> = relays.into_iter().collect();
    let members = context.dissemination.subscribers.borrow().addresses();
    let for_relays = queue.for_relays.borrow_mut().take();
    let for_members = queue.for_members.borrow_mut().take();
    let news = send_to(context, socket, &relays, &for_relays)
        + send_to(context, socket, &members, &for_members);
    if !sends_all {
        return news;
    }
    let current_notices = current_notices(context);
    // Relays read starts from the key-value service.
    news + send_to(context, socket, &relays, &current_notices.announced)
        + send_to(context, socket, &members, &current_notices.announced)
        + send_to(context, socket, &members, &current_notices.started)
}

fn send_as_member(context: &Context, socket: &UdpSocket) -> usize {
    let queue = &context.dissemination.notices;
    queue.for_members.borrow_mut().clear();
    let target = context
        .dissemination
        .subscription
        .borrow()
        .target(context.now());
    let addresses: Vec<SocketAddr> = match target {
        ReportTarget::Subscribed(relay) => vec![relay.address],
        ReportTarget::Probe(relays) => relays.iter().map(|relay| relay.address).collect(),
    };
    let notices = queue.for_relays.borrow_mut().take();
    send_to(context, socket, &addresses, &notices)
}

/// The current state, in chunks if it exceeds one message.
struct CurrentNotices {
    /// Drain notices that the entries do not show, rate limits, and starts that have ended.
    announced: Vec<EngineNotice>,
    /// Start times of engines.
    started: Vec<EngineNotice>,
}

fn current_notices(context: &Context) -> CurrentNotices {
    let turn = context.dissemination.notices.turn.get();
    context.dissemination.notices.turn.set(turn.wrapping_add(1));
    let fleet = context.fleet();
    let router = context.router.borrow();
    let signals = &router.signals;
    let start = |engine: EngineKey| EngineStart {
        engine: engine.0,
        started_at_ms: signals.started_at_ms(engine),
    };
    let draining = fleet.draining().map(start).map(EngineNotice::Drains);
    let limits = signals.limits().iter();
    let limits = limits.map(|(engine, _, _)| EngineNotice::Limit(engine));
    let started = signals.start_times();
    let started = started.map(|(engine, _)| EngineNotice::Started(start(engine)));
    let mut announced = chunk_for_turn(draining.collect(), turn);
    announced.extend(chunk_for_turn(limits.collect(), turn));
    let ended = context.engine_runs.ended().into_iter();
    announced.extend(chunk_for_turn(
        ended.map(EngineNotice::Ended).collect(),
        turn,
    ));
    CurrentNotices {
        announced,
        started: chunk_for_turn(started.collect(), turn),
    }
}

/// The chunk of `all` to send in round `turn`.
fn chunk_for_turn<T>(all: Vec<T>, turn: usize) -> Vec<T> {
    let turns = all.len().div_ceil(MAX_NOTICES_PER_MESSAGE).max(1);
    let first = (turn % turns) * MAX_NOTICES_PER_MESSAGE;
    all.into_iter()
        .skip(first)
        .take(MAX_NOTICES_PER_MESSAGE)
        .collect()
}

fn send_to(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    notices: &[EngineNotice],
) -> usize {
    if notices.is_empty() || addresses.is_empty() {
        return 0;
    }
    let node = context.dissemination.node;
    let mut starts = EngineNotices {
        node,
        draining: Vec::new(),
        starts: Vec::new(),
    };
    let mut runs = EngineRuns {
        node,
        ended: Vec::new(),
        confirmed: Vec::new(),
    };
    let mut limits = Vec::new();
    for notice in notices {
        match notice {
            EngineNotice::Drains(start) => starts.draining.push(*start),
            EngineNotice::Started(start) => starts.starts.push(*start),
            EngineNotice::Ended(start) => runs.ended.push(*start),
            EngineNotice::Confirmed(start) => runs.confirmed.push(*start),
            EngineNotice::Limit(engine) => limits.push(known_limit(context, *engine)),
        }
    }
    let mut sent_bytes = 0;
    if !starts.draining.is_empty() || !starts.starts.is_empty() {
        sent_bytes += send(context, socket, addresses, &Message::Engines(starts));
    }
    if !runs.ended.is_empty() || !runs.confirmed.is_empty() {
        sent_bytes += send(context, socket, addresses, &Message::EngineRuns(runs));
    }
    if !limits.is_empty() {
        let limits = Message::Limits(EngineLimits { node, limits });
        sent_bytes += send(context, socket, addresses, &limits);
    }
    sent_bytes
}

/// Whether a notice came from a relay or from a member.
pub(super) fn notice_source(context: &Context, node: NodeNumber) -> NoticeSource {
    let mut relays = context.dissemination.other_relays().into_iter();
    if relays.any(|relay| relay.number == node) {
        NoticeSource::Relay
    } else {
        NoticeSource::Member
    }
}

/// Applies rate limits reported by another node.
pub(crate) fn handle_limits(context: &Context, limits: &EngineLimits) {
    let source = notice_source(context, limits.node);
    for limit in &limits.limits {
        apply_reported_limit(context, limit, source);
    }
}

/// Applies what another node found about runs of engines.
pub(crate) fn handle_runs(context: &Context, runs: &EngineRuns) {
    let source = notice_source(context, runs.node);
    for start in &runs.ended {
        apply_end(context, *start, source);
    }
    for start in &runs.confirmed {
        apply_confirmed(context, *start, source);
    }
}

/// Applies notices of another node. Notices for unknown engines are dropped, because this node sends
/// them no requests; relays resend the notices.
pub(crate) fn handle(context: &Context, notices: &EngineNotices) {
    let source = notice_source(context, notices.node);
    let is_known = |start: &&EngineStart| {
        let engine = EngineKey(start.engine);
        context.fleet().engine(engine).is_some()
    };
    // Starts first, because a drain notice applies to a particular start.
    for start in notices.starts.iter().filter(is_known) {
        apply_start(
            context,
            EngineKey(start.engine),
            start.started_at_ms,
            source,
        );
    }
    for start in notices.draining.iter().filter(is_known) {
        apply_drain(
            context,
            EngineKey(start.engine),
            start.started_at_ms,
            source,
        );
    }
}
