//! The declaration that an operator writes: routes, engine pools, tenants and limits on callers.

use std::collections::BTreeMap;

use dalestand_types::{PoolName, Revision, ZoneName};
use serde::{Deserialize, Serialize};

use crate::tenant::TenantConfig;

/// A complete declaration, applied as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteFile {
    /// Increases with each declaration. A declaration with a lower revision than the current one is
    /// not applied.
    pub revision: Revision,
    /// The routes.
    #[serde(rename = "route", default)]
    pub routes: Vec<RouteConfig>,
    /// The pools that routes may name.
    #[serde(rename = "pool", default)]
    pub pools: Vec<PoolConfig>,
    /// Limits on callers' requests and connections.
    #[serde(default)]
    pub callers: CallerLimits,
    /// The tenants. If there are any, callers must present an API key.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<TenantConfig>,
}

/// Whether and how a request may be retried after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RouteKind {
    /// A request that may run more than once.
    Repeatable,
    /// A request that may run at most once.
    Once,
    /// A request for an event stream that may run at most once.
    Stream,
    /// A request for an event stream that another engine can resume after the last event received.
    ResumableStream,
}

impl RouteKind {
    /// Whether a request may be retried after an attempt that may have run.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Repeatable | Self::ResumableStream)
    }

    /// Whether responses are event streams.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A pool and its weight in a route's traffic split.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WeightedPool {
    /// Name of the pool.
    pub pool: PoolName,
    /// Its share of the route's requests is this weight over the sum of all; 0 for none.
    pub weight: u32,
}

/// A route.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteConfig {
    /// Name shown to operators.
    pub name: String,
    /// Host of the request, without a port.
    pub host: String,
    /// Prefix of the request's path; begins and ends with a slash.
    pub path_prefix: String,
    /// Whether and how requests may be retried.
    pub kind: RouteKind,
    /// The pools that serve the route.
    pub pools: Vec<WeightedPool>,
    /// Time limit of a request, in milliseconds.
    pub time_limit_ms: u64,
    /// Latency objective of the response, or of the first event of a stream, in milliseconds.
    pub objective_ms: u64,
    /// Objective for the longest gap between two events of a stream, in milliseconds.
    #[serde(default)]
    pub pause_objective_ms: Option<u64>,
    /// Maximum number of engines that one request may be sent to.
    pub max_attempts: u32,
    /// Priority; 0 is the highest.
    #[serde(default)]
    pub priority: u8,
    /// Whether requests without an API key are accepted although tenants are declared.
    #[serde(default)]
    pub allow_anonymous: bool,
}

/// A pool of engines.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolConfig {
    /// Name of the pool.
    pub name: PoolName,
    /// Maximum number of connections that one engine accepts from all clients together.
    pub max_connections: u32,
    /// Characteristics of its engines, if they are language-model engines.
    #[serde(default)]
    pub prompt_engine: Option<PromptEngineConfig>,
    /// Limits for autoscaling; absent if the fleet does not scale the pool.
    #[serde(default)]
    pub scaling: Option<ScalingConfig>,
}

/// Limits on the number of a pool's engines, and their prices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScalingConfig {
    /// Minimum number of engines per zone.
    pub min: u32,
    /// Maximum number of engines per zone.
    pub max: u32,
    /// Time from ordering an engine until it serves, in seconds.
    pub boot_s: f64,
    /// Price of a spot engine as a fraction of the on-demand price; absent if there are no spot engines.
    #[serde(default)]
    pub spot_price: Option<f64>,
    /// Price of an engine by zone, as a multiple of the base price; 1 for a zone that is not listed.
    #[serde(default)]
    pub zone_prices: BTreeMap<ZoneName, f64>,
}

/// Characteristics of a language-model engine, the same for all engines of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PromptEngineConfig {
    /// Maximum number of requests in a batch.
    pub slots: u32,
    /// Capacity of the KV cache, in tokens.
    pub memory_tokens: u64,
    /// Size of the KV cache per token, in bytes.
    pub token_bytes: u64,
    /// Bandwidth of the link over which KV cache is transferred, in megabits per second.
    pub link_mbps: f64,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct CallerLimits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request head, in bytes.
    pub max_head_bytes: usize,
    /// Time limit for receiving a request head, in milliseconds.
    pub head_timeout_ms: u64,
    /// Time after which an idle connection is closed, in milliseconds.
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
