//! Requests that end the engines that run them: what this node saw of them.

pub(crate) mod engine_end;
pub(crate) mod fleet_key;
pub(crate) mod run_watch;

use std::cell::{OnceCell, RefCell};
use std::collections::HashSet;
use std::time::Duration;

use dalestand_quarantine::{EngineRun, FingerprintKey, UnfinishedRuns};
use dalestand_routing::staged::EngineKey;

/// A run that ends without a whole answer and the end of its engine belong together within this time.
/// An entry lapses after three heartbeats of its engine, about 1.5 s, and is heard of up to 0.5 s
/// later, or 2 s later after the key-value service was away.
const BELONG_TOGETHER: Duration = Duration::from_secs(5);

/// What this node knows of requests that end engines.
pub(crate) struct Quarantine {
    /// The fleet's key, once it was read.
    key: OnceCell<FingerprintKey>,
    unfinished: RefCell<UnfinishedRuns>,
    /// Engines that are being asked whether they still listen.
    checked: RefCell<HashSet<EngineKey>>,
}

impl Default for Quarantine {
    fn default() -> Self {
        Self {
            key: OnceCell::new(),
            unfinished: RefCell::new(UnfinishedRuns::new(BELONG_TOGETHER)),
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

/// The number under which nodes speak of an engine's run.
pub(crate) fn engine_run(engine: EngineKey) -> EngineRun {
    EngineRun(engine.0)
}
