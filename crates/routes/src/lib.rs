//! Routes by host and path, the engine pools that serve them, and the tenants that may use them.
//!
//! A [`RouteFile`] is the declaration that an operator writes. A [`RouteTable`] is its validated,
//! immutable form, in which requests are looked up; a newer declaration makes a new table.

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
