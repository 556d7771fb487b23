//! The gate that a request which may not be repeated passes before its first dispatch.

use std::time::Duration;

use async_trait::async_trait;
use dalestand_types::{ClaimId, TenantName};

/// A request that may run once, as its caller named it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The caller's tenant; keys of different tenants are different.
    pub tenant: Option<TenantName>,
    /// The caller's `Idempotency-Key`.
    pub key: String,
    /// BLAKE3 hash of the request's body.
    pub body_hash: [u8; 32],
}

/// What the gate says of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The key is claimed for this request and for no other: it may be dispatched, and its end
    /// must be told to [`ClaimGate::finish`].
    Granted(ClaimId),
    /// An earlier request under the key ran to its end. It must not run again.
    Completed,
    /// An earlier request under the key may be running; the caller may come back.
    InProgress { retry_after: Duration },
    /// An earlier request under the key may have run and its end is not known.
    Unknown,
    /// The key was used with another body.
    OtherBody,
    /// The key could not be claimed now. The request did not run.
    Refused { retry_after: Duration },
}

/// How a claimed request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimEnd {
    /// It certainly did not run: the key is free again.
    NotRun,
    /// It ran to its end.
    Complete,
    /// It may have run.
    Unknown,
}

/// Claims keys for requests that may not be repeated, over all nodes.
#[async_trait]
pub trait ClaimGate: Send + Sync {
    /// Claims the request's key.
    async fn claim(&self, request: ClaimRequest) -> ClaimOutcome;

    /// Tells the end of a request whose claim was granted. Safe to call once only; a claim whose
    /// end is never told stays and its end counts as unknown.
    fn finish(&self, claim: ClaimId, end: ClaimEnd);
}
