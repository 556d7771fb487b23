//! Autoscaling: how many on-demand and spot engines run in each zone.
//!
//! [`Autoscaler`] decides from request load, engine load and past reclamations of spot engines. While no load data is
//! available, it applies [`fixed_targets`], which spends the cost of the baseline engines on spot engines.

mod autoscaler;
mod decision;
mod distribution;
mod fixed;
mod losses;
mod need;
mod plan;
mod types;
mod workload;

pub use autoscaler::{Autoscaler, ScalingInputs};
pub use decision::{LossAssessment, NeedEstimate, ScalingDecision, ScalingRule};
pub use fixed::fixed_targets;
pub use losses::{LossRecord, SpotLossTracker, ZoneSpotEngines};
pub use need::NeedTracker;
pub use types::{EngineTargets, ScalingBounds, ScalingPolicy, ZoneEngines, ZonePrices};
pub use workload::{ClassWorkload, PoolWorkload, RequestCost};
