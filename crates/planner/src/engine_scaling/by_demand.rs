//! Numbers of engines by demand, by what idle engines cost and by the losses that were seen.
//!
//! Answers these loads: a rise that lasts longer than an engine takes to boot, waves that return, a calm after a
//! burst, all spot engines of one zone or of several taken away at once, and zones where none can be had.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dalestand_types::{MonotonicTime, ZoneName};

use crate::engine_scaling::account::{LossAccount, NeedAccount, ScalingAccount, ScalingRule};
use crate::engine_scaling::fixed::engine_targets;
use crate::engine_scaling::losses::SpotLosses;
use crate::engine_scaling::need::{EngineNeed, MEMORY};
use crate::engine_scaling::plan::Plan;
use crate::engine_scaling::terms::{
    EngineTargets, ScalingBounds, ScalingPolicy, ZoneEngines, ZonePrices,
};
use crate::engine_scaling::work::{PoolWork, RequestWork};

/// Price of an on-demand engine.
pub(super) const FULL_PRICE: f64 = 1.0;

/// What follows the demand and the losses of one pool.
#[derive(Clone, Debug, Default)]
pub struct DemandScaling {
    /// The need of engines.
    pub need: EngineNeed,
    /// Losses of spot engines.
    pub losses: SpotLosses,
    request: RequestWork,
    work: Option<PoolWork>,
}

/// What a decision is made by beside demand and losses.
#[derive(Clone, Copy, Debug)]
pub struct ScalingMoment<'a> {
    /// The time.
    pub now: MonotonicTime,
    /// The operator's own numbers.
    pub own: &'a BTreeMap<ZoneName, u32>,
    /// Engines that take new work.
    pub standing: &'a BTreeMap<ZoneName, ZoneEngines>,
    /// Zones that refused spot engines a short time ago.
    pub without_spot: &'a BTreeSet<ZoneName>,
    /// On-demand engines that stand or were ordered and boot.
    pub on_demand: &'a BTreeMap<ZoneName, u32>,
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

impl DemandScaling {
    /// Takes in what the pool's engines do and are asked to do, where engines take `boot` until they serve.
    pub fn observe(&mut self, now: MonotonicTime, work: PoolWork, boot: Duration) {
        if let Some(needed) = self.request.engines_needed(now, &work) {
            self.need.observe(now, needed, boot);
            self.work = Some(work);
        }
    }

    /// The numbers wanted, and what was weighed.
    pub fn decide(&self, moment: &ScalingMoment<'_>) -> ScalingAccount {
        let need = self.need_account(moment);
        let mut account = ScalingAccount {
            rule: ScalingRule::Fixed,
            work: self.work.clone().filter(|_| need.is_some()),
            need,
            losses: LossAccount {
                record: *self.losses.record(),
                ..LossAccount::default()
            },
            standing: moment.standing.clone(),
            targets: fixed(moment),
            cost: 0.0,
        };
        if let Some(need) = need {
            Plan { moment, need }.decide(&mut account);
        }
        account.cost = cost(moment, account.targets.as_ref());
        account
    }

    fn need_account(&self, moment: &ScalingMoment<'_>) -> Option<NeedAccount> {
        let now = moment.now;
        let known_for = self.need.known_for(now)?;
        let spot_kept = kept_for(moment, spot_price(moment).unwrap_or(FULL_PRICE));
        let on_demand_kept = kept_for(moment, FULL_PRICE);
        Some(NeedAccount {
            forecast: self.need.forecast(now, moment.boot),
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
fn kept_for(moment: &ScalingMoment<'_>, price: f64) -> Duration {
    let lost_s = (moment.boot + moment.warm_up).as_secs_f64();
    let kept_s = lost_s * moment.policy.engine_worth / price;
    let kept = Duration::try_from_secs_f64(kept_s).unwrap_or(MEMORY);
    kept.clamp(moment.boot.min(MEMORY), MEMORY)
}

/// The numbers that the rule without knowledge of demand wants.
pub(super) fn fixed(moment: &ScalingMoment<'_>) -> Option<EngineTargets> {
    engine_targets(moment.own, moment.standing, moment.bounds, moment.policy)
}

fn cost(moment: &ScalingMoment<'_>, targets: Option<&EngineTargets>) -> f64 {
    let spot_price = spot_price(moment).unwrap_or(FULL_PRICE);
    let zones = targets.unwrap_or(moment.standing).iter();
    let costs = zones.map(|(zone, engines)| {
        let full = f64::from(engines.on_demand) + f64::from(engines.spot) * spot_price;
        full * zone_price(moment, zone)
    });
    costs.sum()
}

/// The price of a zone. One that is no price is taken for the usual one.
pub(super) fn zone_price(moment: &ScalingMoment<'_>, zone: &ZoneName) -> f64 {
    let price = moment.prices.get(zone).copied();
    let price = price.filter(|price| price.is_finite() && *price > 0.0);
    price.unwrap_or(FULL_PRICE)
}

/// The price of spot engines, where they are cheaper than others.
pub(super) fn spot_price(moment: &ScalingMoment<'_>) -> Option<f64> {
    moment.bounds.spot_price.filter(|price| *price < FULL_PRICE)
}
