//! Routes of opaque requests: which pool serves a host and path, and on what terms.
//!
//! A [`RouteFile`] is what an operator declares; a [`RouteTable`] is the checked form that requests
//! are looked up in. A table never changes: a newer version is another table.

mod file;
mod table;
mod tenant;
mod weighted_round_robin;

pub use file::{
    CallerLimits, PoolConfig, PromptEngineConfig, RouteConfig, RouteFile, RouteKind, ScalingConfig,
    WeightedPool,
};
pub use table::{RouteFileError, RouteTable};
pub use tenant::{ApiKey, Caller, PresentedKey, Tenant, TenantConfig, Unauthorized};
pub use weighted_round_robin::WeightedRoundRobin;
