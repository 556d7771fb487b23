//! What an operator declares: routes, pools of engines and bounds on callers.

use std::collections::BTreeMap;

use dalestand_types::{PoolName, Revision, ZoneName};
use serde::{Deserialize, Serialize};

use crate::tenant::TenantConfig;

/// A whole declaration, applied at once.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteFile {
    /// Rises with each declaration; an older one never comes back into force.
    pub revision: Revision,
    /// The routes.
    #[serde(rename = "route", default)]
    pub routes: Vec<RouteConfig>,
    /// The pools that routes name.
    #[serde(rename = "pool", default)]
    pub pools: Vec<PoolConfig>,
    /// Bounds on what callers send.
    #[serde(default)]
    pub callers: CallerLimits,
    /// The tenants; where there are any, callers show a key.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<TenantConfig>,
}

/// What may be done with a request whose attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// May run more than once.
    Repeatable,
    /// May run at most once.
    Once,
    /// A stream of events that may run at most once.
    Stream,
    /// A stream of events that another engine may take up after the last event received.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may run again after an attempt that may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether answers are streams of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A pool with its share of a route's requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedPool {
    /// The pool.
    pub pool: PoolName,
    /// Its weight among the route's pools.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// Name, for people.
    pub name: String,
    /// Host that callers name, without a port.
    pub host: String,
    /// Leading part of the path; begins and ends with a slash.
    pub path_prefix: String,
    /// What may be done after a failed attempt.
    pub kind: RouteKind,
    /// The pools that serve it, by weight.
    pub pools: Vec<WeightedPool>,
    /// Longest time a request is held, in milliseconds.
    pub time_limit_ms: u64,
    /// Time within which an answer (the first event of a stream) is worth its whole credit, in
    /// milliseconds.
    pub objective_ms: u64,
    /// Longest pause between the events of a stream that is still in time, in milliseconds.
    #[serde(default)]
    pub pause_objective_ms: Option<u64>,
    /// Most engines that one request may run on.
    pub max_attempts: u32,
    /// Importance; 0 is the highest.
    #[serde(default)]
    pub priority: u8,
    /// Whether it may be used without a key where tenants are declared.
    #[serde(default)]
    pub allow_anonymous: bool,
}

/// One pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolConfig {
    /// Its name.
    pub name: PoolName,
    /// Most connections that one engine takes from all callers together.
    pub max_connections: u32,
    /// What is known of its engines if they are language-model engines.
    #[serde(default)]
    pub prompt_engine: Option<PromptEngineConfig>,
    /// How many engines there may be, where the fleet orders them itself.
    #[serde(default)]
    pub scaling: Option<ScalingConfig>,
}

/// Bounds on the number of a pool's engines, and what they cost.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScalingConfig {
    /// Fewest engines of a zone.
    pub min: u32,
    /// Most engines of a zone.
    pub max: u32,
    /// Time from the order of an engine until it serves, in seconds.
    pub boot_s: f64,
    /// Price of an engine that may be taken away, as a share of the price of others; absent where
    /// there are none.
    #[serde(default)]
    pub spot_price: Option<f64>,
    /// Price of an engine by zone, as a multiple of the usual one; the usual one where a zone is not named.
    #[serde(default)]
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// Figures of a pool of language-model engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptEngineConfig {
    /// Requests in one batch.
    pub slots: u32,
    /// Tokens that its memory holds.
    pub memory_tokens: u64,
    /// Bytes of memory of one token.
    pub token_bytes: u64,
    /// Speed of the link over which memory is moved, in megabits a second.
    pub link_mbps: f64,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Longest body, in bytes.
    pub max_body_bytes: usize,
    /// Longest head, in bytes.
    pub max_head_bytes: usize,
    /// Time in which a head must arrive, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time for which an idle connection is kept, in milliseconds.
    pub idle_timeout_ms: u64,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            max_body_bytes: 4 << 20,
            max_head_bytes: 16 << 10,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}
