//! Quarantine state of one node.

use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::KeyValue;
use dalestand_quarantine::{
    CrashLedger, CrashRecord, FingerprintKey, RequestFingerprint, UnfinishedRequest, UnfinishedRuns,
};
use dalestand_routing::staged::EngineKey;
use dalestand_types::MonotonicTime;
use tokio::sync::Notify;

use crate::dissemination::retransmit_queue::{RetransmitPolicy, RetransmitQueue};
use crate::quarantine::parts::state::PartQuarantine;

/// Lease of a trial, held by one node. Longer than callers wait for an answer, and than other nodes
/// need to learn of a crash.
pub(super) const TRIAL_LEASE: Duration = Duration::from_secs(10);

/// Maximum time between the end of an unfinished run and the detected end of its engine for the two
/// to be matched. An engine's entry lapses after three missed heartbeats (1.5 s); nodes learn of it
/// up to 0.5 s later, or 2 s after an outage of the key-value service.
const MATCH_WINDOW: Duration = Duration::from_secs(5);

/// Transmission of crash records to other nodes: at most 1 KB in a message. The queue holds the
/// records of 64 engines with 16 slots that crash at once; a dropped record is one of many for its
/// crash.
const CRASH_RECORD_POLICY: RetransmitPolicy = RetransmitPolicy {
    transmissions: 3,
    max_per_message: 32,
    max_queued: 1_024,
};

/// Quarantine state of one node.
pub(crate) struct QuarantineState {
    /// The fleet's fingerprint key, once loaded.
    pub(super) key: OnceCell<FingerprintKey>,
    pub(super) unfinished: RefCell<UnfinishedRuns<UnfinishedRequest>>,
    pub(super) ledger: RefCell<CrashLedger>,
    /// The same for parts of prompts.
    pub(crate) parts: PartQuarantine,
    /// Crash records of this node that are still to be sent to other nodes.
    pub(crate) outgoing_records: RefCell<RetransmitQueue<CrashRecord>>,
    /// Requests of which this node saw a crash. It stores them in the key-value service once they
    /// are stopped.
    pub(super) observed_here: RefCell<HashSet<RequestFingerprint>>,
    /// Stopped requests that are still to be written to the key-value service.
    pub(super) pending_writes: RefCell<BTreeSet<RequestFingerprint>>,
    /// Notified when [`Self::pending_writes`] gets an entry.
    pub(super) write_queued: Notify,
    /// Limits how often this node requests a trial.
    pub(super) trial_requests: RefCell<TrialRequests>,
    /// The key-value service, which grants trials to one node at a time; set once at startup.
    pub(crate) store: OnceCell<Rc<dyn KeyValue>>,
    /// Engines for which a listener check is running.
    pub(super) listener_checks: RefCell<HashSet<EngineKey>>,
}

impl Default for QuarantineState {
    fn default() -> Self {
        Self {
            key: OnceCell::new(),
            unfinished: RefCell::new(UnfinishedRuns::new(MATCH_WINDOW)),
            ledger: RefCell::default(),
            parts: PartQuarantine::default(),
            outgoing_records: RefCell::new(RetransmitQueue::new(CRASH_RECORD_POLICY)),
            observed_here: RefCell::default(),
            pending_writes: RefCell::default(),
            write_queued: Notify::new(),
            trial_requests: RefCell::default(),
            store: OnceCell::new(),
            listener_checks: RefCell::default(),
        }
    }
}

impl QuarantineState {
    /// The fleet's fingerprint key; `None` until it is loaded.
    pub(crate) fn key(&self) -> Option<&FingerprintKey> {
        self.key.get()
    }

    /// Sets the fleet's fingerprint key, unless it is known: it never changes.
    pub(crate) fn set_key(&self, key: FingerprintKey) {
        self.key.get_or_init(|| key);
    }

    /// Queues all stopped requests and held parts seen here for writing, because the key-value service lost its
    /// leases and with them the entries.
    pub(crate) fn rewrite_stored(&self) {
        let seen = self.observed_here.borrow();
        self.pending_writes
            .borrow_mut()
            .extend(seen.iter().copied());
        self.write_queued.notify_one();
        self.parts.rewrite_stored();
    }
}

/// Earliest time of the next trial request for each stopped request and held part, by the key of the trial. Without this limit, the
/// key-value service would get a call for each arrival of the request.
#[derive(Debug, Default)]
pub(crate) struct TrialRequests(HashMap<String, MonotonicTime>);

impl TrialRequests {
    /// Whether to request a trial now. If so, no further one is requested for [`TRIAL_LEASE`].
    pub(super) fn may_request(&mut self, now: MonotonicTime, key: &str) -> bool {
        self.0.retain(|_, until| now < *until);
        if self.0.contains_key(key) {
            return false;
        }
        self.0.insert(key.to_owned(), now + TRIAL_LEASE);
        true
    }
}
