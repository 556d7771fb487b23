//! Plans engines by zone from a known need.

use std::collections::{BTreeMap, BTreeSet};

use dalestand_types::ZoneName;

use crate::engine_scaling::autoscaler::{
    FULL_PRICE, ScalingInputs, fixed_rule_targets, spot_price, zone_price,
};
use crate::engine_scaling::decision::{NeedEstimate, ScalingDecision, ScalingRule};
use crate::engine_scaling::distribution::{ZoneLimits, distribute};
use crate::engine_scaling::types::{EngineTargets, ZoneEngines};

/// Planned mean utilization. Nodes route by slightly outdated loads and engines differ in speed, so the busiest engine
/// has about twice the mean load.
const TARGET_UTILIZATION: f64 = 0.5;

/// Utilization planned for on-demand engines and for what is left after a loss of spot engines: answers may be late
/// but are still given.
const MAX_UTILIZATION: f64 = 0.8;

/// Smallest fraction of a zone's spot engines to remove in one order. Every order costs a platform call and updates
/// the engine entries on all nodes.
const MIN_SCALE_DOWN_SHARE: f64 = 0.1;

/// Observation time from which losses give a usable rate, in seconds; as long as the need history.
const MIN_LOSS_OBSERVATION_S: f64 = 120.0;

/// Engines by zone.
type Counts = BTreeMap<ZoneName, u32>;

/// Plans the engine counts for one decision.
pub(super) struct DemandPlan<'a> {
    pub(super) inputs: &'a ScalingInputs<'a>,
    pub(super) need: NeedEstimate,
}

impl DemandPlan<'_> {
    /// Fills in the targets and the figures they are based on.
    pub(super) fn decide(&self, decision: &mut ScalingDecision) {
        decision.rule = if self.may_scale_down() {
            ScalingRule::Demand
        } else {
            ScalingRule::DemandRising
        };
        let zones = self.zones();
        let zones_planned = decision.losses.record.zones_at_once.max(1) as usize;
        decision.losses.zones_planned = zones_planned;
        let planned = if spot_price(self.inputs).is_some() {
            self.plan_spot(&zones, zones_planned)
        } else {
            Counts::new()
        };
        let total = self.on_demand_total(decision, &planned);
        let spot = self.skip_small_scale_downs(&zones, &planned);
        let on_demand = self.plan_on_demand(&zones, &spot, total);
        decision.targets = Some(self.targets(&spot, &on_demand));
    }

    /// Whether the need history covers the retention time of spot engines, so that idle ones may be removed.
    fn may_scale_down(&self) -> bool {
        self.need.known_for_s >= self.need.spot_kept_s
    }

    fn zones(&self) -> BTreeSet<&ZoneName> {
        let baseline = self.inputs.baseline.keys();
        baseline.chain(self.inputs.serving.keys()).collect()
    }

    fn serving(&self, zone: &ZoneName) -> ZoneEngines {
        let serving = self.inputs.serving.get(zone);
        serving.copied().unwrap_or_default()
    }

    /// On-demand engines that serve or are booting.
    fn provisioned_on_demand(&self, zone: &ZoneName) -> u32 {
        let on_demand = self.inputs.provisioned_on_demand.get(zone);
        on_demand.copied().unwrap_or_default()
    }

    /// Spot engines by zone: enough for the need, and enough to serve it after the loss of the `lost` largest zones.
    fn plan_spot(&self, zones: &BTreeSet<&ZoneName>, lost: usize) -> Counts {
        let bound = self.inputs.bounds.max;
        let limits = zones.iter().map(|zone| {
            let is_available = !self.inputs.spot_unavailable.contains(*zone);
            let max = if is_available {
                bound.saturating_sub(self.provisioned_on_demand(zone))
            } else {
                self.serving(zone).spot.min(bound)
            };
            let limits = ZoneLimits {
                min: self.min_spot(zone).min(max),
                max,
                price: zone_price(self.inputs, zone),
            };
            ((*zone).clone(), limits)
        });
        let limits: BTreeMap<ZoneName, ZoneLimits> = limits.collect();
        let need = self.need.forecast.max(self.need.highest_for_spot);
        let after_loss = engines_for(need, MAX_UTILIZATION);
        let suffices = |total| left_after_loss(&distribute(&limits, total), lost) >= after_loss;
        let wanted = engines_for(need, TARGET_UTILIZATION);
        let total_max = limits
            .values()
            .fold(0, |sum: u32, limits| sum.saturating_add(limits.max));
        distribute(&limits, fewest(wanted, total_max, suffices))
    }

    /// Minimum spot engines of a zone. Until idle engines may be removed, this is the target of the fixed rule.
    fn min_spot(&self, zone: &ZoneName) -> u32 {
        let by_bounds = self.inputs.bounds.min;
        if self.may_scale_down() {
            return by_bounds;
        }
        let fixed = fixed_rule_targets(self.inputs);
        let fixed = fixed.and_then(|targets| targets.get(zone).copied());
        let fixed = fixed.map_or(self.serving(zone).spot, |engines| engines.spot);
        by_bounds.max(fixed)
    }

    /// On-demand engines over all zones.
    fn on_demand_total(&self, decision: &mut ScalingDecision, spot: &Counts) -> u32 {
        let inputs = self.inputs;
        let need = self.need.forecast.max(self.need.highest_for_on_demand);
        let wanted = engines_for(need, MAX_UTILIZATION);
        let missing = wanted.saturating_sub(sum(spot));
        // An on-demand engine is removed only once a spot engine serves in its place.
        let serving = inputs.serving.values().map(|zone| zone.spot).sum();
        let still_needed = wanted
            .saturating_sub(serving)
            .min(sum(inputs.provisioned_on_demand));
        let short = wanted.saturating_sub(left_after_loss(spot, decision.losses.zones_planned));
        decision.losses.short = short;
        decision.losses.insured = short > 0 && self.is_insurance_worthwhile(decision);
        let insured = if decision.losses.insured { short } else { 0 };
        let wanted = missing.max(still_needed).max(insured);
        wanted
            .min(self.affordable_on_demand())
            .max(self.min_on_demand())
    }

    /// Most on-demand engines at which the pool costs no more than its baseline. Engines that already serve or boot
    /// are never removed for their cost.
    fn affordable_on_demand(&self) -> u32 {
        let baseline = f64::from(sum(self.inputs.baseline)) * FULL_PRICE;
        let spot_price = spot_price(self.inputs).unwrap_or(FULL_PRICE);
        let spot: u32 = self.inputs.serving.values().map(|zone| zone.spot).sum();
        let affordable = (baseline - f64::from(spot) * spot_price).max(0.0) as u32;
        affordable.max(sum(self.inputs.provisioned_on_demand))
    }

    /// On-demand engines to keep at any demand. Without spot engines, the whole baseline is kept until the need
    /// history covers the retention time.
    fn min_on_demand(&self) -> u32 {
        let baseline = sum(self.inputs.baseline);
        let is_known = self.need.known_for_s >= self.need.on_demand_kept_s;
        if spot_price(self.inputs).is_none() && !is_known {
            return baseline;
        }
        (f64::from(baseline) * self.inputs.policy.on_demand_share).ceil() as u32
    }

    /// Whether the observed losses cost callers more than on-demand engines in reserve would cost.
    fn is_insurance_worthwhile(&self, decision: &ScalingDecision) -> bool {
        let record = &decision.losses.record;
        let Some(interval_s) = record.mean_interval_s(MIN_LOSS_OBSERVATION_S) else {
            return false;
        };
        let outage_s = record.mean_outage_s().max(self.inputs.boot.as_secs_f64());
        self.inputs.policy.engine_worth * outage_s > FULL_PRICE * interval_s
    }

    /// The planned spot engines, without reductions too small for an order. Engines whose replacements in another zone
    /// are still missing stay as well.
    fn skip_small_scale_downs(&self, zones: &BTreeSet<&ZoneName>, planned: &Counts) -> Counts {
        let serving: u32 = zones.iter().map(|zone| self.serving(zone).spot).sum();
        let mut surplus = serving.saturating_sub(sum(planned));
        let counts = zones.iter().map(|zone| {
            let planned = planned.get(*zone).copied().unwrap_or_default();
            let serving = self.serving(zone).spot;
            let removed = serving.saturating_sub(planned).min(surplus);
            let min_removed = (f64::from(serving) * MIN_SCALE_DOWN_SHARE).ceil() as u32;
            let count = if planned >= serving {
                planned
            } else if removed < min_removed {
                serving
            } else {
                surplus -= removed;
                serving - removed
            };
            ((*zone).clone(), count)
        });
        counts.collect()
    }

    /// On-demand engines by zone. Unless the total shrinks, no zone loses an engine that serves or boots.
    fn plan_on_demand(&self, zones: &BTreeSet<&ZoneName>, spot: &Counts, total: u32) -> Counts {
        let bounds = self.inputs.bounds;
        let grows = total >= sum(self.inputs.provisioned_on_demand);
        let limits = zones.iter().map(|zone| {
            let spot = spot.get(*zone).copied().unwrap_or_default();
            let max = bounds.max.saturating_sub(spot.max(self.serving(zone).spot));
            let provisioned = self.provisioned_on_demand(zone);
            // Engines that cover the minimum until spot engines serve are kept.
            let kept = bounds
                .min
                .saturating_sub(self.serving(zone).spot)
                .min(provisioned);
            let min = bounds.min.saturating_sub(spot).max(kept);
            let (min, max) = if grows {
                (min.max(provisioned), max)
            } else {
                (min, max.min(provisioned.max(min)))
            };
            let limits = ZoneLimits {
                min: min.min(max),
                max,
                price: zone_price(self.inputs, zone),
            };
            ((*zone).clone(), limits)
        });
        distribute(&limits.collect(), total)
    }

    fn targets(&self, spot: &Counts, on_demand: &Counts) -> EngineTargets {
        let max = self.inputs.bounds.max;
        let targets = on_demand.iter().map(|(zone, on_demand)| {
            // The platform counts engines against the maximum until they have terminated.
            let occupied = (*on_demand).max(self.provisioned_on_demand(zone)).min(max);
            let spot = spot.get(zone).copied().unwrap_or_default();
            let engines = ZoneEngines {
                on_demand: *on_demand,
                spot: spot.min(max - occupied),
            };
            (zone.clone(), engines)
        });
        targets.collect()
    }
}

/// Engines for `need` at a mean `utilization`.
fn engines_for(need: f64, utilization: f64) -> u32 {
    (need / utilization).ceil() as u32
}

fn sum(counts: &Counts) -> u32 {
    counts
        .values()
        .fold(0, |sum, count| sum.saturating_add(*count))
}

/// Smallest number from `min` to `max` that suffices, by binary search; `min` if not even `max` does.
fn fewest(min: u32, max: u32, suffices: impl Fn(u32) -> bool) -> u32 {
    if min >= max || !suffices(max) {
        return min;
    }
    let (mut too_few, mut enough) = (min, max);
    if suffices(min) {
        return min;
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

/// Engines left after the loss of the `lost` largest zones.
fn left_after_loss(plan: &BTreeMap<ZoneName, u32>, lost: usize) -> u32 {
    let mut zones: Vec<u32> = plan.values().copied().collect();
    zones.sort_unstable_by(|one, other| other.cmp(one));
    zones.into_iter().skip(lost).sum()
}
