//! Interface to the record of requests that run at most once.
//!
//! The gateway claims the idempotency key before the first dispatch of such a request and reports
//! how the request ended. The implementation of [`ClaimGate`] may run on another thread and call
//! other nodes; the gateway only awaits its answer.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_types::{FinishReason, RequestId, RunState, TenantName, Usage};
use serde::{Deserialize, Serialize};

/// A caller's `Idempotency-Key`, scoped to its tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The tenant; callers without an API key share one scope.
    pub tenant: Option<TenantName>,
    /// The key as the caller sent it.
    pub key: Arc<str>,
}

/// Hash of all fields of a request that determine its answer. It distinguishes a repeated request from
/// a different request under the same key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(pub [u8; 32]);

/// Claim of a key for a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    pub key: ClaimKey,
    /// The request to run under the key.
    pub request: RequestId,
    /// Fingerprint of the request.
    pub fingerprint: RequestFingerprint,
}

/// A complete answer, stored so that a repeated request returns it without a second run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    pub text: String,
    /// Why generation ended.
    pub reason: FinishReason,
    pub usage: Usage,
}

/// Outcome of a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// This request may be dispatched, and no other one under the key.
    Granted,
    /// Another request has ended under the key. Without an answer, its result is unknown or no longer
    /// stored.
    Duplicate {
        first: RequestId,
        run_state: RunState,
        answer: Option<KeptAnswer>,
    },
    /// Another request under the key is running.
    InProgress { retry_after: Duration },
    /// The key was used for a request with another fingerprint.
    KeyReused,
    /// No claim can be made now, so the request must not be dispatched.
    Refused {
        reason: String,
        retry_after: Duration,
    },
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEnd {
    /// What is known about whether the request ran. After `NotRun` the key can be claimed again.
    pub run_state: RunState,
    /// The answer, if it is complete.
    pub answer: Option<KeptAnswer>,
}

/// Grants claims. Its futures run on the arbiter that serves the caller.
#[async_trait(?Send)]
pub trait ClaimGate: Send + Sync {
    /// Claims a key before the first dispatch.
    async fn claim(&self, claim: &ClaimRequest) -> ClaimOutcome;

    /// Reports the end of a request whose claim was granted. Must not block, since destructors call it.
    fn finish(&self, claim: &ClaimRequest, end: ClaimEnd);
}
