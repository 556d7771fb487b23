//! Types of decision records.

use dalestand_types::{
    AttemptId, EngineId, Epoch, GroupId, ModelName, OrderId, Placement, Priority, RequestId,
    Revision, Role, RunState, TenantName,
};
use serde::{Deserialize, Serialize};

/// Why an engine was excluded from a decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// Leaving or drained, according to the engine list or the group's holder.
    Leaving,
    /// Out of service for a role change.
    OutOfService,
    /// The role does not run the requested phase.
    WrongRole,
    /// The model or adapter is not loaded.
    NotLoaded,
    /// No free capacity, as far as known.
    Full,
    /// Already tried for this request.
    AlreadyTried,
    /// The last report is too old.
    Silent,
}

/// An engine considered in a decision.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// Name of the engine.
    pub engine: EngineId,
    /// Expected delay in milliseconds; lower is better. `None` if the engine was not scored.
    pub score: Option<f64>,
    /// Why the engine was excluded, if it was.
    pub exclusion: Option<Exclusion>,
    /// Age of the information about the engine, in milliseconds.
    pub information_age_ms: u64,
}

/// Outcome of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// Still running.
    Running,
    /// Prefill is complete and the KV cache is kept for transfer to another engine.
    Prefilled,
    /// The full answer was delivered.
    Complete { tokens: u32 },
    /// The engine did not run the request.
    NotRun { reason: String },
    /// The engine may have run the request.
    Unknown { reason: String },
    /// The caller disconnected.
    Cancelled { tokens: u32 },
}

/// One attempt to serve a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Time of the decision, in milliseconds after the request arrived.
    pub after_ms: u64,
    /// Selected engine.
    pub engine: EngineId,
    /// Phases assigned to the engine.
    pub placement: Placement,
    /// Engines considered.
    pub candidates: Vec<Candidate>,
    /// Outcome of the attempt.
    pub outcome: AttemptOutcome,
}

/// Class, priority and deadlines of a request.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTerms {
    /// Class of the request, if any.
    pub class: Option<String>,
    /// Priority of the request.
    pub priority: Priority,
    /// Time to the first token allowed on arrival, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Time to the end of the answer allowed on arrival, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A decision that no engine can serve a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoEngineRecord {
    /// Time of the decision, in milliseconds after the request arrived.
    pub after_ms: u64,
    /// Reason for the decision.
    pub reason: String,
    /// Retry delay given to the caller, in milliseconds.
    pub retry_after_ms: u64,
    /// Engines considered.
    pub candidates: Vec<Candidate>,
}

/// Decisions about one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// Id of the request.
    pub request: RequestId,
    /// Arrival time, in milliseconds since the Unix epoch; for display only.
    pub unix_ms: u64,
    /// Configuration revision in effect.
    pub revision: Revision,
    /// Requested model.
    pub model: ModelName,
    /// Tenant of the request, if any.
    pub tenant: Option<TenantName>,
    /// Class, priority and deadlines.
    pub terms: RequestTerms,
    /// Attempts, oldest first.
    pub attempts: Vec<AttemptRecord>,
    /// The final decision that no engine can serve the request, if it was made.
    pub no_engine: Option<NoEngineRecord>,
    /// Reason for the rejection, if it was rejected.
    pub refusal: Option<String>,
    /// Whether the request ran, as far as known; `None` while it is running.
    pub run_state: Option<RunState>,
}

/// A decision to change an engine's role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleRecord {
    /// Name of the engine.
    pub engine: EngineId,
    /// Group of the engine.
    pub group: GroupId,
    /// Id of the order.
    pub order: OrderId,
    /// Time of the decision, in milliseconds since the Unix epoch; for display only.
    pub unix_ms: u64,
    /// Lease epoch of the order.
    pub epoch: Epoch,
    /// Configuration revision in effect.
    pub revision: Revision,
    /// Previous role; `None` if out of service.
    pub from: Option<Role>,
    /// Ordered role.
    pub to: Role,
    /// Age of the oldest load report used, in milliseconds.
    pub information_age_ms: u64,
    /// Reason, as text.
    pub reason: String,
}
