//! Numbers of engines by zone and terms.

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

fn own(counts: &[u32]) -> BTreeMap<ZoneName, u32> {
    let zones = counts.iter().enumerate();
    zones
        .map(|(number, count)| (zone(number), *count))
        .collect()
}

fn present(counts: &[(u32, u32)]) -> BTreeMap<ZoneName, ZoneEngines> {
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

/// The platform as it takes orders: what is on demand goes and comes at once, spot engines come
/// where they can be had.
fn follow(
    own: &BTreeMap<ZoneName, u32>,
    engines: &mut BTreeMap<ZoneName, ZoneEngines>,
    available: impl Fn(&ZoneName) -> bool,
) {
    let Some(targets) = fixed_targets(own, engines, BOUNDS, POLICY) else {
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
fn spot_engines_take_over_and_only_then_the_others_go() {
    let own = own(&[18, 18, 18, 17]);
    let mut engines = present(&[(18, 0), (18, 0), (18, 0), (17, 0)]);
    let first = fixed_targets(&own, &engines, BOUNDS, POLICY).expect("targets");
    assert_eq!(
        first[&zone(0)],
        ZoneEngines {
            on_demand: 18,
            spot: 18
        }
    );
    for _ in 0..3 {
        follow(&own, &mut engines, |_| true);
    }
    let expected = present(&[(0, 36), (0, 36), (0, 36), (0, 34)]);
    assert_eq!(engines, expected);
}

/// All spot engines of a zone are taken away, and then those of another, while none can be had.
#[rstest]
fn others_come_back_where_too_few_are_left() {
    let own = own(&[18, 18, 18, 17]);
    let mut engines = present(&[(0, 0), (0, 36), (0, 36), (0, 34)]);
    follow(&own, &mut engines, |_| false);
    assert!(
        engines.values().all(|zone| zone.on_demand == 0),
        "106 are left"
    );
    engines.insert(zone(1), ZoneEngines::default());
    engines.insert(zone(2), ZoneEngines::default());
    follow(&own, &mut engines, |_| false);
    let total: u32 = engines
        .values()
        .map(|zone| zone.on_demand + zone.spot)
        .sum();
    assert!(total >= 71, "{total} of {engines:?}");
}

#[rstest]
#[case::none_offered(ScalingBounds { spot_price: None, ..BOUNDS }, POLICY)]
#[case::no_cheaper(ScalingBounds { spot_price: Some(0.5), ..BOUNDS }, POLICY)]
fn the_operators_numbers_stay_where_nothing_is_won(
    #[case] bounds: ScalingBounds,
    #[case] policy: ScalingPolicy,
) {
    let own = own(&[18, 18]);
    let engines = present(&[(18, 0), (18, 0)]);
    assert_eq!(fixed_targets(&own, &engines, bounds, policy), None);
}

proptest! {
    #[test]
    fn bounds_hold_and_the_fleet_is_never_smaller_than_the_operators(
        counts in proptest::collection::vec((0_u32..40, 0_u32..40, 0_u32..40), 1..6),
        share in 0.0..0.5_f64,
        headroom in 1.0..3.0_f64,
        min in 0_u32..4,
    ) {
        let own: Vec<u32> = counts.iter().map(|(own, _, _)| (*own).min(36)).collect();
        let own = self::own(&own);
        let serving: Vec<(u32, u32)> = counts
            .iter()
            .map(|(_, on_demand, spot)| ((*on_demand).min(36), (*spot).min(36)))
            .collect();
        let serving = present(&serving);
        let bounds = ScalingBounds { min, ..BOUNDS };
        let policy = ScalingPolicy { headroom, on_demand_share: share, ..POLICY };
        let Some(targets) = fixed_targets(&own, &serving, bounds, policy) else {
            return Ok(());
        };
        let spot: u32 = serving.values().map(|zone| zone.spot).sum();
        let on_demand: u32 = targets.values().map(|zone| zone.on_demand).sum();
        prop_assert!(on_demand + spot >= own.values().sum::<u32>());
        for (zone, target) in &targets {
            prop_assert!(target.on_demand + target.spot <= bounds.max);
            let stands = serving[zone].on_demand;
            prop_assert!(stands + target.spot <= bounds.max || target.spot == 0);
            prop_assert!(target.on_demand <= own[zone]);
            // Spot engines that stand are not given up for others.
            let wanted = (f64::from(own[zone]) * headroom).ceil() as u32;
            let stand = serving[zone];
            if stand.on_demand + stand.spot <= bounds.max {
                prop_assert!(target.spot >= stand.spot.min(wanted), "{target:?} of {stand:?}");
            }
        }
    }
}
