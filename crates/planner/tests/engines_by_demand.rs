//! Scaling by demand: rising, periodic and falling load, loss of spot engines, and invalid inputs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dalestand_planner::{
    Autoscaler, ClassWorkload, LossRecord, PoolWorkload, RequestCost, ScalingBounds,
    ScalingDecision, ScalingInputs, ScalingPolicy, ScalingRule, SpotLossTracker, ZoneEngines,
    ZonePrices, ZoneSpotEngines, fixed_targets,
};
use dalestand_types::{MonotonicTime, ZoneName};
use proptest::prelude::*;
use rstest::rstest;

const BOUNDS: ScalingBounds = ScalingBounds {
    min: 1,
    max: 30,
    spot_price: Some(0.25),
};
const POLICY: ScalingPolicy = ScalingPolicy {
    headroom: 2.0,
    on_demand_share: 0.0,
    engine_worth: 1.0,
};
const BOOT: Duration = Duration::from_secs(4);
/// Retention time of idle spot engines with these settings: boot time divided by price.
const SPOT_RETENTION_S: f64 = 16.0;
/// Interval between decisions.
const TICK_MS: u64 = 250;

fn zone(number: usize) -> ZoneName {
    ZoneName::from(format!("zone-{number}"))
}

/// A fleet that applies every target, except new spot engines in zones where none are available.
struct Fleet {
    autoscaler: Autoscaler,
    serving: BTreeMap<ZoneName, ZoneEngines>,
    spot_unavailable: BTreeSet<ZoneName>,
    prices: ZonePrices,
    bounds: ScalingBounds,
    at_ms: u64,
}

impl Fleet {
    fn new() -> Self {
        let engines = |spot| ZoneEngines { on_demand: 0, spot };
        Self {
            autoscaler: Autoscaler::default(),
            serving: (0..3).map(|number| (zone(number), engines(30))).collect(),
            spot_unavailable: BTreeSet::new(),
            prices: ZonePrices::new(),
            bounds: BOUNDS,
            at_ms: 0,
        }
    }

    fn decide(&self) -> ScalingDecision {
        let baseline = (0..3).map(|number| (zone(number), 15)).collect();
        let on_demand = self.serving.iter();
        let on_demand = on_demand.map(|(zone, engines)| (zone.clone(), engines.on_demand));
        self.autoscaler.decide(&ScalingInputs {
            now: MonotonicTime::from_millis(self.at_ms),
            baseline: &baseline,
            serving: &self.serving,
            spot_unavailable: &self.spot_unavailable,
            provisioned_on_demand: &on_demand.collect(),
            bounds: self.bounds,
            prices: &self.prices,
            policy: POLICY,
            boot: BOOT,
            warm_up: Duration::ZERO,
        })
    }

    /// Feeds `need`, a function of the elapsed seconds, and applies the decisions. Returns the last one.
    fn run(&mut self, seconds: f64, need: impl Fn(f64) -> f64) -> ScalingDecision {
        let start_ms = self.at_ms;
        let elapsed_s = |at_ms: u64| (at_ms - start_ms) as f64 / 1e3;
        while elapsed_s(self.at_ms) < seconds {
            self.at_ms += TICK_MS;
            let now = MonotonicTime::from_millis(self.at_ms);
            let engines = need(elapsed_s(self.at_ms));
            self.autoscaler.need.observe(now, engines, BOOT);
            let targets = self.decide().targets.expect("targets");
            for (zone, target) in targets {
                let serving = self.serving.entry(zone.clone()).or_default();
                serving.on_demand = target.on_demand;
                if !self.spot_unavailable.contains(&zone) || target.spot < serving.spot {
                    serving.spot = target.spot;
                }
            }
        }
        self.decide()
    }

    fn total(&self) -> u32 {
        let zones = self.serving.values();
        zones.map(|zone| zone.on_demand + zone.spot).sum()
    }
}

#[rstest]
fn without_load_data_the_fixed_rule_decides() {
    let fleet = Fleet::new();
    let decision = fleet.decide();
    assert_eq!(decision.rule, ScalingRule::Fixed);
    let baseline = (0..3).map(|number| (zone(number), 15)).collect();
    let fixed = fixed_targets(&baseline, &fleet.serving, BOUNDS, POLICY);
    assert_eq!(decision.targets, fixed);
}

#[rstest]
fn idle_engines_are_removed_after_their_retention_time() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, |_| 30.0);
    let under_load = fleet.total();
    assert!(under_load >= 60, "utilization of one half: {under_load}");
    fleet.run(SPOT_RETENTION_S - 2.0, |_| 5.0);
    assert_eq!(fleet.total(), under_load, "the load may return");
    fleet.run(6.0, |_| 5.0);
    assert!((10..=15).contains(&fleet.total()), "{:?}", fleet.serving);
}

#[rstest]
fn engines_are_kept_between_periodic_peaks() {
    let mut fleet = Fleet::new();
    let load = |at_ms: u64| if at_ms % 10_000 < 3_000 { 25.0 } else { 5.0 };
    let mut totals = BTreeSet::new();
    for _ in 0..400 {
        let at_ms = fleet.at_ms;
        fleet.run(0.25, |_| load(at_ms));
        if fleet.at_ms > 40_000 {
            totals.insert(fleet.total());
        }
    }
    assert_eq!(totals.len(), 1, "no flapping: {totals:?}");
    assert!(totals.first() >= Some(&50), "{totals:?}");
}

#[rstest]
fn engines_are_ordered_ahead_of_rising_load() {
    let mut fleet = Fleet::new();
    fleet.run(60.0, |_| 10.0);
    assert!(fleet.total() < 30);
    let decision = fleet.run(5.0, |at| 10.0 + 2.0 * at);
    let need = decision.need.expect("a need");
    assert!(
        need.forecast > 22.0,
        "20 needed now, 28 once new engines serve: {need:?}"
    );
}

#[rstest]
fn remaining_zones_can_serve_the_need_after_a_loss() {
    let mut fleet = Fleet::new();
    fleet.prices = ZonePrices::from([(zone(0), 0.8), (zone(1), 1.2)]);
    fleet.run(60.0, |_| 12.0);
    let spot: Vec<u32> = fleet.serving.values().map(|zone| zone.spot).collect();
    assert!(spot[0] > spot[2] && spot[2] > spot[1], "{spot:?}");
    assert!(spot[1] + spot[2] >= 15, "{spot:?}");
}

/// Bounds leave too few spot engines for the loss of several zones. On-demand engines cover the gap only if losses are
/// frequent and long enough.
#[rstest]
#[case::frequent(8, 160.0, true)]
#[case::rare(8, 6_000.0, false)]
#[case::too_little_history(1, 2.0, false)]
fn losses_are_insured_if_they_cost_more_than_the_insurance(
    #[case] losses: u32,
    #[case] observed_s: f64,
    #[case] insured: bool,
) {
    let mut fleet = Fleet::new();
    fleet.bounds.max = 20;
    fleet.autoscaler.losses = SpotLossTracker::from_record(LossRecord {
        losses,
        zones_at_once: 3,
        missed_s: 25.0 * f64::from(losses),
        observed_s,
    });
    let decision = fleet.run(40.0, |_| 12.0);
    assert_eq!(decision.losses.insured, insured, "{decision}");
    let on_demand: u32 = fleet.serving.values().map(|zone| zone.on_demand).sum();
    assert_eq!(on_demand >= 15, insured, "{decision}");
}

#[rstest]
fn on_demand_engines_replace_unavailable_spot_engines() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, |_| 30.0);
    fleet.spot_unavailable = (0..3).map(zone).collect();
    for lost in [0, 1] {
        fleet.serving.insert(zone(lost), ZoneEngines::default());
    }
    fleet.run(1.0, |_| 30.0);
    assert!(
        fleet.total() >= 38,
        "utilization of at most 0.8: {:?}",
        fleet.serving
    );
    // They stay until spot engines serve in their place, not just until some are ordered.
    fleet.spot_unavailable.clear();
    let decision = fleet.decide();
    assert!(decision.wanted().on_demand >= 18, "{decision}");
}

/// Zones alternately refuse and accept orders for spot engines that never arrive. On-demand engines that boot meanwhile
/// are kept.
#[rstest]
fn retried_spot_orders_do_not_cancel_booting_engines() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, |_| 30.0);
    for lost in [0, 1] {
        fleet.serving.insert(zone(lost), ZoneEngines::default());
    }
    let mut ordered = 0;
    for turn in 0..16 {
        fleet.spot_unavailable = if turn % 4 < 3 {
            (0..3).map(zone).collect()
        } else {
            BTreeSet::new()
        };
        let before: BTreeMap<ZoneName, ZoneEngines> = fleet.serving.clone();
        fleet.run(0.25, |_| 30.0);
        // Ordered spot engines do not arrive.
        for (zone, engines) in &mut fleet.serving {
            engines.spot = engines.spot.min(before[zone].spot);
        }
        let on_demand: u32 = fleet.serving.values().map(|zone| zone.on_demand).sum();
        assert!(on_demand >= ordered, "{turn}: {:?}", fleet.serving);
        ordered = on_demand;
    }
    assert!(
        (18..=45).contains(&ordered),
        "no more than the baseline: {ordered}"
    );
}

#[rstest]
fn a_gap_restarts_the_need_history() {
    let mut fleet = Fleet::new();
    fleet.run(60.0, |_| 5.0);
    let before = fleet.total();
    fleet.at_ms += 10_000;
    let decision = fleet.decide();
    assert_eq!(decision.rule, ScalingRule::Fixed, "no current sample");
    let decision = fleet.run(0.25, |_| 5.0);
    assert_eq!(decision.rule, ScalingRule::DemandRising);
    assert!(fleet.total() >= before);
}

#[rstest]
#[case::reclaimed(0, 12, Some(12), true)]
#[case::half(6, 6, Some(12), true)]
#[case::single_failures(9, 3, Some(12), false)]
#[case::removed_by_order(4, 8, Some(4), false)]
#[case::entries_expired(0, 0, Some(12), false)]
fn only_reclamations_count_as_losses(
    #[case] serving: u32,
    #[case] leaving: u32,
    #[case] ordered: Option<u32>,
    #[case] is_loss: bool,
) {
    let mut losses = SpotLossTracker::default();
    let spot = ZoneSpotEngines {
        serving,
        leaving,
        ordered,
    };
    let zones = BTreeMap::from([(zone(0), spot)]);
    assert_eq!(losses.observe(MonotonicTime::ZERO, &zones), is_loss);
    assert!(
        !losses.observe(MonotonicTime::from_millis(1), &zones),
        "a loss counts once"
    );
}

fn work(
    asked_per_s: f64,
    begun_per_s: f64,
    busy_slots: f64,
    prefill_tokens_per_s: f64,
) -> PoolWorkload {
    let class = ClassWorkload {
        asked_per_s,
        begun_per_s,
        busy_slots,
        prefill_tokens_per_s,
    };
    PoolWorkload {
        classes: BTreeMap::from([(2, class)]),
        prefill_token_s: 1e-5,
        slots: 120.0,
        engines: 10.0,
    }
}

#[rstest]
#[case::slots(work(100.0, 100.0, 60.0, 0.0), Some(5.0))]
#[case::prompts_too(work(100.0, 100.0, 60.0, 2e5), Some(7.0))]
#[case::half_is_rejected(work(200.0, 100.0, 120.0, 0.0), Some(20.0))]
#[case::rejected_beside_free_slots(work(200.0, 100.0, 60.0, 0.0), Some(5.0))]
#[case::no_load(work(0.0, 0.0, 0.0, 0.0), Some(0.0))]
#[case::not_a_number(work(0.0, 0.0, f64::NAN, 0.0), None)]
#[case::no_engines(PoolWorkload::default(), None)]
fn needed_engines_follow_from_the_workload(
    #[case] work: PoolWorkload,
    #[case] needed: Option<f64>,
) {
    let mut cost = RequestCost::default();
    assert_eq!(cost.engines_needed(MonotonicTime::ZERO, &work), needed);
}

/// While queues are full, the need follows from arriving requests and their cost before the burst, since retries
/// inflate the prompt tokens and the slots are capped.
#[rstest]
fn a_burst_is_estimated_from_costs_learned_before_it() {
    let mut cost = RequestCost::default();
    let now = MonotonicTime::ZERO;
    let before = cost.engines_needed(now, &work(100.0, 100.0, 24.0, 1e5));
    assert_eq!(before, Some(3.0));
    let burst = cost.engines_needed(now, &work(600.0, 200.0, 400.0, 4e6));
    assert_eq!(
        burst,
        Some(20.0),
        "all slots and all prefill time are used; six times as many requests need 18"
    );
}

proptest! {
    #[test]
    fn bounds_hold_for_any_input(
        needs in proptest::collection::vec(prop_oneof![0.0..80.0_f64, Just(1e9), Just(f64::NAN), Just(-1.0)], 1..60),
        serving in proptest::collection::vec((0_u32..31, 0_u32..31), 3),
        unavailable in proptest::collection::btree_set(0_usize..3, 0..3),
        price in prop_oneof![Just(0.0), Just(f64::NAN), Just(-2.0), 0.1..3.0_f64],
        spot_price in prop_oneof![Just(None), Just(Some(0.0)), Just(Some(f64::NAN)), (0.05..2.0_f64).prop_map(Some)],
        max in prop_oneof![Just(0_u32), 1..40_u32, Just(u32::MAX)],
    ) {
        let mut fleet = Fleet::new();
        fleet.bounds = ScalingBounds { min: 1, max, spot_price };
        fleet.prices = ZonePrices::from([(zone(0), price)]);
        fleet.spot_unavailable = unavailable.into_iter().map(zone).collect();
        let engines = |(on_demand, spot): (u32, u32)| ZoneEngines { on_demand, spot };
        fleet.serving = serving.into_iter().enumerate().map(|(number, one)| (zone(number), engines(one))).collect();
        for need in needs {
            fleet.at_ms += TICK_MS;
            let now = MonotonicTime::from_millis(fleet.at_ms);
            fleet.autoscaler.need.observe(now, need, BOOT);
            let decision = fleet.decide();
            for target in decision.targets.iter().flat_map(BTreeMap::values) {
                prop_assert!(u64::from(target.on_demand) + u64::from(target.spot) <= u64::from(max));
            }
            prop_assert!(decision.cost.is_finite());
        }
    }
}
