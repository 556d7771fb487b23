//! What this node knows of requests that end engines.

use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeSet, HashMap, HashSet};
use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::KeyValue;
use dalestand_quarantine::{
    CrashLedger, CrashRecord, FingerprintKey, RequestFingerprint, UnfinishedRuns,
};
use dalestand_routing::staged::EngineKey;
use dalestand_types::MonotonicTime;
use tokio::sync::Notify;

use crate::spread::repeated_news::{RepeatTerms, RepeatedNews};

/// For how long one node may try a request: longer than callers wait for an answer and other nodes need
/// to hear of it.
pub(super) const TRIAL_HELD: Duration = Duration::from_secs(10);

/// A run that ends without a whole answer and the end of its engine belong together within this time.
/// An entry lapses after three heartbeats of its engine, about 1.5 s, and is heard of up to 0.5 s
/// later, or 2 s later after the key-value service was away.
const BELONG_TOGETHER: Duration = Duration::from_secs(5);

/// How evidence is told: 1 KB in one message; those that wait are the records of 64 engines of 16 slots
/// that end at once. What is dropped was near one crash of many.
const NEWS: RepeatTerms = RepeatTerms {
    repeats: 3,
    per_message: 32,
    waiting: 1_024,
};

/// What this node knows of requests that end engines.
pub(crate) struct QuarantineState {
    /// The fleet's key, once it was read.
    pub(super) key: OnceCell<FingerprintKey>,
    pub(super) unfinished: RefCell<UnfinishedRuns>,
    pub(super) ledger: RefCell<CrashLedger>,
    /// Evidence of this node that is still to be sent.
    pub(crate) outgoing_records: RefCell<RepeatedNews<CrashRecord>>,
    /// Requests of whose crashes this node saw one: it has the key-value service keep them once they
    /// are stopped.
    pub(super) seen_here: RefCell<HashSet<RequestFingerprint>>,
    /// Stopped requests that the key-value service is to keep.
    pub(super) to_store: RefCell<BTreeSet<RequestFingerprint>>,
    /// Rung when there are some.
    pub(super) store_wanted: Notify,
    /// When this node may ask again to try a stopped request.
    pub(super) trials: RefCell<TrialPauses>,
    /// The key-value service, which lets one node of the fleet try; set once, at the start.
    pub(crate) store: OnceCell<Rc<dyn KeyValue>>,
    /// Engines that are being asked whether they still listen.
    pub(super) checked: RefCell<HashSet<EngineKey>>,
}

impl Default for QuarantineState {
    fn default() -> Self {
        Self {
            key: OnceCell::new(),
            unfinished: RefCell::new(UnfinishedRuns::new(BELONG_TOGETHER)),
            ledger: RefCell::default(),
            outgoing_records: RefCell::new(RepeatedNews::new(NEWS)),
            seen_here: RefCell::default(),
            to_store: RefCell::default(),
            store_wanted: Notify::new(),
            trials: RefCell::default(),
            store: OnceCell::new(),
            checked: RefCell::default(),
        }
    }
}

impl QuarantineState {
    /// The fleet's key; `None` until it was read.
    pub(crate) fn key(&self) -> Option<&FingerprintKey> {
        self.key.get()
    }

    /// Has the key-value service keep anew what this node saw crashes of: what it kept under leases is gone.
    pub(crate) fn rewrite_stored(&self) {
        let seen = self.seen_here.borrow();
        self.to_store.borrow_mut().extend(seen.iter().copied());
        self.store_wanted.notify_one();
    }
}

/// When this node may ask again to try a request: asked at each arrival, the key-value service would
/// get as many calls as the request comes.
#[derive(Debug, Default)]
pub(crate) struct TrialPauses(HashMap<RequestFingerprint, MonotonicTime>);

impl TrialPauses {
    /// Whether to ask now; asked, it is not asked again for [`TRIAL_HELD`].
    pub(super) fn may_ask(&mut self, now: MonotonicTime, fingerprint: RequestFingerprint) -> bool {
        self.0.retain(|_, until| now < *until);
        if self.0.contains_key(&fingerprint) {
            return false;
        }
        self.0.insert(fingerprint, now + TRIAL_HELD);
        true
    }
}
