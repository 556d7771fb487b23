//! How many engines each zone has, and on what terms.
//!
//! [`DemandScaling`] follows what callers ask for, what engines do and how spot engines were taken away. What it
//! does without such knowledge is the rule of [`engine_targets`]: the operator's own number, in spot engines.

mod account;
mod by_demand;
mod fixed;
mod losses;
mod need;
mod plan;
mod spread;
mod terms;
mod work;

pub use account::{LossAccount, NeedAccount, ScalingAccount, ScalingRule};
pub use by_demand::{DemandScaling, ScalingMoment};
pub use fixed::engine_targets;
pub use losses::{LossRecord, SpotLosses, ZoneSpot};
pub use need::EngineNeed;
pub use terms::{EngineTargets, ScalingBounds, ScalingPolicy, ZoneEngines, ZonePrices};
pub use work::{ClassWork, PoolWork, RequestWork};
