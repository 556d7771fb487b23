//! Detection of requests that crash the engines that run them ("queries of death").
//!
//! Without it, such a request is retried at another engine, or sent again by its caller under
//! another id and to another node, and crashes one engine after the other. A request to which
//! enough crashes are attributed is *stopped*: nodes refuse it, apart from occasional trials.
//!
//! * [`FingerprintKey`] computes the fingerprint by which nodes recognize a request.
//! * [`UnfinishedRuns`] matches runs without a complete answer with engines that ended.
//! * [`CrashLedger`] holds the resulting evidence, as a set that nodes merge, and decides which
//!   requests are stopped.
//! * [`PartLedger`] does the same for parts of prompts: requests with nothing else in common crash engines because of one
//!   part, which is then *held*.
//! * [`StoppedRequestEntry`] is the form in which the key-value service keeps a stopped request.
//!
//! This crate does no I/O and has no clock: callers pass the time in.

mod completions;
mod fingerprint;
mod ledger;
mod parts;
mod stopped_entry;
mod unfinished;

pub use fingerprint::{
    FingerprintKey, ParseFingerprintError, ParseKeyError, ParsePartFingerprintError,
    PartFingerprint, RequestFingerprint, RequestIdentity,
};
pub use ledger::{ApplyOutcome, CrashLedger, CrashRecord, STOP_AFTER_CRASHES, TRIAL_INTERVAL};
pub use parts::{
    HeldPart, HeldPartEntry, PartActivity, PartChange, PartCompletion, PartCrash, PartLedger,
    StoredPartCrash, SuspectPart,
};
pub use stopped_entry::StoppedRequestEntry;
pub use unfinished::{EngineRunId, UnfinishedRequest, UnfinishedRuns};
