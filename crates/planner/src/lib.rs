//! Planning of engine roles, prefill and decode stages, and engine counts.
//!
//! [`RolePlanner`] assigns roles to the engines of a group, [`StageBalancer`] balances prefill and
//! decode engines of a pool, and [`Autoscaler`] decides how many engines run.
//!
//! The code has no side effects: time is an argument and nothing is random, so equal inputs give
//! equal plans on every node and in the simulator.

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
mod stage_balancer;

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
pub use stage_balancer::{
    StageBalancer, StageBalancerConfig, StageChange, StageCounts, StageDemand, StageQueueTimes,
    StageRebalance, StageUtilization,
};
