//! Requests that end the engines that run them ("queries of death").
//!
//! A caller's request that crashes an engine is sent to another one, and comes again at other nodes
//! under other ids: unless nodes know it again, it takes engine after engine.
//!
//! * [`FingerprintKey`] gives each request a fingerprint that is the same wherever it comes.
//! * [`UnfinishedRuns`] holds what may become evidence: runs without a whole answer, and engines that
//!   ended.
//! * [`CrashLedger`] holds the evidence, as a set that nodes merge, and tells what is stopped.
//! * [`StoppedRequestEntry`] is what outlives the nodes.
//!
//! Everything here is pure: times come in as values, and nothing is sent.

mod completions;
mod fingerprint;
mod ledger;
mod stopped_entry;
mod unfinished;

pub use fingerprint::{
    FingerprintKey, ParseFingerprintError, ParseKeyError, RequestFingerprint, RequestIdentity,
};
pub use ledger::{ApplyOutcome, CrashLedger, CrashRecord, STOP_AFTER_CRASHES, TRIAL_INTERVAL};
pub use stopped_entry::StoppedRequestEntry;
pub use unfinished::{EngineRunId, UnfinishedRuns};
