//! Scales a pool by demand, by the cost of idle engines and by past reclamations of spot engines.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dalestand_types::{MonotonicTime, ZoneName};

use crate::engine_scaling::decision::{LossAssessment, NeedEstimate, ScalingDecision, ScalingRule};
use crate::engine_scaling::fixed::fixed_targets;
use crate::engine_scaling::losses::SpotLossTracker;
use crate::engine_scaling::need::{HISTORY_DURATION, NeedTracker};
use crate::engine_scaling::plan::DemandPlan;
use crate::engine_scaling::types::{
    EngineTargets, ScalingBounds, ScalingPolicy, ZoneEngines, ZonePrices,
};
use crate::engine_scaling::workload::{PoolWorkload, RequestCost};

/// Price of an on-demand engine.
pub(super) const FULL_PRICE: f64 = 1.0;

/// Tracks the demand and the spot reclamations of one pool and decides its engine counts.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler {
    /// Engines needed to serve the demand.
    pub need: NeedTracker,
    /// Reclamations of spot engines.
    pub losses: SpotLossTracker,
    request_cost: RequestCost,
    work: Option<PoolWorkload>,
}

/// Inputs of a scaling decision other than demand and reclamations.
#[derive(Clone, Copy, Debug)]
pub struct ScalingInputs<'a> {
    /// Time of the decision.
    pub now: MonotonicTime,
    /// Engines that the operator provisioned before autoscaling began, by zone.
    pub baseline: &'a BTreeMap<ZoneName, u32>,
    /// Engines that accept new requests.
    pub serving: &'a BTreeMap<ZoneName, ZoneEngines>,
    /// Zones that recently refused an order for spot engines.
    pub spot_unavailable: &'a BTreeSet<ZoneName>,
    /// On-demand engines that serve or are booting.
    pub provisioned_on_demand: &'a BTreeMap<ZoneName, u32>,
    /// Limits set by the platform.
    pub bounds: ScalingBounds,
    /// Prices by zone.
    pub prices: &'a ZonePrices,
    /// Settings of the operator.
    pub policy: ScalingPolicy,
    /// Time from an order until the engine serves.
    pub boot: Duration,
    /// Time an engine takes to prefill enough tokens to fill its cache.
    pub warm_up: Duration,
}

impl Autoscaler {
    /// Records the current load of the pool. `boot` is the time from an order until the engine serves.
    pub fn observe(&mut self, now: MonotonicTime, work: PoolWorkload, boot: Duration) {
        if let Some(needed) = self.request_cost.engines_needed(now, &work) {
            self.need.observe(now, needed, boot);
            self.work = Some(work);
        }
    }

    /// Decides the engine counts.
    pub fn decide(&self, inputs: &ScalingInputs<'_>) -> ScalingDecision {
        let need = self.estimate_need(inputs);
        let mut decision = ScalingDecision {
            rule: ScalingRule::Fixed,
            work: self.work.clone().filter(|_| need.is_some()),
            need,
            losses: LossAssessment {
                record: *self.losses.record(),
                ..LossAssessment::default()
            },
            standing: inputs.serving.clone(),
            targets: fixed_rule_targets(inputs),
            cost: 0.0,
        };
        if let Some(need) = need {
            DemandPlan { inputs, need }.decide(&mut decision);
        }
        decision.cost = cost(inputs, decision.targets.as_ref());
        decision
    }

    fn estimate_need(&self, inputs: &ScalingInputs<'_>) -> Option<NeedEstimate> {
        let now = inputs.now;
        let known_for = self.need.known_for(now)?;
        let spot_retention = retention_time(inputs, spot_price(inputs).unwrap_or(FULL_PRICE));
        let on_demand_retention = retention_time(inputs, FULL_PRICE);
        Some(NeedEstimate {
            forecast: self.need.forecast(now, inputs.boot),
            highest_for_spot: self.need.peak_within(now, spot_retention),
            highest_for_on_demand: self.need.peak_within(now, on_demand_retention),
            known_for_s: known_for.as_secs_f64(),
            spot_kept_s: spot_retention.as_secs_f64(),
            on_demand_kept_s: on_demand_retention.as_secs_f64(),
        })
    }
}

/// How long to keep an idle engine at `price`: until its cost equals what callers would lose if it were needed again
/// and had to boot and refill its cache first.
fn retention_time(inputs: &ScalingInputs<'_>, price: f64) -> Duration {
    let startup_s = (inputs.boot + inputs.warm_up).as_secs_f64();
    let retention_s = startup_s * inputs.policy.engine_worth / price;
    let retention = Duration::try_from_secs_f64(retention_s).unwrap_or(HISTORY_DURATION);
    retention.clamp(inputs.boot.min(HISTORY_DURATION), HISTORY_DURATION)
}

/// Targets by [`ScalingRule::Fixed`].
pub(super) fn fixed_rule_targets(inputs: &ScalingInputs<'_>) -> Option<EngineTargets> {
    fixed_targets(
        inputs.baseline,
        inputs.serving,
        inputs.bounds,
        inputs.policy,
    )
}

fn cost(inputs: &ScalingInputs<'_>, targets: Option<&EngineTargets>) -> f64 {
    let spot_price = spot_price(inputs).unwrap_or(FULL_PRICE);
    let zones = targets.unwrap_or(inputs.serving).iter();
    let costs = zones.map(|(zone, engines)| {
        let at_usual_price = f64::from(engines.on_demand) + f64::from(engines.spot) * spot_price;
        at_usual_price * zone_price(inputs, zone)
    });
    costs.sum()
}

/// Price of a zone, as a multiple of the usual price. An invalid price counts as the usual one.
pub(super) fn zone_price(inputs: &ScalingInputs<'_>, zone: &ZoneName) -> f64 {
    let price = inputs.prices.get(zone).copied();
    let price = price.filter(|price| price.is_finite() && *price > 0.0);
    price.unwrap_or(FULL_PRICE)
}

/// Price of a spot engine; `None` unless it is below the on-demand price.
pub(super) fn spot_price(inputs: &ScalingInputs<'_>) -> Option<f64> {
    inputs.bounds.spot_price.filter(|price| *price < FULL_PRICE)
}
