//! Leave to send requests to engines that take only so many a second of all nodes together.
//!
//! One relay issues an engine's permits: the first of all relays, in an order of the engine's own, that is heard.
//! A node that knows of the limit asks that relay before each request ([`passage`], [`asking`]); no answer means
//! no permit, and the request goes to another engine. Nothing is sent for engines without a limit.

pub(crate) mod asking;
pub(crate) mod issuing;
pub(crate) mod passage;

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{NodeNumber, Relay};
use dalestand_routing::shared_rate::PermitIssuer;
use dalestand_routing::staged::EngineKey;
use dalestand_types::MonotonicTime;
use tokio::net::UdpSocket;

use crate::context::Context;
use crate::permits::asking::Asked;

/// A node that has just started issues nothing for this time: it hears of the other nodes meanwhile, and one that
/// knew only itself would issue what another issues already. Entries are read within a second.
const LEARNING: Duration = Duration::from_secs(2);

/// A member goes to the next relay after so many questions in a row that had no answer. One may be lost.
const UNANSWERED_ALLOWED: u32 = 2;

/// For how long it then passes the silent relay over.
const PASSED_OVER: Duration = Duration::from_secs(1);

/// Questions in a row that a relay left unanswered.
#[derive(Clone, Copy, Debug, Default)]
struct Unanswered {
    count: u32,
    last_at: MonotonicTime,
}

/// What a node asks for and issues.
pub(crate) struct PermitDesk {
    issuer: RefCell<PermitIssuer>,
    asked: RefCell<HashMap<u64, Asked>>,
    last_number: Cell<u64>,
    unanswered: RefCell<HashMap<NodeNumber, Unanswered>>,
    /// Set once, at the start.
    pub(crate) socket: OnceCell<Rc<UdpSocket>>,
}

impl Default for PermitDesk {
    fn default() -> Self {
        Self {
            issuer: RefCell::default(),
            asked: RefCell::default(),
            // Answers to a former life of this node are not taken for answers to this one.
            last_number: Cell::new(rand::random::<u32>().into()),
            unanswered: RefCell::default(),
            socket: OnceCell::new(),
        }
    }
}

impl PermitDesk {
    /// Engines for which permits were asked for here lately.
    pub(crate) fn issued_for(&self) -> usize {
        self.issuer.borrow().len()
    }

    fn has_answered(&self, relay: NodeNumber) {
        self.unanswered.borrow_mut().remove(&relay);
    }

    fn has_not_answered(&self, relay: NodeNumber, now: MonotonicTime) {
        let mut unanswered = self.unanswered.borrow_mut();
        let known = unanswered.entry(relay).or_default();
        known.count += 1;
        known.last_at = now;
    }

    fn is_passed_over(&self, relay: NodeNumber, now: MonotonicTime) -> bool {
        let unanswered = self.unanswered.borrow();
        unanswered.get(&relay).is_some_and(|known| {
            known.count >= UNANSWERED_ALLOWED && now.since(known.last_at) < PASSED_OVER
        })
    }
}

/// Who issues an engine's permits.
#[derive(Clone, Debug, PartialEq, Eq)]
enum IssuerPlace {
    /// This node.
    Here,
    /// Another one.
    At(Relay),
    /// It is not known.
    Unknown,
}

/// Who issues an engine's permits, as far as this node knows.
///
/// A relay judges the others by what it hears of them, and never by questions alone that were lost on their way:
/// it would issue itself while another does.
fn issuer_of(context: &Context, engine: EngineKey) -> IssuerPlace {
    let now = context.now();
    let spread = &context.spread;
    if now.since(MonotonicTime::ZERO) < LEARNING {
        return IssuerPlace::Unknown;
    }
    let is_relay = spread.role(now).is_relay;
    for relay in spread.issuers(engine, is_relay) {
        if relay.number == spread.node {
            return if spread.has_listed_nodes() {
                IssuerPlace::Here
            } else {
                IssuerPlace::Unknown
            };
        }
        let is_there = if is_relay {
            spread.is_heard(relay.address, now)
        } else {
            !context.permits.is_passed_over(relay.number, now)
        };
        if is_there {
            return IssuerPlace::At(relay);
        }
    }
    IssuerPlace::Unknown
}
