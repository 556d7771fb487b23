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
use crate::engine_scaling::spread::{ZoneRoom, spread};
use crate::engine_scaling::terms::{
    EngineTargets, ScalingBounds, ScalingPolicy, ZoneEngines, ZonePrices,
};
use crate::engine_scaling::work::PoolWork;

/// Share of their time for which engines are planned to be busy. Nodes choose engines by loads that are some tens of
/// milliseconds old, and engines differ in speed: the busiest has about twice the mean's work.
const PLANNED_USE: f64 = 0.5;

/// The same while spot engines that were taken away are missed: answers may be late then, and are given.
const USE_AFTER_LOSS: f64 = 0.8;

/// Engines given back in one order are at least this share of the zone's: an order costs a call and a change of
/// entries at all nodes.
const LEAST_GIVEN_BACK: f64 = 0.1;

/// Price of an on-demand engine.
const FULL_PRICE: f64 = 1.0;

/// What follows the demand and the losses of one pool.
#[derive(Clone, Debug, Default)]
pub struct DemandScaling {
    /// The need of engines.
    pub need: EngineNeed,
    /// Losses of spot engines.
    pub losses: SpotLosses,
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
    pub on_demand: u32,
    /// What the platform allows.
    pub bounds: ScalingBounds,
    /// What zones cost.
    pub prices: &'a ZonePrices,
    /// What the operator allows.
    pub policy: ScalingPolicy,
    /// Time from an order until the engine serves.
    pub boot: Duration,
}

impl DemandScaling {
    /// Takes in what the pool's engines do and are asked to do, where engines take `boot` until they serve.
    pub fn observe(&mut self, now: MonotonicTime, work: PoolWork, boot: Duration) {
        if let Some(needed) = work.engines_needed() {
            self.need.observe(now, needed, boot);
            self.work = Some(work);
        }
    }

    /// The numbers wanted, and what was weighed.
    pub fn decide(&self, moment: &ScalingMoment<'_>) -> ScalingAccount {
        let need = self.need_account(moment);
        let mut account = ScalingAccount {
            rule: ScalingRule::Fixed,
            work: self.work.filter(|_| need.is_some()),
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
            let plan = Plan { moment, need };
            plan.decide(&mut account);
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

/// The time for which an idle engine at `price` is kept: until it has cost what callers lose if it is needed and has
/// to boot first.
fn kept_for(moment: &ScalingMoment<'_>, price: f64) -> Duration {
    let boot_s = moment.boot.as_secs_f64();
    let kept_s = boot_s * moment.policy.engine_worth / price;
    let kept = Duration::try_from_secs_f64(kept_s).unwrap_or(MEMORY);
    kept.clamp(moment.boot.min(MEMORY), MEMORY)
}

fn fixed(moment: &ScalingMoment<'_>) -> Option<EngineTargets> {
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
fn zone_price(moment: &ScalingMoment<'_>, zone: &ZoneName) -> f64 {
    let price = moment.prices.get(zone).copied();
    let price = price.filter(|price| price.is_finite() && *price > 0.0);
    price.unwrap_or(FULL_PRICE)
}

/// The price of spot engines, where they are cheaper than others.
fn spot_price(moment: &ScalingMoment<'_>) -> Option<f64> {
    moment.bounds.spot_price.filter(|price| *price < FULL_PRICE)
}

/// Engines for a need at a share of their time.
fn engines_for(need: f64, in_use: f64) -> u32 {
    (need / in_use).ceil() as u32
}

struct Plan<'a> {
    moment: &'a ScalingMoment<'a>,
    need: NeedAccount,
}

impl Plan<'_> {
    fn decide(&self, account: &mut ScalingAccount) {
        let is_long = self.need.known_for_s >= self.need.spot_kept_s;
        account.rule = if is_long {
            ScalingRule::Demand
        } else {
            ScalingRule::DemandRising
        };
        let zones = self.zones();
        let zones_planned = account.losses.record.zones_at_once.max(1) as usize;
        account.losses.zones_planned = zones_planned;
        let spot = if spot_price(self.moment).is_some() {
            self.spot_plan(&zones, zones_planned, is_long)
        } else {
            BTreeMap::new()
        };
        let on_demand = self.on_demand_total(account, &spot);
        account.targets = Some(self.targets(&zones, &spot, on_demand));
    }

    fn zones(&self) -> BTreeSet<&ZoneName> {
        let own = self.moment.own.keys();
        own.chain(self.moment.standing.keys()).collect()
    }

    fn standing(&self, zone: &ZoneName) -> ZoneEngines {
        let standing = self.moment.standing.get(zone);
        standing.copied().unwrap_or_default()
    }

    fn price(&self, zone: &ZoneName) -> f64 {
        zone_price(self.moment, zone)
    }

    /// Spot engines by zone: for the need, and so that it is still served once the largest zones are lost.
    fn spot_plan(
        &self,
        zones: &BTreeSet<&ZoneName>,
        lost: usize,
        is_long: bool,
    ) -> BTreeMap<ZoneName, u32> {
        let room = zones.iter().map(|zone| {
            let can_be_had = !self.moment.without_spot.contains(*zone);
            let most = if can_be_had {
                self.moment.bounds.max
            } else {
                self.standing(zone).spot
            };
            let room = ZoneRoom {
                least: self.floor(zone, is_long).min(most),
                most,
                price: self.price(zone),
            };
            ((*zone).clone(), room)
        });
        let room: BTreeMap<ZoneName, ZoneRoom> = room.collect();
        let need = self.need.forecast.max(self.need.highest_for_spot);
        let after_loss = engines_for(need, USE_AFTER_LOSS);
        let suffices = |total| left_after_loss(&spread(&room, total), lost) >= after_loss;
        let wanted = engines_for(need, PLANNED_USE);
        let most = room
            .values()
            .fold(0, |sum: u32, room| sum.saturating_add(room.most));
        spread(&room, fewest(wanted, most, suffices))
    }

    /// Fewest spot engines of a zone.
    fn floor(&self, zone: &ZoneName, is_long: bool) -> u32 {
        let by_bounds = self.moment.bounds.min;
        if is_long {
            return by_bounds;
        }
        let standing = self.standing(zone);
        let fixed = fixed(self.moment);
        let fixed = fixed.and_then(|targets| targets.get(zone).copied());
        by_bounds.max(fixed.map_or(standing.spot, |engines| engines.spot))
    }

    /// On-demand engines in all.
    fn on_demand_total(&self, account: &mut ScalingAccount, spot: &BTreeMap<ZoneName, u32>) -> u32 {
        let moment = self.moment;
        let need = self.need.forecast.max(self.need.highest_for_on_demand);
        let planned: u32 = spot.values().sum();
        let standing: u32 = moment.standing.values().map(|zone| zone.spot).sum();
        let wanted = engines_for(need, PLANNED_USE);
        // One goes only once spot engines stand for it.
        let still_needed = wanted.saturating_sub(standing).min(moment.on_demand);
        let lost = account.losses.zones_planned;
        let left = left_after_loss(spot, lost);
        let short = engines_for(need, USE_AFTER_LOSS).saturating_sub(left);
        account.losses.short = short;
        account.losses.insured = short > 0 && self.is_worth_insuring(account);
        let insured = if account.losses.insured { short } else { 0 };
        let own: u32 = moment.own.values().sum();
        let is_known = self.need.known_for_s >= self.need.on_demand_kept_s;
        let kept = if fixed(moment).is_none() && !is_known {
            own
        } else {
            (f64::from(own) * moment.policy.on_demand_share).ceil() as u32
        };
        let missing = wanted.saturating_sub(planned);
        missing.max(still_needed).max(insured).max(kept)
    }

    /// Whether callers lose more by the losses that were seen than on-demand engines in their place cost.
    fn is_worth_insuring(&self, account: &ScalingAccount) -> bool {
        let record = &account.losses.record;
        let Some(between_s) = record.between_s() else {
            return false;
        };
        let outage_s = record.outage_s().max(self.moment.boot.as_secs_f64());
        self.moment.policy.engine_worth * outage_s > FULL_PRICE * between_s
    }

    fn targets(
        &self,
        zones: &BTreeSet<&ZoneName>,
        spot: &BTreeMap<ZoneName, u32>,
        on_demand: u32,
    ) -> EngineTargets {
        let max = self.moment.bounds.max;
        let spot: BTreeMap<&ZoneName, u32> = zones
            .iter()
            .map(|zone| {
                let planned = spot.get(*zone).copied().unwrap_or_default();
                (*zone, self.worth_a_change(zone, planned))
            })
            .collect();
        let room = zones.iter().map(|zone| {
            let taken = spot[zone].max(self.standing(zone).spot);
            let most = max.saturating_sub(taken);
            let room = ZoneRoom {
                least: self.moment.bounds.min.saturating_sub(spot[zone]).min(most),
                most,
                price: self.price(zone),
            };
            ((*zone).clone(), room)
        });
        let on_demand = spread(&room.collect(), on_demand);
        let targets = zones.iter().map(|zone| {
            let on_demand = on_demand.get(*zone).copied().unwrap_or_default();
            // Engines that leave count until they have left: the platform refuses more than the most.
            let taken = on_demand.max(self.standing(zone).on_demand).min(max);
            let spot = spot[zone].min(max - taken);
            ((*zone).clone(), ZoneEngines { on_demand, spot })
        });
        targets.collect()
    }

    /// The planned spot engines of a zone, or those that stand where a few less are planned.
    fn worth_a_change(&self, zone: &ZoneName, planned: u32) -> u32 {
        let standing = self.standing(zone).spot;
        let given_back = standing.saturating_sub(planned);
        let least = (f64::from(standing) * LEAST_GIVEN_BACK).ceil() as u32;
        if given_back > 0 && given_back < least {
            standing
        } else {
            planned
        }
    }
}

/// The fewest from `least` to `most` that suffice; `least` if not even `most` do.
fn fewest(least: u32, most: u32, suffices: impl Fn(u32) -> bool) -> u32 {
    if least >= most || !suffices(most) {
        return least;
    }
    let (mut too_few, mut enough) = (least, most);
    if suffices(least) {
        return least;
    }
    while enough - too_few > 1 {
        let middle = too_few + (enough - too_few) / 2;
        if suffices(middle) {
            enough = middle;
        } else {
            too_few = middle;
        }
    }
    enough
}

/// Engines left once the largest zones are lost.
fn left_after_loss(plan: &BTreeMap<ZoneName, u32>, lost: usize) -> u32 {
    let mut zones: Vec<u32> = plan.values().copied().collect();
    zones.sort_unstable_by(|one, other| other.cmp(one));
    zones.into_iter().skip(lost).sum()
}
