//! Requests that end the engines that run them ("queries of death").
//!
//! A caller's request that crashes an engine is sent to another one, and comes again at other nodes
//! under other ids: unless nodes know it again, it takes engine after engine.
//!
//! * [`FingerprintKey`] gives each request a fingerprint that is the same wherever it comes.
//! * [`UnfinishedRuns`] holds what may become evidence: runs without a whole answer, and engines that
//!   ended.
//! * [`CrashLedger`] holds the evidence, as a set that nodes merge, and tells what is stopped.
//! * [`StoredStop`] is what outlives the nodes.
//!
//! Everything here is pure: times come in as values, and nothing is sent.

mod completions;
mod fingerprint;
mod ledger;
mod stored;
mod unfinished;

pub use fingerprint::{
    FingerprintKey, NotAFingerprint, NotAKey, RequestFingerprint, RequestIdentity,
};
pub use ledger::{CRASHES_ALLOWED, CrashLedger, CrashRecord, TRIAL_INTERVAL, Taken};
pub use stored::StoredStop;
pub use unfinished::{EngineRun, UnfinishedRuns};
