//! Engines by demand: rises, waves, calms, zones that lose their spot engines, and figures that are none.

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
/// Idle spot engines stay this long at these terms: the boot time over their price.
const SPOT_KEPT_S: f64 = 16.0;
const LOOK_MS: u64 = 250;

fn zone(number: usize) -> ZoneName {
    ZoneName::from(format!("zone-{number}"))
}

/// A fleet that does as it is told, but for zones without spot engines.
struct Fleet {
    scaling: Autoscaler,
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
            scaling: Autoscaler::default(),
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
        self.scaling.decide(&ScalingInputs {
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

    /// Looks at a need of engines for so long, and follows what is decided.
    fn run(&mut self, seconds: f64, need: impl Fn(f64) -> f64) -> ScalingDecision {
        let begun_ms = self.at_ms;
        let passed_s = |at_ms: u64| (at_ms - begun_ms) as f64 / 1e3;
        while passed_s(self.at_ms) < seconds {
            self.at_ms += LOOK_MS;
            let now = MonotonicTime::from_millis(self.at_ms);
            let engines = need(passed_s(self.at_ms));
            self.scaling.need.observe(now, engines, BOOT);
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
fn without_figures_the_operators_number_decides() {
    let fleet = Fleet::new();
    let account = fleet.decide();
    assert_eq!(account.rule, ScalingRule::Fixed);
    let baseline = (0..3).map(|number| (zone(number), 15)).collect();
    let fixed = fixed_targets(&baseline, &fleet.serving, BOUNDS, POLICY);
    assert_eq!(account.targets, fixed);
}

#[rstest]
fn a_calm_gives_back_what_stands_idle_and_not_sooner() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, |_| 30.0);
    let at_work = fleet.total();
    assert!(at_work >= 60, "half used: {at_work}");
    fleet.run(SPOT_KEPT_S - 2.0, |_| 5.0);
    assert_eq!(fleet.total(), at_work, "a wave may return");
    fleet.run(6.0, |_| 5.0);
    assert!((10..=15).contains(&fleet.total()), "{:?}", fleet.serving);
}

#[rstest]
fn waves_that_return_find_their_engines() {
    let mut fleet = Fleet::new();
    let wave = |at_ms: u64| if at_ms % 10_000 < 3_000 { 25.0 } else { 5.0 };
    let mut totals = BTreeSet::new();
    for _ in 0..400 {
        let at_ms = fleet.at_ms;
        fleet.run(0.25, |_| wave(at_ms));
        if fleet.at_ms > 40_000 {
            totals.insert(fleet.total());
        }
    }
    assert_eq!(totals.len(), 1, "no flapping: {totals:?}");
    assert!(totals.first() >= Some(&50), "{totals:?}");
}

#[rstest]
fn engines_are_ordered_ahead_of_a_rise() {
    let mut fleet = Fleet::new();
    fleet.run(60.0, |_| 10.0);
    assert!(fleet.total() < 30);
    let account = fleet.run(5.0, |at| 10.0 + 2.0 * at);
    let need = account.need.expect("a need");
    assert!(need.forecast > 22.0, "20 now, 28 when they serve: {need:?}");
}

#[rstest]
fn the_other_zones_carry_what_a_loss_takes() {
    let mut fleet = Fleet::new();
    fleet.prices = ZonePrices::from([(zone(0), 0.8), (zone(1), 1.2)]);
    fleet.run(60.0, |_| 12.0);
    let spot: Vec<u32> = fleet.serving.values().map(|zone| zone.spot).collect();
    assert!(spot[0] > spot[2] && spot[2] > spot[1], "{spot:?}");
    assert!(spot[1] + spot[2] >= 15, "{spot:?}");
}

/// Losses of two zones: what is left is short only if limits bind, and then on-demand engines stand for it where
/// losses are as frequent as they are long.
#[rstest]
#[case::frequent(8, 160.0, true)]
#[case::rare(8, 6_000.0, false)]
#[case::at_first(1, 2.0, false)]
fn losses_are_insured_if_they_cost_more(
    #[case] losses: u32,
    #[case] observed_s: f64,
    #[case] insured: bool,
) {
    let mut fleet = Fleet::new();
    fleet.bounds.max = 20;
    fleet.scaling.losses = SpotLossTracker::from_record(LossRecord {
        losses,
        zones_at_once: 3,
        missed_s: 25.0 * f64::from(losses),
        observed_s,
    });
    let account = fleet.run(40.0, |_| 12.0);
    assert_eq!(account.losses.insured, insured, "{account}");
    let on_demand: u32 = fleet.serving.values().map(|zone| zone.on_demand).sum();
    assert_eq!(on_demand >= 15, insured, "{account}");
}

#[rstest]
fn on_demand_engines_come_where_no_spot_engines_can_be_had() {
    let mut fleet = Fleet::new();
    fleet.run(20.0, |_| 30.0);
    fleet.spot_unavailable = (0..3).map(zone).collect();
    for lost in [0, 1] {
        fleet.serving.insert(zone(lost), ZoneEngines::default());
    }
    fleet.run(1.0, |_| 30.0);
    assert!(
        fleet.total() >= 38,
        "used for 0.8 of the time: {:?}",
        fleet.serving
    );
    // They stay until spot engines stand for them, however often those are asked for.
    fleet.spot_unavailable.clear();
    let account = fleet.decide();
    assert!(account.wanted().on_demand >= 18, "{account}");
}

/// Zones refuse spot engines and are asked again by turns: on-demand engines that boot meanwhile are not given up.
#[rstest]
fn zones_that_are_asked_again_do_not_cost_what_boots() {
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
        // Spot engines that were asked for do not come.
        for (zone, engines) in &mut fleet.serving {
            engines.spot = engines.spot.min(before[zone].spot);
        }
        let on_demand: u32 = fleet.serving.values().map(|zone| zone.on_demand).sum();
        assert!(on_demand >= ordered, "{turn}: {:?}", fleet.serving);
        ordered = on_demand;
    }
    assert!(
        (18..=45).contains(&ordered),
        "no more than the operator's own: {ordered}"
    );
}

#[rstest]
fn a_history_with_a_gap_counts_from_anew() {
    let mut fleet = Fleet::new();
    fleet.run(60.0, |_| 5.0);
    let before = fleet.total();
    fleet.at_ms += 10_000;
    let account = fleet.decide();
    assert_eq!(account.rule, ScalingRule::Fixed, "nothing is known");
    let account = fleet.run(0.25, |_| 5.0);
    assert_eq!(account.rule, ScalingRule::DemandRising);
    assert!(fleet.total() >= before);
}

#[rstest]
#[case::taken_away(0, 12, Some(12), true)]
#[case::half(6, 6, Some(12), true)]
#[case::a_few_end(9, 3, Some(12), false)]
#[case::given_back(4, 8, Some(4), false)]
#[case::entries_lapsed(0, 0, Some(12), false)]
fn a_loss_is_told_from_other_ends(
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
        "once"
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
#[case::half_is_refused(work(200.0, 100.0, 120.0, 0.0), Some(20.0))]
#[case::refused_beside_free_slots(work(200.0, 100.0, 60.0, 0.0), Some(5.0))]
#[case::nothing(work(0.0, 0.0, 0.0, 0.0), Some(0.0))]
#[case::no_number(work(0.0, 0.0, f64::NAN, 0.0), None)]
#[case::no_engines(PoolWorkload::default(), None)]
fn work_tells_how_many_engines_it_needs(#[case] work: PoolWorkload, #[case] needed: Option<f64>) {
    let mut request = RequestCost::default();
    assert_eq!(request.engines_needed(MonotonicTime::ZERO, &work), needed);
}

/// In a burst engines' queues are full, and prompts are sent again and again: what is asked for counts by what
/// requests took before.
#[rstest]
fn a_burst_needs_what_its_requests_took_in_calm() {
    let mut request = RequestCost::default();
    let now = MonotonicTime::ZERO;
    let calm = request.engines_needed(now, &work(100.0, 100.0, 24.0, 1e5));
    assert_eq!(calm, Some(3.0));
    let burst = request.engines_needed(now, &work(600.0, 200.0, 400.0, 4e6));
    assert_eq!(
        burst,
        Some(20.0),
        "both kinds of engines are full, 18 of six times as many"
    );
}

proptest! {
    /// Whatever the figures, bounds hold; spot engines in use are not given up.
    #[test]
    fn bounds_hold_for_any_figures(
        needs in proptest::collection::vec(prop_oneof![0.0..80.0_f64, Just(1e9), Just(f64::NAN), Just(-1.0)], 1..60),
        serving in proptest::collection::vec((0_u32..31, 0_u32..31), 3),
        refused in proptest::collection::btree_set(0_usize..3, 0..3),
        price in prop_oneof![Just(0.0), Just(f64::NAN), Just(-2.0), 0.1..3.0_f64],
        spot_price in prop_oneof![Just(None), Just(Some(0.0)), Just(Some(f64::NAN)), (0.05..2.0_f64).prop_map(Some)],
        max in prop_oneof![Just(0_u32), 1..40_u32, Just(u32::MAX)],
    ) {
        let mut fleet = Fleet::new();
        fleet.bounds = ScalingBounds { min: 1, max, spot_price };
        fleet.prices = ZonePrices::from([(zone(0), price)]);
        fleet.spot_unavailable = refused.into_iter().map(zone).collect();
        let engines = |(on_demand, spot): (u32, u32)| ZoneEngines { on_demand, spot };
        fleet.serving = serving.into_iter().enumerate().map(|(number, one)| (zone(number), engines(one))).collect();
        for need in needs {
            fleet.at_ms += LOOK_MS;
            let now = MonotonicTime::from_millis(fleet.at_ms);
            fleet.scaling.need.observe(now, need, BOOT);
            let account = fleet.decide();
            for target in account.targets.iter().flat_map(BTreeMap::values) {
                prop_assert!(u64::from(target.on_demand) + u64::from(target.spot) <= u64::from(max));
            }
            prop_assert!(account.cost.is_finite());
        }
    }
}
