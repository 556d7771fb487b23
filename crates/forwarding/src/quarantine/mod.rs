//! Requests that end the engines that run them: what this node saw of them, what others tell, and
//! which are stopped.
//!
//! What a node learns must outlive the caller's attempt and reach all nodes, as the request comes
//! again anywhere. Evidence goes to all with the news between nodes; what is stopped is repeated by
//! relays, for nodes that were cut off, and is kept in the key-value service, for fleets that were
//! lost as a whole.

pub(crate) mod engine_end;
pub(crate) mod evidence;
pub(crate) mod fleet_key;
pub(crate) mod operator;
pub(crate) mod run_watch;
pub(crate) mod stored_stops;
pub(crate) mod trial;

use std::cell::{OnceCell, RefCell};
use std::collections::{BTreeSet, HashSet};
use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::KeyValue;
use dalestand_quarantine::{
    CrashLedger, CrashRecord, EngineRun, FingerprintKey, RequestFingerprint, UnfinishedRuns,
};
use dalestand_routing::staged::{EngineKey, rendezvous_weight};
use tokio::sync::Notify;

use crate::context::Context;
use crate::quarantine::trial::TrialPauses;
use crate::spread::repeated_news::{RepeatTerms, RepeatedNews};

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
pub(crate) struct Quarantine {
    /// The fleet's key, once it was read.
    key: OnceCell<FingerprintKey>,
    unfinished: RefCell<UnfinishedRuns>,
    ledger: RefCell<CrashLedger>,
    /// Evidence of this node that is still to be sent.
    pub(crate) news: RefCell<RepeatedNews<CrashRecord>>,
    /// Requests of whose crashes this node saw one: it has the key-value service keep them once they
    /// are stopped.
    seen_here: RefCell<HashSet<RequestFingerprint>>,
    /// Stopped requests that the key-value service is to keep.
    to_store: RefCell<BTreeSet<RequestFingerprint>>,
    /// Rung when there are some.
    store_wanted: Notify,
    /// When this node may ask again to try a stopped request.
    trials: RefCell<TrialPauses>,
    /// The key-value service, which lets one node of the fleet try; set once, at the start.
    pub(crate) store: OnceCell<Rc<dyn KeyValue>>,
    /// Engines that are being asked whether they still listen.
    checked: RefCell<HashSet<EngineKey>>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            key: OnceCell::new(),
            unfinished: RefCell::new(UnfinishedRuns::new(BELONG_TOGETHER)),
            ledger: RefCell::default(),
            news: RefCell::new(RepeatedNews::new(NEWS)),
            seen_here: RefCell::default(),
            to_store: RefCell::default(),
            store_wanted: Notify::new(),
            trials: RefCell::default(),
            store: OnceCell::new(),
            checked: RefCell::default(),
        }
    }
}

impl Quarantine {
    /// The fleet's key; `None` until it was read.
    pub(crate) fn key(&self) -> Option<&FingerprintKey> {
        self.key.get()
    }
}

impl Quarantine {
    /// Has the key-value service keep anew what this node saw crashes of: what it kept under leases is gone.
    pub(crate) fn keep_again(&self) {
        let seen = self.seen_here.borrow();
        self.to_store.borrow_mut().extend(seen.iter().copied());
        self.store_wanted.notify_one();
    }
}

/// The number under which nodes speak of an engine's run: an engine that starts again under its name ends
/// another time.
pub(crate) fn engine_run(context: &Context, engine: EngineKey) -> EngineRun {
    match context.router.borrow().signals.born(engine) {
        0 => EngineRun(engine.0),
        born => EngineRun(rendezvous_weight(engine.0, born)),
    }
}
