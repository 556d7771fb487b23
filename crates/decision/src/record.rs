//! Typed records of decisions.

use dalestand_types::{
    AttemptId, EngineId, Epoch, GroupId, ModelName, OrderId, Placement, Priority, RequestId,
    Revision, Role, RunState, TenantName,
};
use serde::{Deserialize, Serialize};

/// Why an engine was no candidate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Exclusion {
    /// The machine list or the holder says that it is leaving or drained.
    Leaving,
    /// Out of service for a role change.
    OutOfService,
    /// Its role does not run the phase asked for.
    WrongRole,
    /// The model or adapter is not loaded.
    NotLoaded,
    /// No room, as far as is known.
    Full,
    /// Tried before for this request.
    AlreadyTried,
    /// Nothing was heard of it for too long.
    Silent,
}

/// One engine that was looked at.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Candidate {
    /// The engine.
    pub engine: EngineId,
    /// Its score, lower is better; in milliseconds of expected delay.
    pub score: Option<f64>,
    /// Why it was left out.
    pub exclusion: Option<Exclusion>,
    /// Age of what was known of it, in milliseconds.
    pub information_age_ms: u64,
}

/// What came of one attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum AttemptOutcome {
    /// Still running.
    Running,
    /// The prompt ran and its KV cache is held for another engine.
    Prefilled,
    /// The whole answer was delivered.
    Complete { tokens: u32 },
    /// It did not run there.
    NotRun { reason: String },
    /// It may have run.
    Unknown { reason: String },
    /// The caller went away.
    Cancelled { tokens: u32 },
}

/// One attempt to serve a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptRecord {
    /// The attempt.
    pub attempt: AttemptId,
    /// When it was decided, in milliseconds after the request came in.
    pub after_ms: u64,
    /// The engine chosen.
    pub engine: EngineId,
    /// What the engine was to do.
    pub placement: Placement,
    /// The engines looked at.
    pub candidates: Vec<Candidate>,
    /// What came of it.
    pub outcome: AttemptOutcome,
}

/// Terms under which a request is served.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestTerms {
    /// Its class, where it has one.
    pub class: Option<String>,
    /// Its importance.
    pub priority: Priority,
    /// Time it had to the first token when it came in, in milliseconds.
    pub first_token_ms: Option<u64>,
    /// Time it had to the end of the answer when it came in, in milliseconds.
    pub deadline_ms: Option<u64>,
}

/// A decision that no engine takes a request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct NoEngineRecord {
    /// When it was decided, in milliseconds after the request came in.
    pub after_ms: u64,
    /// Why.
    pub reason: String,
    /// When the caller was told to come back, in milliseconds.
    pub retry_after_ms: u64,
    /// The engines looked at.
    pub candidates: Vec<Candidate>,
}

/// The decisions about one request.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RequestRecord {
    /// The request.
    pub request: RequestId,
    /// When it came in, in milliseconds since 1970, for people to read.
    pub unix_ms: u64,
    /// Configuration it was decided under.
    pub revision: Revision,
    /// The model asked for.
    pub model: ModelName,
    /// On whose behalf.
    pub tenant: Option<TenantName>,
    /// On what terms.
    pub terms: RequestTerms,
    /// The attempts, oldest first.
    pub attempts: Vec<AttemptRecord>,
    /// The decision that no engine takes it, if that was its end.
    pub no_engine: Option<NoEngineRecord>,
    /// Why it was refused, if it was.
    pub refusal: Option<String>,
    /// What is known of whether it ran; `None` while it runs.
    pub run_state: Option<RunState>,
}

/// A decision to change an engine's role.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleRecord {
    /// The engine.
    pub engine: EngineId,
    /// Its group.
    pub group: GroupId,
    /// The order given.
    pub order: OrderId,
    /// When, in milliseconds since 1970, for people to read.
    pub unix_ms: u64,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Configuration it was decided under.
    pub revision: Revision,
    /// Role before.
    pub from: Option<Role>,
    /// Role ordered.
    pub to: Role,
    /// Age of the oldest load report used, in milliseconds.
    pub information_age_ms: u64,
    /// Why, in words.
    pub reason: String,
}
