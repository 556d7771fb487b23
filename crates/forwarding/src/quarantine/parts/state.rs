//! State of one node for the quarantine of prompt parts.

use std::cell::RefCell;
use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;

use dalestand_quarantine::{PartActivity, PartCrash, PartFingerprint, PartLedger};
use dalestand_types::MonotonicTime;
use tokio::sync::Notify;

use crate::dissemination::notice_queue::NoticeSource;
use crate::dissemination::retransmit_queue::{RetransmitPolicy, RetransmitQueue};

/// Transmission of evidence to other nodes. The queue holds the records of 64 engines with 16 slots that crash at once; a
/// dropped record is one of many for its crash.
const EVIDENCE_POLICY: RetransmitPolicy = RetransmitPolicy {
    transmissions: 3,
    max_per_message: 64,
    max_queued: 1_024,
};

/// Evidence that is to be sent to other nodes.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum QueuedEvidence {
    /// A crash, with the time at which its ages were as recorded.
    Crash(Rc<PartCrash>, MonotonicTime),
    /// Requests with the part complete; the latest completion at the time of sending is sent.
    Completion(PartFingerprint),
}

/// Queues of evidence by recipients.
#[derive(Debug)]
pub(crate) struct EvidenceQueue {
    pub(crate) for_relays: RefCell<RetransmitQueue<QueuedEvidence>>,
    pub(crate) for_members: RefCell<RetransmitQueue<QueuedEvidence>>,
    /// Notified when evidence is added.
    pub(crate) changed: Notify,
}

impl Default for EvidenceQueue {
    fn default() -> Self {
        Self {
            for_relays: RefCell::new(RetransmitQueue::new(EVIDENCE_POLICY)),
            for_members: RefCell::new(RetransmitQueue::new(EVIDENCE_POLICY)),
            changed: Notify::new(),
        }
    }
}

impl EvidenceQueue {
    pub(super) fn push(&self, evidence: QueuedEvidence, source: NoticeSource) {
        if source != NoticeSource::Relay {
            self.for_relays.borrow_mut().push_once(evidence.clone());
        }
        self.for_members.borrow_mut().push_once(evidence);
        self.changed.notify_one();
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.for_relays.borrow().is_empty() && self.for_members.borrow().is_empty()
    }
}

/// State of one node for the quarantine of prompt parts.
#[derive(Default)]
pub(crate) struct PartQuarantine {
    pub(crate) ledger: RefCell<PartLedger>,
    pub(super) activity: RefCell<PartActivity>,
    pub(crate) outgoing: EvidenceQueue,
    /// Parts of which this node saw a crash. It stores them in the key-value service while they are held.
    pub(super) observed_here: RefCell<HashSet<PartFingerprint>>,
    /// Parts whose entries in the key-value service are to be brought up to date.
    pub(super) pending_writes: RefCell<BTreeSet<PartFingerprint>>,
    /// Notified when [`Self::pending_writes`] gets an entry.
    pub(super) write_queued: Notify,
}

impl PartQuarantine {
    /// Queues the entries of all held parts for writing, because the key-value service lost changes.
    pub(crate) fn rewrite_stored(&self) {
        let ledger = self.ledger.borrow();
        let observed = self.observed_here.borrow();
        let held = ledger.held().keys().filter(|part| observed.contains(*part));
        self.pending_writes.borrow_mut().extend(held.copied());
        self.write_queued.notify_one();
    }
}
