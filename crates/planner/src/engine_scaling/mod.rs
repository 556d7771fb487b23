//! How many engines each zone has, and on what terms.
//!
//! [`Autoscaler`] follows what callers ask for, what engines do and how spot engines were taken away. What it
//! does without such knowledge is the rule of [`fixed_targets`]: the operator's own number, in spot engines.

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
