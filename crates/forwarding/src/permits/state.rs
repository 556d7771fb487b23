//! Permit state of one node: pending requests, and permits issued to others.

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

/// Consecutive unanswered requests after which a member turns to the next relay; a single one may
/// be due to packet loss.
const MAX_UNANSWERED: u32 = 2;

/// How long a member then skips the unresponsive relay.
const SKIP_TIME: Duration = Duration::from_secs(1);

/// A permit request that was sent.
pub(crate) struct PendingRequest {
    pub(super) engine: EngineKey,
    pub(super) sent_at: MonotonicTime,
    /// Notified when the answer arrives.
    pub(super) answer_sender: Option<oneshot::Sender<()>>,
}

/// Consecutive requests that a relay left unanswered.
#[derive(Clone, Copy, Debug, Default)]
struct UnansweredRequests {
    count: u32,
    last_at: MonotonicTime,
}

/// Pending requests and issued permits of one node.
pub(crate) struct PermitState {
    pub(super) issuer: RefCell<PermitIssuer>,
    pub(super) pending: RefCell<HashMap<u64, PendingRequest>>,
    pub(super) last_request_number: Cell<u64>,
    unanswered: RefCell<HashMap<NodeNumber, UnansweredRequests>>,
    /// Set once at startup.
    pub(crate) socket: OnceCell<Rc<UdpSocket>>,
}

impl Default for PermitState {
    fn default() -> Self {
        Self {
            issuer: RefCell::default(),
            pending: RefCell::default(),
            // A random start, so that answers to requests from before a restart are not mistaken
            // for new ones.
            last_request_number: Cell::new(rand::random::<u32>().into()),
            unanswered: RefCell::default(),
            socket: OnceCell::new(),
        }
    }
}

impl PermitState {
    /// Number of engines for which this node recently issued permits.
    pub(crate) fn issuing_engine_count(&self) -> usize {
        self.issuer.borrow().len()
    }

    /// Records that a relay answered a request.
    pub(super) fn record_answered(&self, relay: NodeNumber) {
        self.unanswered.borrow_mut().remove(&relay);
    }

    /// Records that a relay left a request unanswered.
    pub(super) fn record_unanswered(&self, relay: NodeNumber, now: MonotonicTime) {
        let mut unanswered = self.unanswered.borrow_mut();
        let known = unanswered.entry(relay).or_default();
        known.count += 1;
        known.last_at = now;
    }

    /// Whether a relay left so many requests unanswered that the next one is used instead.
    pub(super) fn is_skipped(&self, relay: NodeNumber, now: MonotonicTime) -> bool {
        let unanswered = self.unanswered.borrow();
        unanswered.get(&relay).is_some_and(|known| {
            known.count >= MAX_UNANSWERED && now.since(known.last_at) < SKIP_TIME
        })
    }
}
