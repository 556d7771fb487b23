//! The number of engines without knowledge of demand.
//!
//! The operator's own number of engines says what it is ready to pay for. Where the platform offers
//! engines that it may take away again at a fraction of the price, the same money buys more of them:
//! they replace the others, and there are more of them, so that what is left after a zone's were
//! taken away is no less than the operator's number.

use std::collections::BTreeMap;

use dalestand_types::ZoneName;

use crate::engine_scaling::types::{EngineTargets, ScalingBounds, ScalingPolicy, ZoneEngines};

/// The engines to order where `present` take new work and the operator's own numbers are `own`;
/// `None` where no other terms are offered, or where they would cost as much.
///
/// An on-demand engine goes only once a spot engine stands for it, anywhere in the fleet, and comes
/// back where spot engines were taken away and fewer than the operator's number are left.
pub fn fixed_targets(
    own: &BTreeMap<ZoneName, u32>,
    present: &BTreeMap<ZoneName, ZoneEngines>,
    bounds: ScalingBounds,
    policy: ScalingPolicy,
) -> Option<EngineTargets> {
    let spot_price = bounds.spot_price?;
    if spot_price * policy.headroom + policy.on_demand_share >= 1.0 {
        return None;
    }
    let own_total: u32 = own.values().sum();
    let spot_total: u32 = present.values().map(|engines| engines.spot).sum();
    let missing = own_total.saturating_sub(spot_total);
    let kept = (f64::from(own_total) * policy.on_demand_share).ceil();
    let serving = |zone| present.get(zone).copied().unwrap_or_default();
    // Spot engines that stand are not given up for others: these go where there is room.
    let room = |zone, own: u32| own.min(bounds.max.saturating_sub(serving(zone).spot));
    let room_total: u32 = own.iter().map(|(zone, own)| room(zone, *own)).sum();
    let on_demand_total = f64::from(missing).max(kept);
    let share_of_room = (on_demand_total / f64::from(room_total.max(1))).min(1.0);
    let targets = own.iter().map(|(zone, own)| {
        let on_demand = (f64::from(room(zone, *own)) * share_of_room).ceil() as u32;
        // Engines that leave count until they have left: the platform refuses more than the most.
        let taken = on_demand.max(serving(zone).on_demand).min(bounds.max);
        let wanted = (f64::from(*own) * policy.headroom).ceil() as u32;
        let least = bounds.min.saturating_sub(on_demand);
        let spot = wanted.max(least).min(bounds.max - taken);
        (zone.clone(), ZoneEngines { on_demand, spot })
    });
    Some(targets.collect())
}
