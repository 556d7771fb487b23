//! Role plan of an engine group: demand measured in tokens, forecast over a change, and a change
//! only where its gain outweighs its cost.
//!
//! Pure: the holder of the group's lease and the simulator call the same code. Time comes in as an
//! argument and there is no randomness, so equal inputs give equal plans.

mod changes_under_way;
mod composition;
mod config;
mod demand;
mod engine_scaling;
mod engine_state;
mod evaluation;
mod outage;
mod plan;
mod planner;
mod speeds;
mod stage_balance;
mod stay;

pub use changes_under_way::ChangesUnderWay;
pub use composition::{Composition, Workload};
pub use config::PlannerConfig;
pub use demand::Demand;
pub use engine_scaling::{
    ClassWork, DemandScaling, EngineNeed, EngineTargets, LossAccount, LossRecord, NeedAccount,
    PoolWork, RequestWork, ScalingAccount, ScalingBounds, ScalingMoment, ScalingPolicy,
    ScalingRule, SpotLosses, ZoneEngines, ZonePrices, ZoneSpot, engine_targets,
};
pub use plan::{PlanInputs, PlanReason, RolePlan};
pub use planner::RolePlanner;
pub use speeds::{EngineSpeeds, SpeedEstimate, SpeedSample};
pub use stage_balance::{
    StageBalance, StageBalanceConfig, StageChange, StageCounts, StageDemand, StageQueues,
    StageShift, StageUse,
};
