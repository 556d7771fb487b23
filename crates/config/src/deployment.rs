//! The deployment file: what operators declare about models, engines, callers and limits.

use std::collections::BTreeMap;

use dalestand_types::{
    AdapterName, EngineId, GroupId, ModelName, PoolName, Priority, Role, TenantName, Version,
    ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::deployment_reader::read_deployment;
use crate::deployment_validation::validate_deployment;
use crate::fault::Faults;
use crate::reader::read_document;

/// The supported version of the deployment format.
pub const FORMAT: u32 = 1;

/// Maximum number of engines in a group; bounds the size of the group's digest and the lease holder's work.
pub const MAX_GROUP_ENGINES: usize = 64;

/// A validated deployment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Deployment {
    /// Version of the file's format.
    pub format: u32,
    /// Name of the deployment; informational.
    pub name: String,
    /// Rules for role changes.
    pub roles: RoleRules,
    /// Rules for callers.
    pub callers: CallerRules,
    /// Limits on each request.
    pub limits: Limits,
    /// Models, with their adapters.
    #[serde(rename = "model")]
    pub models: Vec<Model>,
    /// Pools of engines.
    #[serde(rename = "pool")]
    pub pools: Vec<Pool>,
    /// Groups: the engines of one pool in one zone.
    #[serde(rename = "group")]
    pub groups: Vec<Group>,
    /// Request classes: priority and deadlines.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    #[serde(rename = "tenant")]
    pub tenants: Vec<Tenant>,
}

/// Rules for role changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RoleRules {
    /// Weight of role changes against goodput: 0 considers goodput only, 1 role changes only.
    pub change_weight: f64,
    /// Maximum number of a group's engines that change roles at the same time.
    pub max_changes_at_once: u32,
}

impl Default for RoleRules {
    fn default() -> Self {
        Self {
            change_weight: 0.3,
            max_changes_at_once: 1,
        }
    }
}

/// Rules for callers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CallerRules {
    /// Whether requests without a tenant's key are refused.
    pub require_key: bool,
}

impl Default for CallerRules {
    fn default() -> Self {
        Self { require_key: true }
    }
}

/// Limits on a single request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum number of output tokens that a request may ask for.
    pub max_output_tokens: u32,
    /// Maximum number of output tokens of a request that sets no maximum.
    pub default_output_tokens: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_output_tokens: 16_384,
            default_output_tokens: 256,
        }
    }
}

/// A model that the fleet serves.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Model {
    /// Name that callers use.
    pub name: ModelName,
    /// Version of the weights to serve.
    pub version: Version,
    /// Size of the weights, in GiB.
    pub weights_gib: f64,
    /// Adapters of the model.
    #[serde(rename = "adapter")]
    pub adapters: Vec<Adapter>,
}

/// An adapter of a model; callers name it `MODEL:ADAPTER`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Adapter {
    /// Name of the adapter.
    pub name: AdapterName,
    /// Version to serve.
    pub version: Version,
}

/// Engines that serve the same models under the same rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Pool {
    pub name: PoolName,
    /// Models that the pool's engines serve.
    pub models: Vec<ModelName>,
    /// Whether a request may be retried after it may have run; `false` means at-most-once execution.
    pub repeatable: bool,
    /// Role of the engines before the first plan.
    pub initial_role: Role,
    /// Roles that the planner may assign.
    pub roles: Vec<Role>,
}

/// The engines of one pool in one zone; controlled under one lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Group {
    /// Pool of the engines.
    pub pool: PoolName,
    /// Zone of the engines.
    pub zone: ZoneName,
    /// Names of the engines in the machine list.
    pub engines: Vec<EngineId>,
    /// Roles that the planner must not change, by engine.
    pub fixed_roles: BTreeMap<EngineId, Role>,
}

impl Group {
    /// The group's identifier.
    pub fn id(&self) -> GroupId {
        GroupId::of(&self.pool, &self.zone)
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Class {
    /// Name used in the `x-dalestand-class` header and by tenants.
    pub name: String,
    /// Priority; a higher number is served first.
    pub priority: Priority,
    /// Deadline of the first token, in milliseconds after the request's arrival.
    pub first_token_ms: u64,
    /// Deadline of the complete answer, in milliseconds after the request's arrival.
    pub deadline_ms: u64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tenant {
    pub name: TenantName,
    /// BLAKE3 hash of the tenant's key, as 64 hexadecimal digits.
    pub key_blake3: String,
    /// Name of the class of the tenant's requests.
    pub class: String,
    /// Refill rate of the token bucket: prompt and output tokens per second over the whole fleet.
    pub tokens_per_second: u64,
    /// Capacity of the token bucket, in tokens.
    pub burst_tokens: u64,
}

impl Deployment {
    /// Parses and validates a deployment file; on failure returns every fault found.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        read_document(text, read_deployment, validate_deployment)
    }

    /// The pool named `name`.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// The model named `name`.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// The class named `name`.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The first pool that serves `model`.
    pub fn pool_of_model(&self, model: &ModelName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.models.contains(model))
    }
}
