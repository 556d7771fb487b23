//! The fleet as known to a node, from reports that are always somewhat out of date.

use std::net::SocketAddr;

use dalestand_types::{
    AdapterName, EngineId, GroupId, Incarnation, LoadedModel, ModelName, MonotonicTime, PoolName,
    Revision, Role, ZoneName,
};

/// Last known state of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    pub engine: EngineId,
    pub group: GroupId,
    pub pool: PoolName,
    pub zone: ZoneName,
    /// Address on which it accepts requests.
    pub address: SocketAddr,
    /// Incarnation (run of the engine) as last reported.
    pub incarnation: Incarnation,
    /// Role; `None` while the engine is out of service.
    pub role: Option<Role>,
    /// Loaded models.
    pub models: Vec<LoadedModel>,
    /// Requests in the batch.
    pub running: u32,
    /// Requests accepted but not started.
    pub waiting: u32,
    /// Prompt tokens of accepted requests that are not yet prefilled.
    pub queued_prefill_tokens: u64,
    /// Prompt tokens prefilled per second.
    pub prefill_tokens_per_s: f64,
    /// Output tokens generated per second.
    pub decode_tokens_per_s: f64,
    /// Most requests that it accepts at a time.
    pub capacity: u32,
    /// When the report was made, on this node's clock.
    pub reported_at: MonotonicTime,
    /// Whether it may take new requests, according to the machine list and the node that manages it.
    pub accepting: bool,
}

impl EngineView {
    /// Whether the model, and the adapter if one is given, is loaded.
    pub fn serves(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.models.iter().any(|loaded| {
            loaded.model == *model && adapter.is_none_or(|name| loaded.adapters.contains(name))
        })
    }
}

/// Last known state of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Configuration revision for which the view was built.
    pub revision: Revision,
    /// The engines, sorted by name.
    pub engines: Vec<EngineView>,
}
