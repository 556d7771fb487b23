//! What an engine reports about itself. Reports lag: each carries when the engine took it.

use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, EngineId, Epoch, GroupId, Incarnation, ModelName, NodeId, Role, Sequence, Version,
};

/// A model (and the adapters on it) that an engine can serve now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    /// The model's name.
    pub model: ModelName,
    /// The version of its weights.
    pub version: Version,
    /// Adapters loaded on it.
    pub adapters: Vec<AdapterName>,
}

/// One load report of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    /// The reporting engine.
    pub engine: EngineId,
    /// Its current run.
    pub incarnation: Incarnation,
    /// Rises with each report of one incarnation.
    pub sequence: Sequence,
    /// The role it serves in; `None` while it is out of service for a change.
    pub role: Option<Role>,
    /// Requests being generated.
    pub running: u32,
    /// Requests accepted and not started.
    pub waiting: u32,
    /// Prompt tokens accepted and not yet run.
    pub queued_prefill_tokens: u64,
    /// Most requests it holds at once, running and waiting.
    pub capacity: u32,
    /// KV cache in use, in tokens.
    pub cache_tokens_used: u64,
    /// KV cache in all, in tokens.
    pub cache_tokens_total: u64,
    /// Prompt tokens run since its start.
    pub prefill_tokens_total: u64,
    /// Output tokens generated since its start.
    pub decode_tokens_total: u64,
    /// Models it can serve.
    pub models: Vec<LoadedModel>,
}

/// Load of a group's engines, as its lease holder gathered it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupDigest {
    /// The group.
    pub group: GroupId,
    /// Epoch of the holder's lease; a digest of a lower epoch is outdated.
    pub epoch: Epoch,
    /// Rises with each digest of one epoch.
    pub sequence: Sequence,
    /// The holder.
    pub holder: NodeId,
    /// The engines' last reports.
    pub engines: Vec<EngineDigest>,
}

/// One engine within a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDigest {
    /// The last report.
    pub load: EngineLoad,
    /// How old the report was when the digest was made, in milliseconds.
    pub age_ms: u64,
    /// Whether the holder lets the engine take new work.
    pub accepting: bool,
}
