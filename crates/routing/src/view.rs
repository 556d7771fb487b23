//! What a node knows of the fleet: always somewhat old.

use std::net::SocketAddr;

use dalestand_types::{
    AdapterName, EngineId, GroupId, Incarnation, LoadedModel, ModelName, MonotonicTime, PoolName,
    Revision, Role, ZoneName,
};

/// What is known of one engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineView {
    /// The engine.
    pub engine: EngineId,
    /// Its group.
    pub group: GroupId,
    /// Its pool.
    pub pool: PoolName,
    /// Its zone.
    pub zone: ZoneName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its run, as last reported.
    pub incarnation: Incarnation,
    /// Its role; `None` while it is out of service.
    pub role: Option<Role>,
    /// Models it can serve.
    pub models: Vec<LoadedModel>,
    /// Requests being generated.
    pub running: u32,
    /// Requests accepted and not started.
    pub waiting: u32,
    /// Prompt tokens accepted and not yet run.
    pub queued_prefill_tokens: u64,
    /// Prompt tokens it runs in a second.
    pub prefill_tokens_per_s: f64,
    /// Output tokens it generates in a second.
    pub decode_tokens_per_s: f64,
    /// Most requests it holds at once.
    pub capacity: u32,
    /// When the report behind this was made, on the reader's clock.
    pub reported_at: MonotonicTime,
    /// Whether it may take new work, as far as the machine list and its holder say.
    pub accepting: bool,
}

impl EngineView {
    /// Whether a model, with an adapter where named, is loaded.
    pub fn serves(&self, model: &ModelName, adapter: Option<&AdapterName>) -> bool {
        self.models.iter().any(|loaded| {
            loaded.model == *model && adapter.is_none_or(|name| loaded.adapters.contains(name))
        })
    }
}

/// What is known of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetView {
    /// Configuration the view was built under.
    pub revision: Revision,
    /// The engines, by name.
    pub engines: Vec<EngineView>,
}
