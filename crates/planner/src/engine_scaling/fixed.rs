//! Engine targets without load data.
//!
//! The baseline is the number of engines that the operator pays for. Where spot engines are cheaper, the same money
//! buys more of them, so that the baseline number is still running after a zone's spot engines were reclaimed.

use std::collections::BTreeMap;

use dalestand_types::ZoneName;

use crate::engine_scaling::types::{EngineTargets, ScalingBounds, ScalingPolicy, ZoneEngines};

/// Targets that replace the baseline engines by spot engines. `None` if the platform offers no spot engines, or if the
/// targets would cost no less than the baseline.
///
/// An on-demand engine is removed only once a spot engine, in any zone, serves in its place. It is ordered again when
/// reclamations leave fewer spot engines than the baseline.
pub fn fixed_targets(
    baseline: &BTreeMap<ZoneName, u32>,
    serving: &BTreeMap<ZoneName, ZoneEngines>,
    bounds: ScalingBounds,
    policy: ScalingPolicy,
) -> Option<EngineTargets> {
    let spot_price = bounds.spot_price?;
    if spot_price * policy.headroom + policy.on_demand_share >= 1.0 {
        return None;
    }
    let baseline_total: u32 = baseline.values().sum();
    let spot_total: u32 = serving.values().map(|engines| engines.spot).sum();
    let missing = baseline_total.saturating_sub(spot_total);
    let reserved = (f64::from(baseline_total) * policy.on_demand_share).ceil();
    let serving_in = |zone| serving.get(zone).copied().unwrap_or_default();
    // Only as many on-demand engines as the maximum allows beside the serving spot engines.
    let room = |zone, baseline: u32| baseline.min(bounds.max.saturating_sub(serving_in(zone).spot));
    let room_total: u32 = baseline
        .iter()
        .map(|(zone, baseline)| room(zone, *baseline))
        .sum();
    let on_demand_total = f64::from(missing).max(reserved);
    let share_of_room = (on_demand_total / f64::from(room_total.max(1))).min(1.0);
    let targets = baseline.iter().map(|(zone, baseline)| {
        let on_demand = (f64::from(room(zone, *baseline)) * share_of_room).ceil() as u32;
        // The platform counts engines against the maximum until they have terminated.
        let occupied = on_demand.max(serving_in(zone).on_demand).min(bounds.max);
        let wanted = (f64::from(*baseline) * policy.headroom).ceil() as u32;
        let min = bounds.min.saturating_sub(on_demand);
        let spot = wanted.max(min).min(bounds.max - occupied);
        (zone.clone(), ZoneEngines { on_demand, spot })
    });
    Some(targets.collect())
}
