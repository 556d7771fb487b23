//! What a node asked for, and what it issues.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::NodeNumber;
use dalestand_routing::shared_rate::PermitIssuer;
use dalestand_routing::staged::EngineKey;
use dalestand_types::MonotonicTime;
use tokio::net::UdpSocket;
use tokio::sync::oneshot;

/// A member goes to the next relay after so many questions in a row that had no answer. One may be lost.
const UNANSWERED_ALLOWED: u32 = 2;

/// For how long it then passes the silent relay over.
const PASSED_OVER: Duration = Duration::from_secs(1);

/// A question that was sent.
pub(crate) struct Asked {
    pub(super) engine: EngineKey,
    pub(super) at: MonotonicTime,
    /// Rung by the answer.
    pub(super) answered: Option<oneshot::Sender<()>>,
}

/// Questions in a row that a relay left unanswered.
#[derive(Clone, Copy, Debug, Default)]
struct Unanswered {
    count: u32,
    last_at: MonotonicTime,
}

/// What a node asks for and issues.
pub(crate) struct PermitState {
    pub(super) issuer: RefCell<PermitIssuer>,
    pub(super) asked: RefCell<HashMap<u64, Asked>>,
    pub(super) last_number: Cell<u64>,
    unanswered: RefCell<HashMap<NodeNumber, Unanswered>>,
    /// Set once, at the start.
    pub(crate) socket: OnceCell<Rc<UdpSocket>>,
}

impl Default for PermitState {
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

impl PermitState {
    /// Engines for which permits were asked for here lately.
    pub(crate) fn issuing_engine_count(&self) -> usize {
        self.issuer.borrow().len()
    }

    /// Notes that a relay answered a question.
    pub(super) fn has_answered(&self, relay: NodeNumber) {
        self.unanswered.borrow_mut().remove(&relay);
    }

    /// Notes that a relay left a question unanswered.
    pub(super) fn has_not_answered(&self, relay: NodeNumber, now: MonotonicTime) {
        let mut unanswered = self.unanswered.borrow_mut();
        let known = unanswered.entry(relay).or_default();
        known.count += 1;
        known.last_at = now;
    }

    /// Whether a relay left so many questions unanswered that the next one is asked.
    pub(super) fn is_passed_over(&self, relay: NodeNumber, now: MonotonicTime) -> bool {
        let unanswered = self.unanswered.borrow();
        unanswered.get(&relay).is_some_and(|known| {
            known.count >= UNANSWERED_ALLOWED && now.since(known.last_at) < PASSED_OVER
        })
    }
}
