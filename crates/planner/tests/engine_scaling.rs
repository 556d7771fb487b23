//! Fixed scaling targets by zone.

use std::collections::BTreeMap;

use dalestand_planner::{ScalingBounds, ScalingPolicy, ZoneEngines, fixed_targets};
use dalestand_types::ZoneName;
use proptest::prelude::*;
use rstest::rstest;

const BOUNDS: ScalingBounds = ScalingBounds {
    min: 1,
    max: 36,
    spot_price: Some(0.22),
};
const POLICY: ScalingPolicy = ScalingPolicy {
    headroom: 2.0,
    on_demand_share: 0.0,
    engine_worth: 1.0,
};

fn zone(number: usize) -> ZoneName {
    ZoneName::from(format!("zone-{number}"))
}

fn baseline_of(counts: &[u32]) -> BTreeMap<ZoneName, u32> {
    let zones = counts.iter().enumerate();
    zones
        .map(|(number, count)| (zone(number), *count))
        .collect()
}

fn engines_of(counts: &[(u32, u32)]) -> BTreeMap<ZoneName, ZoneEngines> {
    let zones = counts.iter().enumerate();
    let engines = |(number, (on_demand, spot)): (usize, &(u32, u32))| {
        let engines = ZoneEngines {
            on_demand: *on_demand,
            spot: *spot,
        };
        (zone(number), engines)
    };
    zones.map(engines).collect()
}

/// Applies the targets as the platform does: on-demand engines change at once, spot engines are
/// added only in zones where they are available.
fn apply_targets(
    baseline: &BTreeMap<ZoneName, u32>,
    engines: &mut BTreeMap<ZoneName, ZoneEngines>,
    available: impl Fn(&ZoneName) -> bool,
) {
    let Some(targets) = fixed_targets(baseline, engines, BOUNDS, POLICY) else {
        return;
    };
    for (zone, target) in targets {
        let serving = engines.entry(zone.clone()).or_default();
        serving.on_demand = target.on_demand;
        if available(&zone) || target.spot < serving.spot {
            serving.spot = target.spot;
        }
    }
}

#[rstest]
fn on_demand_engines_are_removed_only_after_spot_engines_serve() {
    let baseline = baseline_of(&[18, 18, 18, 17]);
    let mut engines = engines_of(&[(18, 0), (18, 0), (18, 0), (17, 0)]);
    let first = fixed_targets(&baseline, &engines, BOUNDS, POLICY).expect("targets");
    assert_eq!(
        first[&zone(0)],
        ZoneEngines {
            on_demand: 18,
            spot: 18
        }
    );
    for _ in 0..3 {
        apply_targets(&baseline, &mut engines, |_| true);
    }
    let expected = engines_of(&[(0, 36), (0, 36), (0, 36), (0, 34)]);
    assert_eq!(engines, expected);
}

/// Spot engines of one zone and then of two more are reclaimed while no new ones are available.
#[rstest]
fn on_demand_engines_return_when_too_few_spot_engines_are_left() {
    let baseline = baseline_of(&[18, 18, 18, 17]);
    let mut engines = engines_of(&[(0, 0), (0, 36), (0, 36), (0, 34)]);
    apply_targets(&baseline, &mut engines, |_| false);
    assert!(
        engines.values().all(|zone| zone.on_demand == 0),
        "106 spot engines are left"
    );
    engines.insert(zone(1), ZoneEngines::default());
    engines.insert(zone(2), ZoneEngines::default());
    apply_targets(&baseline, &mut engines, |_| false);
    let total: u32 = engines
        .values()
        .map(|zone| zone.on_demand + zone.spot)
        .sum();
    assert!(total >= 71, "{total} of {engines:?}");
}

#[rstest]
#[case::none_offered(ScalingBounds { spot_price: None, ..BOUNDS }, POLICY)]
#[case::not_cheaper(ScalingBounds { spot_price: Some(0.5), ..BOUNDS }, POLICY)]
fn the_baseline_stays_if_spot_engines_save_nothing(
    #[case] bounds: ScalingBounds,
    #[case] policy: ScalingPolicy,
) {
    let baseline = baseline_of(&[18, 18]);
    let engines = engines_of(&[(18, 0), (18, 0)]);
    assert_eq!(fixed_targets(&baseline, &engines, bounds, policy), None);
}

proptest! {
    #[test]
    fn bounds_hold_and_the_fleet_is_never_smaller_than_the_baseline(
        counts in proptest::collection::vec((0_u32..40, 0_u32..40, 0_u32..40), 1..6),
        share in 0.0..0.5_f64,
        headroom in 1.0..3.0_f64,
        min in 0_u32..4,
    ) {
        let baseline: Vec<u32> = counts.iter().map(|(baseline, _, _)| (*baseline).min(36)).collect();
        let baseline = self::baseline_of(&baseline);
        let serving: Vec<(u32, u32)> = counts
            .iter()
            .map(|(_, on_demand, spot)| ((*on_demand).min(36), (*spot).min(36)))
            .collect();
        let serving = engines_of(&serving);
        let bounds = ScalingBounds { min, ..BOUNDS };
        let policy = ScalingPolicy { headroom, on_demand_share: share, ..POLICY };
        let Some(targets) = fixed_targets(&baseline, &serving, bounds, policy) else {
            return Ok(());
        };
        let spot: u32 = serving.values().map(|zone| zone.spot).sum();
        let on_demand: u32 = targets.values().map(|zone| zone.on_demand).sum();
        prop_assert!(on_demand + spot >= baseline.values().sum::<u32>());
        for (zone, target) in &targets {
            prop_assert!(target.on_demand + target.spot <= bounds.max);
            let on_demand = serving[zone].on_demand;
            prop_assert!(on_demand + target.spot <= bounds.max || target.spot == 0);
            prop_assert!(target.on_demand <= baseline[zone]);
            // Serving spot engines are not replaced by on-demand engines.
            let wanted = (f64::from(baseline[zone]) * headroom).ceil() as u32;
            let before = serving[zone];
            if before.on_demand + before.spot <= bounds.max {
                prop_assert!(target.spot >= before.spot.min(wanted), "{target:?} after {before:?}");
            }
        }
    }
}
