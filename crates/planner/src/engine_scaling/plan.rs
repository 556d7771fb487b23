//! Engines by zone and terms for a need that is known.

use std::collections::{BTreeMap, BTreeSet};

use dalestand_types::ZoneName;

use crate::engine_scaling::autoscaler::{FULL_PRICE, ScalingInputs, fixed, spot_price, zone_price};
use crate::engine_scaling::decision::{NeedEstimate, ScalingDecision, ScalingRule};
use crate::engine_scaling::distribution::{ZoneRoom, spread};
use crate::engine_scaling::types::{EngineTargets, ZoneEngines};

/// Share of their time for which engines are planned to be busy. Nodes choose engines by loads that are some tens of
/// milliseconds old, and engines differ in speed: the busiest has about twice the mean's work.
const PLANNED_USE: f64 = 0.5;

/// The same where engines at the full price make it up, and while spot engines that were taken away are missed:
/// answers may be late then, and are given.
const FULL_USE: f64 = 0.8;

/// Engines given back in one order are at least this share of the zone's: an order costs a call and a change of
/// entries at all nodes.
const LEAST_GIVEN_BACK: f64 = 0.1;

/// Losses say how often they come once they were looked for over this time: as long as waves are remembered.
const LEAST_OBSERVED_S: f64 = 120.0;

/// Engines by zone.
type Counts = BTreeMap<ZoneName, u32>;

/// A decision by demand.
pub(super) struct Plan<'a> {
    pub(super) inputs: &'a ScalingInputs<'a>,
    pub(super) need: NeedEstimate,
}

impl Plan<'_> {
    /// Decides, and notes what was weighed.
    pub(super) fn decide(&self, account: &mut ScalingDecision) {
        account.rule = if self.is_long() {
            ScalingRule::Demand
        } else {
            ScalingRule::DemandRising
        };
        let zones = self.zones();
        let zones_planned = account.losses.record.zones_at_once.max(1) as usize;
        account.losses.zones_planned = zones_planned;
        let planned = if spot_price(self.inputs).is_some() {
            self.spot_plan(&zones, zones_planned)
        } else {
            Counts::new()
        };
        let total = self.on_demand_total(account, &planned);
        let spot = self.without_small_changes(&zones, &planned);
        let on_demand = self.on_demand_plan(&zones, &spot, total);
        account.targets = Some(self.targets(&spot, &on_demand));
    }

    /// Whether the need is known for as long as idle spot engines are kept: they may be given back by it.
    fn is_long(&self) -> bool {
        self.need.known_for_s >= self.need.spot_kept_s
    }

    fn zones(&self) -> BTreeSet<&ZoneName> {
        let own = self.inputs.baseline.keys();
        own.chain(self.inputs.serving.keys()).collect()
    }

    fn serving(&self, zone: &ZoneName) -> ZoneEngines {
        let serving = self.inputs.serving.get(zone);
        serving.copied().unwrap_or_default()
    }

    /// On-demand engines that stand or boot.
    fn on_demand(&self, zone: &ZoneName) -> u32 {
        let on_demand = self.inputs.provisioned_on_demand.get(zone);
        on_demand.copied().unwrap_or_default()
    }

    /// Spot engines by zone: for the need, and so that it is still served once the largest zones are lost.
    fn spot_plan(&self, zones: &BTreeSet<&ZoneName>, lost: usize) -> Counts {
        let max = self.inputs.bounds.max;
        let room = zones.iter().map(|zone| {
            let can_be_had = !self.inputs.spot_unavailable.contains(*zone);
            let most = if can_be_had {
                max.saturating_sub(self.on_demand(zone))
            } else {
                self.serving(zone).spot.min(max)
            };
            let room = ZoneRoom {
                least: self.least_spot(zone).min(most),
                most,
                price: zone_price(self.inputs, zone),
            };
            ((*zone).clone(), room)
        });
        let room: BTreeMap<ZoneName, ZoneRoom> = room.collect();
        let need = self.need.forecast.max(self.need.highest_for_spot);
        let after_loss = engines_for(need, FULL_USE);
        let suffices = |total| left_after_loss(&spread(&room, total), lost) >= after_loss;
        let wanted = engines_for(need, PLANNED_USE);
        let most = room
            .values()
            .fold(0, |sum: u32, room| sum.saturating_add(room.most));
        spread(&room, fewest(wanted, most, suffices))
    }

    /// Fewest spot engines of a zone.
    fn least_spot(&self, zone: &ZoneName) -> u32 {
        let by_bounds = self.inputs.bounds.min;
        if self.is_long() {
            return by_bounds;
        }
        let fixed = fixed(self.inputs);
        let fixed = fixed.and_then(|targets| targets.get(zone).copied());
        let fixed = fixed.map_or(self.serving(zone).spot, |engines| engines.spot);
        by_bounds.max(fixed)
    }

    /// On-demand engines in all.
    fn on_demand_total(&self, account: &mut ScalingDecision, spot: &Counts) -> u32 {
        let inputs = self.inputs;
        let need = self.need.forecast.max(self.need.highest_for_on_demand);
        let wanted = engines_for(need, FULL_USE);
        let missing = wanted.saturating_sub(sum(spot));
        // One goes only once spot engines stand for it.
        let serving = inputs.serving.values().map(|zone| zone.spot).sum();
        let still_needed = wanted
            .saturating_sub(serving)
            .min(sum(inputs.provisioned_on_demand));
        let short = wanted.saturating_sub(left_after_loss(spot, account.losses.zones_planned));
        account.losses.short = short;
        account.losses.insured = short > 0 && self.is_worth_insuring(account);
        let insured = if account.losses.insured { short } else { 0 };
        let wanted = missing.max(still_needed).max(insured);
        wanted.min(self.affordable()).max(self.kept())
    }

    /// On-demand engines with which the fleet is no dearer than the operator's own number; those that stand or boot
    /// do not go for that.
    fn affordable(&self) -> u32 {
        let own = f64::from(sum(self.inputs.baseline)) * FULL_PRICE;
        let spot_price = spot_price(self.inputs).unwrap_or(FULL_PRICE);
        let spot: u32 = self.inputs.serving.values().map(|zone| zone.spot).sum();
        let affordable = (own - f64::from(spot) * spot_price).max(0.0) as u32;
        affordable.max(sum(self.inputs.provisioned_on_demand))
    }

    /// On-demand engines that stay whatever the demand.
    fn kept(&self) -> u32 {
        let own = sum(self.inputs.baseline);
        let is_known = self.need.known_for_s >= self.need.on_demand_kept_s;
        if spot_price(self.inputs).is_none() && !is_known {
            return own;
        }
        (f64::from(own) * self.inputs.policy.on_demand_share).ceil() as u32
    }

    /// Whether callers lose more by the losses that were seen than on-demand engines in their place cost.
    fn is_worth_insuring(&self, account: &ScalingDecision) -> bool {
        let record = &account.losses.record;
        let Some(between_s) = record.between_s(LEAST_OBSERVED_S) else {
            return false;
        };
        let outage_s = record.outage_s().max(self.inputs.boot.as_secs_f64());
        self.inputs.policy.engine_worth * outage_s > FULL_PRICE * between_s
    }

    /// The planned spot engines, without changes that are worth no order. Engines that others replace elsewhere go
    /// once these stand.
    fn without_small_changes(&self, zones: &BTreeSet<&ZoneName>, planned: &Counts) -> Counts {
        let serving: u32 = zones.iter().map(|zone| self.serving(zone).spot).sum();
        let mut surplus = serving.saturating_sub(sum(planned));
        let counts = zones.iter().map(|zone| {
            let planned = planned.get(*zone).copied().unwrap_or_default();
            let serving = self.serving(zone).spot;
            let given_back = serving.saturating_sub(planned).min(surplus);
            let least = (f64::from(serving) * LEAST_GIVEN_BACK).ceil() as u32;
            let count = if planned >= serving {
                planned
            } else if given_back < least {
                serving
            } else {
                surplus -= given_back;
                serving - given_back
            };
            ((*zone).clone(), count)
        });
        counts.collect()
    }

    /// On-demand engines by zone. Those that stand or boot stay where they are.
    fn on_demand_plan(&self, zones: &BTreeSet<&ZoneName>, spot: &Counts, total: u32) -> Counts {
        let bounds = self.inputs.bounds;
        let grows = total >= sum(self.inputs.provisioned_on_demand);
        let room = zones.iter().map(|zone| {
            let spot = spot.get(*zone).copied().unwrap_or_default();
            let most = bounds.max.saturating_sub(spot.max(self.serving(zone).spot));
            let now = self.on_demand(zone);
            // One that stands for spot engines that are still to come stays.
            let kept = bounds.min.saturating_sub(self.serving(zone).spot).min(now);
            let least = bounds.min.saturating_sub(spot).max(kept);
            let (least, most) = if grows {
                (least.max(now), most)
            } else {
                (least, most.min(now.max(least)))
            };
            let room = ZoneRoom {
                least: least.min(most),
                most,
                price: zone_price(self.inputs, zone),
            };
            ((*zone).clone(), room)
        });
        spread(&room.collect(), total)
    }

    fn targets(&self, spot: &Counts, on_demand: &Counts) -> EngineTargets {
        let max = self.inputs.bounds.max;
        let targets = on_demand.iter().map(|(zone, on_demand)| {
            // Engines that leave count until they have left: the platform refuses more than the most.
            let taken = (*on_demand).max(self.on_demand(zone)).min(max);
            let spot = spot.get(zone).copied().unwrap_or_default();
            let engines = ZoneEngines {
                on_demand: *on_demand,
                spot: spot.min(max - taken),
            };
            (zone.clone(), engines)
        });
        targets.collect()
    }
}

/// Engines for a need at a share of their time.
fn engines_for(need: f64, in_use: f64) -> u32 {
    (need / in_use).ceil() as u32
}

fn sum(counts: &Counts) -> u32 {
    counts
        .values()
        .fold(0, |sum, count| sum.saturating_add(*count))
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
