//! What operators' programs send and get, in JSON.

use std::collections::BTreeMap;

use dalestand_decision::{RequestRecord, RoleRecord};
use dalestand_types::{EngineId, EngineOrders, Epoch, GroupId, ModelName, NodeId, Revision, Role};
use serde::{Deserialize, Serialize};

/// Body of `POST /apply`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// The deployment file.
    pub text: String,
    /// Who applies it.
    pub author: String,
    /// Revision it must follow; whatever stands there if absent.
    pub expected: Option<Revision>,
}

/// Answer to `POST /apply`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyResponse {
    /// Revision, if it was accepted.
    pub revision: Option<Revision>,
    /// Why it was not accepted.
    pub error: Option<String>,
    /// Whether it is unknown if it was accepted.
    pub in_doubt: bool,
}

/// Body of `POST /drain`; the answer has the revision of the mark in JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    /// The engine.
    pub engine: EngineId,
    /// Whether it is to take no new work.
    pub draining: bool,
    /// Who asks.
    pub author: String,
}

/// Answer to `GET /configuration`: what stands in the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationResponse {
    /// Its revision; 0 if none was ever applied.
    pub revision: Revision,
    /// Who applied it.
    pub author: String,
    /// The deployment file.
    pub text: String,
}

/// Answer to `GET /status`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusResponse {
    /// The node that answers.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: String,
    /// Whether the node serves callers.
    pub ready: bool,
    /// Whether a planned stop has begun.
    pub stopping: bool,
    /// Revision of the configuration in force.
    pub revision: Option<Revision>,
    /// Requests in flight.
    pub in_flight: usize,
    /// Other live nodes, as far as known.
    pub members: Vec<MemberRow>,
    /// Holders of the groups' leases, as far as known.
    pub holders: BTreeMap<GroupId, NodeId>,
    /// The engines, as routing sees them.
    pub engines: Vec<EngineRow>,
}

/// One node of a status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberRow {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: String,
    /// Its operators' address.
    pub operators: String,
}

/// One engine of a status.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineRow {
    /// The engine.
    pub engine: EngineId,
    /// Its group.
    pub group: GroupId,
    /// Its role; `None` while it is out of service.
    pub role: Option<Role>,
    /// Models it can serve.
    pub models: Vec<ModelName>,
    /// Requests being generated.
    pub running: u32,
    /// Requests accepted and not started.
    pub waiting: u32,
    /// Whether it may take new work.
    pub accepting: bool,
    /// Age of this information, in milliseconds.
    pub age_ms: u64,
}

/// Answer to `GET /explain/request/ID`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestExplanation {
    /// The record.
    pub record: RequestRecord,
    /// A plain account of it.
    pub account: String,
}

/// Answer to `GET /explain/engine/ID`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineExplanation {
    /// The engine's state, where this node controls it.
    pub control: Option<EngineControlRow>,
    /// Role decisions, oldest first.
    pub roles: Vec<RoleRecord>,
    /// A plain account of them.
    pub account: String,
}

/// An engine as its group's lease holder knows it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineControlRow {
    /// Its group.
    pub group: GroupId,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Its order state; `None` until it was read under this epoch.
    pub orders: Option<EngineOrders>,
}
