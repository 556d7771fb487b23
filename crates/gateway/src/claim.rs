//! Border to the record of requests that may run at most once.
//!
//! The gateway asks before the first dispatch of such a request and reports how it ended. What
//! stands behind the trait may live on another thread and reach other nodes; the gateway only
//! awaits its answer and treats no answer as a refusal.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use dalestand_types::{FinishReason, RequestId, RunState, TenantName, Usage};
use serde::{Deserialize, Serialize};

/// A caller's `Idempotency-Key`, within the scope of its tenant.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey {
    /// The tenant; callers without a key share one scope.
    pub tenant: Option<TenantName>,
    /// The key as the caller sent it.
    pub key: Arc<str>,
}

/// Hash of all that decides a request's answer, so that a key repeated with another request is
/// told apart from a repeated request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RequestFingerprint(pub [u8; 32]);

/// Wish to run a request under a key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key.
    pub key: ClaimKey,
    /// The request that is to run under it.
    pub request: RequestId,
    /// What it asks for.
    pub fingerprint: RequestFingerprint,
}

/// A whole answer, kept so that a repeated request gets it instead of a second run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptAnswer {
    /// The text.
    pub text: String,
    /// Why generation ended.
    pub reason: FinishReason,
    /// Token counts.
    pub usage: Usage,
}

/// Answer to a claim.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// This request, and no other under the key, may be dispatched.
    Granted,
    /// Another request ran under the key. Without an answer its result is not known or not kept.
    Duplicate {
        first: RequestId,
        run_state: RunState,
        answer: Option<KeptAnswer>,
    },
    /// Another request runs under the key now.
    InProgress { retry_after: Duration },
    /// The key was used for a request that asked for something else.
    KeyReused,
    /// No claim can be made now; the request was not dispatched.
    Refused {
        reason: String,
        retry_after: Duration,
    },
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimEnd {
    /// What is known of whether it ran. After `NotRun` the key may be claimed again.
    pub run_state: RunState,
    /// The answer, if it is whole.
    pub answer: Option<KeptAnswer>,
}

/// Grants claims. Its futures run on the arbiter that serves the caller.
#[async_trait(?Send)]
pub trait ClaimGate: Send + Sync {
    /// Claims a key before the first dispatch.
    async fn claim(&self, claim: &ClaimRequest) -> ClaimOutcome;

    /// Reports the end of a request whose claim was granted. Must not block: it is called from
    /// destructors too.
    fn finish(&self, claim: &ClaimRequest, end: ClaimEnd);
}
