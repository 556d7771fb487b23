//! Announcements by engines that are to be sent to other nodes.

use std::cell::{Cell, RefCell};

use dalestand_dissemination::EngineStart;
use dalestand_routing::staged::EngineKey;
use tokio::sync::Notify;

use crate::dissemination::retransmit_queue::{RetransmitPolicy, RetransmitQueue};

/// Engines per message; the message takes 0.9 KB and fits one packet.
pub(super) const MAX_NOTICES_PER_MESSAGE: usize = 48;

/// The queue holds the notices of a rolling update of a whole zone. Relays resend the state of
/// engines whose notices were dropped.
const RETRANSMIT_POLICY: RetransmitPolicy = RetransmitPolicy {
    transmissions: 3,
    max_per_message: MAX_NOTICES_PER_MESSAGE,
    max_queued: 4_096,
};

/// Where a node learned of a notice.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NoticeSource {
    /// An answer of the engine to this node.
    OwnAnswer,
    /// The engine's entry in the key-value service.
    Entry,
    /// A member of this relay.
    Member,
    /// A relay, which informs the other relays itself.
    Relay,
}

/// A notice about one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineNotice {
    /// It is draining.
    Drains(EngineStart),
    /// It started.
    Started(EngineStart),
    /// A start of it has ended, and nothing is known of what listens at its address.
    Ended(EngineStart),
    /// It has just confirmed that a start of it goes on.
    Confirmed(EngineStart),
    /// Its rate limit changed; the limit known at the time of sending is sent.
    Limit(EngineKey),
}

/// Notices that are to be sent to other nodes.
#[derive(Debug)]
pub(crate) struct NoticeQueue {
    pub(super) for_relays: RefCell<RetransmitQueue<EngineNotice>>,
    pub(super) for_members: RefCell<RetransmitQueue<EngineNotice>>,
    /// Signalled when a notice is added.
    pub(super) changed: Notify,
    /// Counts the rounds in which this relay sent the current state.
    pub(super) turn: Cell<usize>,
}

impl Default for NoticeQueue {
    fn default() -> Self {
        Self {
            for_relays: RefCell::new(RetransmitQueue::new(RETRANSMIT_POLICY)),
            for_members: RefCell::new(RetransmitQueue::new(RETRANSMIT_POLICY)),
            changed: Notify::new(),
            turn: Cell::new(0),
        }
    }
}

impl NoticeQueue {
    /// Queues a notice.
    pub(crate) fn push(&self, notice: EngineNotice, source: NoticeSource) {
        if source != NoticeSource::Relay {
            self.for_relays.borrow_mut().push(notice);
        }
        self.for_members.borrow_mut().push(notice);
        self.changed.notify_one();
    }

    pub(super) fn is_empty(&self) -> bool {
        self.for_relays.borrow().is_empty() && self.for_members.borrow().is_empty()
    }
}
