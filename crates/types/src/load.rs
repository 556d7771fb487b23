//! Load reports of engines and the digests that carry them to other nodes.

use serde::{Deserialize, Serialize};

use crate::{
    AdapterName, EngineId, Epoch, GroupId, Incarnation, ModelName, NodeId, Role, Sequence, Version,
};

/// A model (and the adapters on it) that an engine can serve now.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedModel {
    pub model: ModelName,
    /// Version of the model's weights.
    pub version: Version,
    /// Adapters loaded for the model.
    pub adapters: Vec<AdapterName>,
}

/// One load report of one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLoad {
    pub engine: EngineId,
    /// The engine's current run.
    pub incarnation: Incarnation,
    /// Increases with each report of one incarnation.
    pub sequence: Sequence,
    /// The engine's role; `None` during a role change.
    pub role: Option<Role>,
    /// Requests being executed.
    pub running: u32,
    /// Requests accepted but not started.
    pub waiting: u32,
    /// Prompt tokens accepted but not yet prefilled.
    pub queued_prefill_tokens: u64,
    /// Maximum number of running and waiting requests.
    pub capacity: u32,
    /// KV cache in use, in tokens.
    pub cache_tokens_used: u64,
    /// Size of the KV cache, in tokens.
    pub cache_tokens_total: u64,
    /// Prompt tokens prefilled since the engine's start.
    pub prefill_tokens_total: u64,
    /// Output tokens generated since the engine's start.
    pub decode_tokens_total: u64,
    /// Models that the engine can serve.
    pub models: Vec<LoadedModel>,
}

/// Load of a group's engines as collected by the group's lease holder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupDigest {
    pub group: GroupId,
    /// Epoch of the holder's lease; digests of lower epochs are stale.
    pub epoch: Epoch,
    /// Increases with each digest of one epoch.
    pub sequence: Sequence,
    /// The node that holds the group's lease.
    pub holder: NodeId,
    /// The latest report of each engine.
    pub engines: Vec<EngineDigest>,
}

/// One engine within a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDigest {
    /// The engine's latest report.
    pub load: EngineLoad,
    /// Age of the report when the digest was built, in milliseconds.
    pub age_ms: u64,
    /// Whether the lease holder allows new requests on the engine.
    pub accepting: bool,
}
