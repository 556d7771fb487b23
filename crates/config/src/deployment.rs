//! The deployment file: what operators declare about models, engines, callers and limits.

use std::collections::BTreeSet;

use dalestand_types::{
    AdapterName, EngineId, GroupId, ModelName, PoolName, Priority, Role, TenantName, Version,
    ZoneName,
};
use serde::{Deserialize, Serialize};

use crate::fault::{Fault, Faults, line_of};

/// The only deployment format known.
pub const FORMAT: u32 = 1;

/// Most engines of one group: bounds a group's digest and its holder's work.
pub const MAX_GROUP_ENGINES: usize = 64;

/// A checked deployment file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Deployment {
    /// Version of the file's format.
    pub format: u32,
    /// Name of the deployment, for people.
    pub name: String,
    /// Rules for role changes.
    #[serde(default)]
    pub roles: RoleRules,
    /// Who may call.
    #[serde(default)]
    pub callers: CallerRules,
    /// Limits on requests.
    #[serde(default)]
    pub limits: Limits,
    /// Models, with their adapters.
    #[serde(default, rename = "model")]
    pub models: Vec<Model>,
    /// Pools of engines.
    #[serde(default, rename = "pool")]
    pub pools: Vec<Pool>,
    /// Groups: the engines of one pool in one zone.
    #[serde(default, rename = "group")]
    pub groups: Vec<Group>,
    /// Request classes: priority and deadlines.
    #[serde(default, rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants.
    #[serde(default, rename = "tenant")]
    pub tenants: Vec<Tenant>,
}

/// Rules for role changes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RoleRules {
    /// Weight of role changes against goodput: 0 counts only goodput, 1 only role changes.
    pub change_weight: f64,
    /// Most engines of a group out of service for a role change at once.
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

/// Who may call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerRules {
    /// Whether a request without a tenant's key is refused.
    pub require_key: bool,
}

impl Default for CallerRules {
    fn default() -> Self {
        Self { require_key: true }
    }
}

/// Limits on a single request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Most output tokens a request may ask for.
    pub max_output_tokens: u32,
    /// Output tokens of a request that names none.
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

/// A model.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Name callers use.
    pub name: ModelName,
    /// Version of the weights to serve.
    pub version: Version,
    /// Size of the weights, in GiB.
    pub weights_gib: f64,
    /// Adapters of the model.
    #[serde(default, rename = "adapter")]
    pub adapters: Vec<Adapter>,
}

/// An adapter of a model; callers name it `MODEL:ADAPTER`.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Adapter {
    /// Name of the adapter.
    pub name: AdapterName,
    /// Version to serve.
    pub version: Version,
}

/// Engines that serve the same models under the same rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolName,
    /// Models its engines serve.
    pub models: Vec<ModelName>,
    /// Whether a request may be run again; `false` means at most once.
    #[serde(default = "default_true")]
    pub repeatable: bool,
    /// Role of engines before the first plan.
    #[serde(default = "default_role")]
    pub initial_role: Role,
    /// Roles the planner may use.
    #[serde(default = "default_roles")]
    pub roles: Vec<Role>,
}

/// The engines of one pool in one zone; controlled under one lease.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Pool of the engines.
    pub pool: PoolName,
    /// Zone of the engines.
    pub zone: ZoneName,
    /// The engines, by name in the machine list.
    pub engines: Vec<EngineId>,
}

impl Group {
    /// The group's identifier.
    pub fn id(&self) -> GroupId {
        GroupId::of(&self.pool, &self.zone)
    }
}

/// A class of requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Name used in the `x-dalestand-class` header and by tenants.
    pub name: String,
    /// Importance; a higher number goes first.
    pub priority: Priority,
    /// Time to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time to the end of the answer, in milliseconds.
    pub deadline_ms: u64,
}

/// A tenant.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Tenant {
    /// Name of the tenant.
    pub name: TenantName,
    /// BLAKE3 hash of the tenant's key, as 64 hexadecimal digits.
    pub key_blake3: String,
    /// Class of its requests.
    pub class: String,
    /// Tokens (prompt and output) a second over the whole fleet.
    pub tokens_per_second: u64,
    /// Most tokens at once.
    pub burst_tokens: u64,
}

fn default_true() -> bool {
    true
}

fn default_role() -> Role {
    Role::Mixed
}

fn default_roles() -> Vec<Role> {
    Role::ALL.to_vec()
}

impl Deployment {
    /// Parses and checks a deployment file. Every fault found is listed.
    pub fn parse(text: &str) -> Result<Self, Faults> {
        let deployment: Self = toml::from_str(text).map_err(|error| {
            let line = error.span().map_or(0, |span| line_of(text, span.start));
            Faults(vec![Fault::new(line, "", error.message())])
        })?;
        let faults = deployment.validate();
        if faults.is_empty() {
            Ok(deployment)
        } else {
            Err(Faults(faults))
        }
    }

    /// The pool of that name.
    pub fn pool(&self, name: &PoolName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.name == *name)
    }

    /// The model of that name.
    pub fn model(&self, name: &ModelName) -> Option<&Model> {
        self.models.iter().find(|model| model.name == *name)
    }

    /// The class of that name.
    pub fn class(&self, name: &str) -> Option<&Class> {
        self.classes.iter().find(|class| class.name == name)
    }

    /// The first pool that serves `model`.
    pub fn pool_of_model(&self, model: &ModelName) -> Option<&Pool> {
        self.pools.iter().find(|pool| pool.models.contains(model))
    }

    fn validate(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        if self.format != FORMAT {
            let message = format!("format {} is not known; use {FORMAT}", self.format);
            faults.push(Fault::new(0, "format", message));
        }
        if !(0.0..=1.0).contains(&self.roles.change_weight) {
            faults.push(Fault::new(
                0,
                "roles.change_weight",
                "must lie between 0 and 1",
            ));
        }
        self.validate_references(&mut faults);
        self.validate_engines(&mut faults);
        faults
    }

    fn validate_references(&self, faults: &mut Vec<Fault>) {
        for pool in &self.pools {
            for model in &pool.models {
                if self.model(model).is_none() {
                    let message = format!("model {model} is not declared by a [[model]]");
                    faults.push(Fault::new(0, format!("pool.{}.models", pool.name), message));
                }
            }
        }
        for group in &self.groups {
            if self.pool(&group.pool).is_none() {
                let message = format!("pool {} is not declared by a [[pool]]", group.pool);
                faults.push(Fault::new(0, format!("group.{}", group.id()), message));
            }
        }
        for tenant in &self.tenants {
            if self.class(&tenant.class).is_none() {
                let message = format!("class {} is not declared by a [[class]]", tenant.class);
                faults.push(Fault::new(
                    0,
                    format!("tenant.{}.class", tenant.name),
                    message,
                ));
            }
        }
    }

    fn validate_engines(&self, faults: &mut Vec<Fault>) {
        let mut seen = BTreeSet::new();
        for group in &self.groups {
            let path = format!("group.{}.engines", group.id());
            if group.engines.len() > MAX_GROUP_ENGINES {
                let message = format!("at most {MAX_GROUP_ENGINES} engines a group");
                faults.push(Fault::new(0, path.clone(), message));
            }
            for engine in &group.engines {
                if !seen.insert(engine.clone()) {
                    let message = format!("engine {engine} is listed twice; list it once");
                    faults.push(Fault::new(0, path.clone(), message));
                }
            }
        }
    }
}
