//! A scaling decision with the figures it is based on.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use dalestand_types::ZoneName;
use serde::Serialize;

use crate::engine_scaling::losses::LossRecord;
use crate::engine_scaling::types::{EngineTargets, ZoneEngines};
use crate::engine_scaling::workload::PoolWorkload;

/// Rule that a scaling decision follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScalingRule {
    /// Baseline engines and prices only; demand is unknown or ignored.
    Fixed,
    /// Demand, with a history too short to scale down on.
    DemandRising,
    /// Demand.
    Demand,
}

/// Estimated need, in fully busy engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct NeedEstimate {
    /// Forecast for the time at which engines ordered now will serve.
    pub forecast: f64,
    /// Peak need within the retention time of spot engines.
    pub highest_for_spot: f64,
    /// Peak need within the retention time of on-demand engines.
    pub highest_for_on_demand: f64,
    /// Length of the uninterrupted need history, in seconds.
    pub known_for_s: f64,
    /// Retention time of idle spot engines, in seconds.
    pub spot_kept_s: f64,
    /// Retention time of idle on-demand engines, in seconds.
    pub on_demand_kept_s: f64,
}

/// How a decision accounts for reclamations of spot engines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LossAssessment {
    /// Reclamations observed so far.
    pub record: LossRecord,
    /// Number of zones whose simultaneous loss the plan covers.
    pub zones_planned: usize,
    /// Whether on-demand engines are ordered to cover such a loss.
    pub insured: bool,
    /// Engines missing after such a loss, before on-demand engines are counted.
    pub short: u32,
}

/// Scaling decision for one pool.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScalingDecision {
    /// Rule that was applied.
    pub rule: ScalingRule,
    /// Load of the pool; `None` if unknown.
    pub work: Option<PoolWorkload>,
    /// Estimated need; `None` if unknown.
    pub need: Option<NeedEstimate>,
    /// Reclamations of spot engines.
    pub losses: LossAssessment,
    /// Engines that accepted new requests at the time of the decision.
    pub standing: BTreeMap<ZoneName, ZoneEngines>,
    /// Target engine counts; `None` to leave the counts as they are.
    pub targets: Option<EngineTargets>,
    /// Price of the targets, as a number of on-demand engines at the usual price.
    pub cost: f64,
}

impl ScalingDecision {
    /// Target engines over all zones; the serving engines if the counts stay as they are.
    pub fn wanted(&self) -> ZoneEngines {
        sum(self.targets.as_ref().unwrap_or(&self.standing))
    }
}

fn sum(zones: &BTreeMap<ZoneName, ZoneEngines>) -> ZoneEngines {
    let mut sum = ZoneEngines::default();
    for engines in zones.values() {
        sum.on_demand = sum.on_demand.saturating_add(engines.on_demand);
        sum.spot = sum.spot.saturating_add(engines.spot);
    }
    sum
}

impl Display for ScalingDecision {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> fmt::Result {
        let serving = sum(&self.standing);
        let wanted = self.wanted();
        let losses = &self.losses;
        write!(formatter, "{:?}: ", self.rule)?;
        if let Some(work) = &self.work {
            let total = work.total();
            write!(
                formatter,
                "{:.0} requests/s arriving, {:.0}/s started, {:.0} of {:.0} slots busy, {:.0} prompt tokens/s; ",
                total.asked_per_s,
                total.begun_per_s,
                total.busy_slots,
                work.slots,
                total.prefill_tokens_per_s
            )?;
        }
        if let Some(need) = &self.need {
            write!(
                formatter,
                "busy engines needed: {:.1} forecast, peak {:.1} in {:.0} s, {:.1} in {:.0} s, history of {:.0} s; ",
                need.forecast,
                need.highest_for_spot,
                need.spot_kept_s,
                need.highest_for_on_demand,
                need.on_demand_kept_s,
                need.known_for_s
            )?;
        }
        write!(
            formatter,
            "serving {} spot, {} on demand; target {} and {}, cost {:.1}; {} losses of spot engines, {} zones at once, \
             lasting {:.0} s of {:.0} s observed; {} engines missing after the next{}",
            serving.spot,
            serving.on_demand,
            wanted.spot,
            wanted.on_demand,
            self.cost,
            losses.record.losses,
            losses.record.zones_at_once,
            losses.record.missed_s,
            losses.record.observed_s,
            losses.short,
            if losses.insured {
                ", covered by on-demand engines"
            } else {
                ""
            }
        )
    }
}
