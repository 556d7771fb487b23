//! Tells other nodes which engines have said in an answer that they drain.
//!
//! An engine's entry says so too, but late or never while the key-value service is away: just then the
//! nodes that the engine answers must tell the others. What is lost is repaired by the relays, which name
//! once a second all engines that drain while their entries say otherwise.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_dissemination::{DrainingEngines, Message, ReportTarget};
use dalestand_routing::staged::EngineKey;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::context::Context;
use crate::fleet::signals::take_drain;
use crate::spread::datagram::send;
use crate::spread::repeated_news::{RepeatTerms, RepeatedNews};

/// Engines in one message: 1.2 KB, below what a path carries in one packet.
const PER_MESSAGE: usize = 128;

/// Each of them goes out with three messages. Those that wait are the engines of a release of a whole
/// zone; what is dropped is named again by the relays.
const TERMS: RepeatTerms = RepeatTerms {
    repeats: 3,
    per_message: PER_MESSAGE,
    waiting: 4_096,
};

/// Time between messages that carry the same.
const REPEAT_INTERVAL: Duration = Duration::from_millis(100);

/// How often a relay names the engines that drain while their entries say otherwise: within the shortest
/// drain bound (2 s) a node that lost the news hears twice.
const NAMED_INTERVAL: Duration = Duration::from_secs(1);

/// How a node learnt that an engine drains.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DrainSource {
    /// The engine said so to this node.
    OwnAnswer,
    /// A member of this relay said so.
    Member,
    /// A relay said so, which tells the other relays itself.
    Relay,
}

/// Engines that drain, on their way to other nodes.
#[derive(Debug)]
pub(crate) struct DrainNews {
    for_relays: RefCell<RepeatedNews<EngineKey>>,
    for_members: RefCell<RepeatedNews<EngineKey>>,
    /// Rung when there are some.
    changed: Notify,
    /// Messages in which the relay has named those that still drain, so that all come by turns.
    turn: Cell<usize>,
}

impl Default for DrainNews {
    fn default() -> Self {
        Self {
            for_relays: RefCell::new(RepeatedNews::new(TERMS)),
            for_members: RefCell::new(RepeatedNews::new(TERMS)),
            changed: Notify::new(),
            turn: Cell::new(0),
        }
    }
}

impl DrainNews {
    /// Has an engine told of.
    pub(crate) fn push(&self, engine: EngineKey, source: DrainSource) {
        if source != DrainSource::Relay {
            self.for_relays.borrow_mut().push(engine);
        }
        self.for_members.borrow_mut().push(engine);
        self.changed.notify_one();
    }

    fn is_empty(&self) -> bool {
        self.for_relays.borrow().is_empty() && self.for_members.borrow().is_empty()
    }
}

/// Sends what is to be told, for as long as it is polled.
pub(crate) async fn send_draining(context: Rc<Context>, socket: Rc<UdpSocket>) {
    let mut named_at = BootInstant::now();
    loop {
        let news = &context.spread.draining;
        if news.is_empty() {
            let changed = tokio::time::timeout(NAMED_INTERVAL, news.changed.notified());
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
    let news = &context.spread.draining;
    let named = if names_all {
        still_draining(context)
    } else {
        Vec::new()
    };
    let relays = context.spread.exchange_addresses(context.now());
    let relays: Vec<SocketAddr> = relays.into_iter().collect();
    let members = context.spread.subscribers.borrow().addresses();
    let for_relays = news.for_relays.borrow_mut().take();
    let for_members = news.for_members.borrow_mut().take();
    tell(context, socket, &relays, &for_relays)
        + tell(context, socket, &members, &for_members)
        + tell(context, socket, &relays, &named)
        + tell(context, socket, &members, &named)
}

fn send_as_member(context: &Context, socket: &UdpSocket) -> usize {
    let news = &context.spread.draining;
    news.for_members.borrow_mut().clear();
    let target = context.spread.subscription.borrow().target(context.now());
    let addresses: Vec<SocketAddr> = match target {
        ReportTarget::Subscribed(relay) => vec![relay.address],
        ReportTarget::Probe(relays) => relays.iter().map(|relay| relay.address).collect(),
    };
    let engines = news.for_relays.borrow_mut().take();
    tell(context, socket, &addresses, &engines)
}

/// Engines that drain while their entries say otherwise; all by turns, where they are many.
fn still_draining(context: &Context) -> Vec<EngineKey> {
    let fleet = context.fleet();
    let draining = fleet.draining();
    let turns = draining.len().div_ceil(PER_MESSAGE).max(1);
    let turn = &context.spread.draining.turn;
    turn.set((turn.get() + 1) % turns);
    draining
        .skip(turn.get() * PER_MESSAGE)
        .take(PER_MESSAGE)
        .collect()
}

fn tell(
    context: &Context,
    socket: &UdpSocket,
    addresses: &[SocketAddr],
    engines: &[EngineKey],
) -> usize {
    if engines.is_empty() || addresses.is_empty() {
        return 0;
    }
    let message = DrainingEngines {
        node: context.spread.node,
        engines: engines.iter().map(|engine| engine.0).collect(),
    };
    send(context, socket, addresses, &Message::Draining(message))
}

/// Takes in what another node tells. Engines that this node does not know get nothing from it either;
/// relays name them again.
pub(crate) fn take(context: &Context, message: &DrainingEngines) {
    let mut relays = context.spread.other_relays().into_iter();
    let source = if relays.any(|relay| relay.number == message.node) {
        DrainSource::Relay
    } else {
        DrainSource::Member
    };
    for engine in &message.engines {
        let engine = EngineKey(*engine);
        let is_known = context.fleet().engine(engine).is_some();
        if is_known {
            take_drain(context, engine, source);
        }
    }
}
