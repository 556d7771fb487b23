//! JSON messages of the operator API.

use std::collections::BTreeMap;

use dalestand_decision::{RequestRecord, RoleRecord};
use dalestand_types::{EngineId, EngineOrders, Epoch, GroupId, ModelName, NodeId, Revision, Role};
use serde::{Deserialize, Serialize};

/// Body of `POST /apply`.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ApplyRequest {
    /// Content of the deployment file.
    pub text: String,
    /// Who applies it.
    pub author: String,
    /// Revision that the file must replace (0 for none); any if absent.
    pub expected: Option<Revision>,
}

/// Answer to `POST /apply`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ApplyResponse {
    /// Revision, if the file was applied.
    pub revision: Option<Revision>,
    /// Why the file was not applied.
    pub error: Option<String>,
    /// Whether it is unknown if the file was applied.
    pub in_doubt: bool,
}

/// Body of `POST /drain`; the answer is the revision of the mark.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DrainRequest {
    pub engine: EngineId,
    /// `true` sets the drain mark, `false` removes it.
    pub draining: bool,
    /// Who sets or removes the mark.
    pub author: String,
}

/// Answer to `GET /configuration`: the configuration stored in the key-value service.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigurationResponse {
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
    pub zone: String,
    /// Whether the node is ready to serve callers.
    pub ready: bool,
    /// Whether a graceful shutdown has begun.
    pub stopping: bool,
    /// Revision of the active configuration.
    pub revision: Option<Revision>,
    /// Requests in flight.
    pub in_flight: usize,
    /// The other live nodes known to this node.
    pub members: Vec<MemberRow>,
    /// Known lease holders of the groups.
    pub holders: BTreeMap<GroupId, NodeId>,
    /// The engines in the fleet view of routing.
    pub engines: Vec<EngineRow>,
}

/// A node in a [`StatusResponse`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberRow {
    pub node: NodeId,
    pub zone: String,
    /// Address of its operator API.
    pub operators: String,
}

/// An engine in a [`StatusResponse`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineRow {
    pub engine: EngineId,
    pub group: GroupId,
    /// Its role; `None` while it is out of service.
    pub role: Option<Role>,
    /// Models it can serve.
    pub models: Vec<ModelName>,
    /// Requests being generated.
    pub running: u32,
    /// Requests accepted and not started.
    pub waiting: u32,
    /// Whether it accepts new requests.
    pub accepting: bool,
    /// Age of this information, in milliseconds.
    pub age_ms: u64,
}

/// Answer to `GET /explain/request/ID`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RequestExplanation {
    pub record: RequestRecord,
    /// Explanation of the record as text.
    pub account: String,
}

/// Answer to `GET /explain/engine/ID`.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineExplanation {
    /// State of the engine, if this node controls it.
    pub control: Option<EngineControlRow>,
    /// Recorded role decisions, oldest first.
    pub roles: Vec<RoleRecord>,
    /// Explanation of the decisions and the state as text.
    pub account: String,
}

/// An engine as known to the lease holder of its group.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EngineControlRow {
    pub group: GroupId,
    /// Epoch of the lease.
    pub epoch: Epoch,
    /// Its order state; `None` until it has been read under this epoch.
    pub orders: Option<EngineOrders>,
}
