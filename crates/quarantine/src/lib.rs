//! Requests that end the engines that run them ("queries of death").
//!
//! A caller's request that crashes an engine is sent to another one, and comes again at other nodes
//! under other ids: unless nodes know it again, it takes engine after engine.
//!
//! * [`FingerprintKey`] gives each request a fingerprint that is the same wherever it comes.
//! * [`UnfinishedRuns`] holds what may become evidence: runs without a whole answer, and engines that
//!   ended.
//!
//! Everything here is pure: times come in as values, and nothing is sent.

mod fingerprint;
mod unfinished;

pub use fingerprint::{
    FingerprintKey, NotAFingerprint, NotAKey, RequestFingerprint, RequestIdentity,
};
pub use unfinished::{EngineRun, UnfinishedRuns};
