//! Numbers of engines by demand, by what idle engines cost and by the losses that were seen.
//!
//! Answers these loads: a rise that lasts longer than an engine takes to boot, waves that return, a calm after a
//! burst, all spot engines of one zone or of several taken away at once, and zones where none can be had.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dalestand_types::{MonotonicTime, ZoneName};

use crate::engine_scaling::decision::{LossAssessment, NeedEstimate, ScalingDecision, ScalingRule};
use crate::engine_scaling::fixed::fixed_targets;
use crate::engine_scaling::losses::SpotLossTracker;
use crate::engine_scaling::need::{MEMORY, NeedTracker};
use crate::engine_scaling::plan::Plan;
use crate::engine_scaling::types::{
    EngineTargets, ScalingBounds, ScalingPolicy, ZoneEngines, ZonePrices,
};
use crate::engine_scaling::workload::{PoolWorkload, RequestCost};

/// Price of an on-demand engine.
pub(super) const FULL_PRICE: f64 = 1.0;

/// What follows the demand and the losses of one pool.
#[derive(Clone, Debug, Default)]
pub struct Autoscaler {
    /// The need of engines.
    pub need: NeedTracker,
    /// Losses of spot engines.
    pub losses: SpotLossTracker,
    request: RequestCost,
    work: Option<PoolWorkload>,
}

/// What a decision is made by beside demand and losses.
#[derive(Clone, Copy, Debug)]
pub struct ScalingInputs<'a> {
    /// The time.
    pub now: MonotonicTime,
    /// The operator's own numbers.
    pub baseline: &'a BTreeMap<ZoneName, u32>,
    /// Engines that take new work.
    pub serving: &'a BTreeMap<ZoneName, ZoneEngines>,
    /// Zones that refused spot engines a short time ago.
    pub spot_unavailable: &'a BTreeSet<ZoneName>,
    /// On-demand engines that stand or were ordered and boot.
    pub provisioned_on_demand: &'a BTreeMap<ZoneName, u32>,
    /// What the platform allows.
    pub bounds: ScalingBounds,
    /// What zones cost.
    pub prices: &'a ZonePrices,
    /// What the operator allows.
    pub policy: ScalingPolicy,
    /// Time from an order until the engine serves.
    pub boot: Duration,
    /// Time in which an engine prefills what fills its memory.
    pub warm_up: Duration,
}

impl Autoscaler {
    /// Takes in what the pool's engines do and are asked to do, where engines take `boot` until they serve.
    pub fn observe(&mut self, now: MonotonicTime, work: PoolWorkload, boot: Duration) {
        if let Some(needed) = self.request.engines_needed(now, &work) {
            self.need.observe(now, needed, boot);
            self.work = Some(work);
        }
    }

    /// The numbers wanted, and what was weighed.
    pub fn decide(&self, inputs: &ScalingInputs<'_>) -> ScalingDecision {
        let need = self.need_account(inputs);
        let mut account = ScalingDecision {
            rule: ScalingRule::Fixed,
            work: self.work.clone().filter(|_| need.is_some()),
            need,
            losses: LossAssessment {
                record: *self.losses.record(),
                ..LossAssessment::default()
            },
            serving: inputs.serving.clone(),
            targets: fixed(inputs),
            cost: 0.0,
        };
        if let Some(need) = need {
            Plan { inputs, need }.decide(&mut account);
        }
        account.cost = cost(inputs, account.targets.as_ref());
        account
    }

    fn need_account(&self, inputs: &ScalingInputs<'_>) -> Option<NeedEstimate> {
        let now = inputs.now;
        let known_for = self.need.known_for(now)?;
        let spot_kept = kept_for(inputs, spot_price(inputs).unwrap_or(FULL_PRICE));
        let on_demand_kept = kept_for(inputs, FULL_PRICE);
        Some(NeedEstimate {
            forecast: self.need.forecast(now, inputs.boot),
            highest_for_spot: self.need.highest_within(now, spot_kept),
            highest_for_on_demand: self.need.highest_within(now, on_demand_kept),
            known_for_s: known_for.as_secs_f64(),
            spot_kept_s: spot_kept.as_secs_f64(),
            on_demand_kept_s: on_demand_kept.as_secs_f64(),
        })
    }
}

/// The time for which an idle engine at `price` is kept: until it has cost what callers lose if it is needed, has to
/// boot first and has nothing of their prompts in its memory.
fn kept_for(inputs: &ScalingInputs<'_>, price: f64) -> Duration {
    let lost_s = (inputs.boot + inputs.warm_up).as_secs_f64();
    let kept_s = lost_s * inputs.policy.engine_worth / price;
    let kept = Duration::try_from_secs_f64(kept_s).unwrap_or(MEMORY);
    kept.clamp(inputs.boot.min(MEMORY), MEMORY)
}

/// The numbers that the rule without knowledge of demand wants.
pub(super) fn fixed(inputs: &ScalingInputs<'_>) -> Option<EngineTargets> {
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
        let full = f64::from(engines.on_demand) + f64::from(engines.spot) * spot_price;
        full * zone_price(inputs, zone)
    });
    costs.sum()
}

/// The price of a zone. One that is no price is taken for the usual one.
pub(super) fn zone_price(inputs: &ScalingInputs<'_>, zone: &ZoneName) -> f64 {
    let price = inputs.prices.get(zone).copied();
    let price = price.filter(|price| price.is_finite() && *price > 0.0);
    price.unwrap_or(FULL_PRICE)
}

/// The price of spot engines, where they are cheaper than others.
pub(super) fn spot_price(inputs: &ScalingInputs<'_>) -> Option<f64> {
    inputs.bounds.spot_price.filter(|price| *price < FULL_PRICE)
}
