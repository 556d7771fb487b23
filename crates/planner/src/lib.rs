//! Role plan of an engine group: demand measured in tokens, forecast over a change, and a change
//! only where its gain outweighs its cost.
//!
//! Pure: the holder of the group's lease and the simulator call the same code. Time comes in as an
//! argument and there is no randomness, so equal inputs give equal plans.

mod change_duration;
mod composition;
mod config;
mod demand;
mod engine_scaling;
mod engine_state;
mod evaluation;
mod mix_duration;
mod pending_changes;
mod plan;
mod planner;
mod speeds;
mod stage_balance;

pub use composition::{Composition, Workload};
pub use config::PlannerConfig;
pub use demand::Demand;
pub use engine_scaling::{
    Autoscaler, ClassWorkload, EngineTargets, LossAssessment, LossRecord, NeedEstimate,
    NeedTracker, PoolWorkload, RequestCost, ScalingBounds, ScalingDecision, ScalingInputs,
    ScalingPolicy, ScalingRule, SpotLossTracker, ZoneEngines, ZonePrices, ZoneSpotEngines,
    fixed_targets,
};
pub use pending_changes::PendingChanges;
pub use plan::{PlanInputs, PlanReason, RolePlan};
pub use planner::RolePlanner;
pub use speeds::{EngineSpeeds, SpeedEstimate, SpeedSample};
pub use stage_balance::{
    StageBalancer, StageBalancerConfig, StageChange, StageCounts, StageDemand, StageQueueTimes,
    StageRebalance, StageUtilization,
};
