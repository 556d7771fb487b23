//! What engines said of themselves, on its way to other nodes.

use std::cell::{Cell, RefCell};

use dalestand_dissemination::EngineStart;
use dalestand_routing::staged::EngineKey;
use tokio::sync::Notify;

use crate::dissemination::retransmit_queue::{RetransmitPolicy, RetransmitQueue};

/// Engines in one message: 0.9 KB, below what a path carries in one packet.
pub(super) const PER_MESSAGE: usize = 48;

/// Each notice goes out with three messages. Those that wait are the engines of a release of a whole zone;
/// what is dropped is named again by the relays.
const TERMS: RetransmitPolicy = RetransmitPolicy {
    transmissions: 3,
    max_per_message: PER_MESSAGE,
    max_queued: 4_096,
};

/// How a node learnt what it is to tell.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoticeSource {
    /// From the engine's answer to this node.
    OwnAnswer,
    /// From the engine's entry in the key-value service.
    Entry,
    /// From a member of this relay.
    Member,
    /// From a relay, which tells the other relays itself.
    Relay,
}

/// What is told of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineNotice {
    /// It drains.
    Drains(EngineStart),
    /// It started.
    Started(EngineStart),
    /// How many requests it takes has changed; what is known of it goes out.
    Limit(EngineKey),
}

/// Notices on their way to other nodes.
#[derive(Debug)]
pub(crate) struct NoticeQueue {
    pub(super) for_relays: RefCell<RetransmitQueue<EngineNotice>>,
    pub(super) for_members: RefCell<RetransmitQueue<EngineNotice>>,
    /// Rung when there are some.
    pub(super) changed: Notify,
    /// Messages in which this relay has named what stands, so that all comes by turns.
    pub(super) turn: Cell<usize>,
}

impl Default for NoticeQueue {
    fn default() -> Self {
        Self {
            for_relays: RefCell::new(RetransmitQueue::new(TERMS)),
            for_members: RefCell::new(RetransmitQueue::new(TERMS)),
            changed: Notify::new(),
            turn: Cell::new(0),
        }
    }
}

impl NoticeQueue {
    /// Has a notice told.
    pub(crate) fn push(&self, notice: EngineNotice, source: NoticeSource) {
        if source != NoticeSource::Relay {
            self.for_relays.borrow_mut().push(notice);
        }
        self.for_members.borrow_mut().push(notice);
        self.changed.notify_one();
    }

    /// Whether nothing is to be told.
    pub(super) fn is_empty(&self) -> bool {
        self.for_relays.borrow().is_empty() && self.for_members.borrow().is_empty()
    }
}
