//! What was weighed when numbers of engines were decided.

use std::collections::BTreeMap;
use std::fmt::{self, Display, Formatter};

use dalestand_types::ZoneName;
use serde::Serialize;

use crate::engine_scaling::losses::LossRecord;
use crate::engine_scaling::types::{EngineTargets, ZoneEngines};
use crate::engine_scaling::workload::PoolWorkload;

/// What decided the numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScalingRule {
    /// The operator's own number and the prices.
    Fixed,
    /// Demand, whose history is too short to give engines back by it.
    DemandRising,
    /// Demand.
    Demand,
}

/// The need of engines, in engines that are busy all the time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct NeedEstimate {
    /// Expected when engines that are ordered now have booted.
    pub forecast: f64,
    /// The highest within the time for which spot engines are kept.
    pub highest_for_spot: f64,
    /// The highest within the time for which on-demand engines are kept.
    pub highest_for_on_demand: f64,
    /// Time for which the need is known, in seconds.
    pub known_for_s: f64,
    /// Time for which idle spot engines are kept, in seconds.
    pub spot_kept_s: f64,
    /// Time for which idle on-demand engines are kept, in seconds.
    pub on_demand_kept_s: f64,
}

/// Losses of spot engines as they were weighed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct LossAssessment {
    /// What was seen.
    pub record: LossRecord,
    /// Zones whose loss is planned for.
    pub zones_planned: usize,
    /// Whether on-demand engines stand for spot engines that may be lost.
    pub insured: bool,
    /// Engines short of the need in such a loss, before on-demand engines are counted.
    pub short: u32,
}

/// One decision for a pool.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScalingDecision {
    /// What decided.
    pub rule: ScalingRule,
    /// What engines did and were asked to do; `None` if no figure is known.
    pub work: Option<PoolWorkload>,
    /// The need of engines; `None` if no figure is known.
    pub need: Option<NeedEstimate>,
    /// Losses.
    pub losses: LossAssessment,
    /// Engines that stood.
    #[serde(rename = "standing")]
    pub serving: BTreeMap<ZoneName, ZoneEngines>,
    /// Engines wanted; `None` if the number stays as it is.
    pub targets: Option<EngineTargets>,
    /// What the targets cost a second, in engines at the full price.
    pub cost: f64,
}

impl ScalingDecision {
    /// Engines wanted in all zones; those that stand where the number stays as it is.
    pub fn wanted(&self) -> ZoneEngines {
        sum(self.targets.as_ref().unwrap_or(&self.serving))
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
        let serving = sum(&self.serving);
        let wanted = self.wanted();
        let losses = &self.losses;
        write!(formatter, "{:?}: ", self.rule)?;
        if let Some(work) = &self.work {
            let total = work.total();
            write!(
                formatter,
                "{:.0}/s asked, {:.0}/s begun, {:.0} of {:.0} slots busy, {:.0} prompt tokens/s; ",
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
                "busy engines {:.1} expected, {:.1} at most in {:.0} s, {:.1} in {:.0} s, known for {:.0} s; ",
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
            "standing {} spot, {} on demand; wanted {} and {}, cost {:.1}; {} losses, {} zones at once, {:.0} s \
             missed of {:.0} s, {} short after the next{}",
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
            if losses.insured { ", insured" } else { "" }
        )
    }
}
