//! Fair shares of tenants that compete for a pool that is short of capacity.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_routing::overload::ShareStanding;
use dalestand_routing::overload::shares::{PoolShares, WeightedDemand, max_min_level};
use dalestand_routing::overload::shortage::{AttemptRates, CapacityUnit, ShortageDetector};
use dalestand_routing::overload::tenant_meters::{MAX_NAMED_TENANTS, TenantMeters, top_tenants};
use dalestand_routing::{TenantCode, TenantFigures, WorkRate};
use dalestand_types::{MonotonicTime, TenantName};
use proptest::prelude::*;
use rstest::rstest;

const BIG: TenantCode = TenantCode(100);
const SMALL: TenantCode = TenantCode(101);

/// Half of the attempts fail.
const SHORT: AttemptRates = AttemptRates {
    begun_per_s: 200.0,
    failed_per_s: 200.0,
    has_idle_slots: false,
};

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn slots(asked: f32, begun: f32) -> TenantFigures {
    let work = |slots| WorkRate {
        slots,
        prompt_tokens_per_s: 0.0,
    };
    TenantFigures {
        asked: work(asked),
        begun: work(begun),
    }
}

/// One tenant asks for 400 of the pool's 200 slots, another for 20. Both get about half of it.
fn uneven_demand() -> HashMap<TenantCode, TenantFigures> {
    HashMap::from([(BIG, slots(400.0, 190.0)), (SMALL, slots(20.0, 10.0))])
}

fn shares(figures: &HashMap<TenantCode, TenantFigures>, weight: f64) -> PoolShares {
    let mut shares = PoolShares::default();
    let weight = |tenant| if tenant == BIG { weight } else { 1.0 };
    shares.refresh(at(0), CapacityUnit::SlotTime, SHORT, figures, weight);
    shares
}

fn part(shares: &PoolShares, tenant: TenantCode) -> f64 {
    shares
        .share(at(0), tenant)
        .expect("a share")
        .fraction_within()
}

fn demands() -> impl Strategy<Value = Vec<WeightedDemand>> {
    let demand = (0.0..1e4_f64, 0.01..100.0_f64)
        .prop_map(|(per_s, weight)| WeightedDemand { per_s, weight });
    prop::collection::vec(demand, 1..80)
}

fn served(demands: &[WeightedDemand], capacity: f64) -> Vec<f64> {
    let level = max_min_level(demands, capacity).unwrap_or(f64::INFINITY);
    let served = demands.iter();
    served
        .map(|demand| demand.per_s.min(level * demand.weight))
        .collect()
}

proptest! {
    #[test]
    fn exactly_the_capacity_is_divided(demands in demands(), capacity in 0.0..1e5_f64) {
        let asked: f64 = demands.iter().map(|demand| demand.per_s).sum();
        let given: f64 = served(&demands, capacity).iter().sum();
        prop_assert!((given - asked.min(capacity)).abs() <= 1e-6 * capacity.max(1.0), "{given} of {capacity}");
    }

    #[test]
    fn a_demand_within_the_fair_share_is_served_in_full(demands in demands(), capacity in 0.0..1e5_f64) {
        let weights: f64 = demands.iter().map(|demand| demand.weight).sum();
        for (demand, served) in demands.iter().zip(served(&demands, capacity)) {
            let fair = capacity * demand.weight / weights;
            prop_assert!(served >= demand.per_s.min(fair) * (1.0 - 1e-9));
        }
    }

    #[test]
    fn a_larger_weight_never_reduces_the_share(
        demands in demands(), capacity in 0.0..1e5_f64, index in 0_usize..80, more in 1.0..10.0_f64,
    ) {
        let index = index % demands.len();
        let before = served(&demands, capacity)[index];
        let mut raised = demands;
        raised[index].weight *= more;
        prop_assert!(served(&raised, capacity)[index] >= before * (1.0 - 1e-9));
    }

    /// Retries raise a tenant's demand and must not cost the other tenants anything.
    #[test]
    fn more_demand_above_the_share_costs_nobody(
        demands in demands(), capacity in 1.0..1e4_f64, index in 0_usize..80, more in 1.0..100.0_f64,
    ) {
        let index = index % demands.len();
        let before = served(&demands, capacity);
        prop_assume!(before[index] < demands[index].per_s);
        let mut raised = demands;
        raised[index].per_s *= more;
        for (before, after) in before.iter().zip(served(&raised, capacity)) {
            prop_assert!((before - after).abs() <= 1e-6 * capacity);
        }
    }

    /// The same fraction of a tenant's requests passes, however many nodes they arrive at.
    #[test]
    fn the_admitted_fraction_does_not_depend_on_the_number_of_nodes(
        nodes in prop::sample::select(vec![1_usize, 5, 70, 986]),
        draws in prop::collection::vec(0.0..1.0_f64, 986),
    ) {
        let shares = shares(&uneven_demand(), 1.0);
        let part = part(&shares, BIG);
        let mut nodes: Vec<_> = (0..nodes).map(|_| shares.clone()).collect();
        let (requests, mut passed) = (2_000, 0_usize);
        for request in 0..requests {
            let index = request % nodes.len();
            let standing = nodes[index].classify(at(0), BIG, draws[index]);
            passed += usize::from(standing == ShareStanding::Within);
        }
        let expected = part * requests as f64;
        // Each node's initial draw may be off by one request; these errors cancel out over many nodes.
        let tolerance = 5.0 * (nodes.len() as f64).sqrt();
        prop_assert!((passed as f64 - expected).abs() <= tolerance, "{passed} of {expected}");
    }
}

#[rstest]
fn a_tenant_below_its_share_is_served_while_another_fills_the_pool() {
    let mut shares = shares(&uneven_demand(), 1.0);
    for _ in 0..100 {
        assert_eq!(shares.classify(at(0), SMALL, 0.0), ShareStanding::Within);
    }
    // 200 slots are served, 20 of them for the small tenant.
    assert!((part(&shares, BIG) - 180.0 / 400.0).abs() < 1e-6);
    assert_eq!(shares.limited_tenants(at(0)), 1);
    let share = shares.share(at(0), BIG).expect("a share");
    let left = Duration::from_secs(3);
    let soonest = share.retry_after(left, 0.0);
    assert!(soonest >= Duration::from_millis(100) && soonest < share.retry_after(left, 1.0));
    assert!(share.retry_after(left, 1.0) <= left / 3);
}

#[rstest]
#[case::half_of_the_attempts_fail(SHORT, true)]
#[case::one_of_thirty_fails(AttemptRates { begun_per_s: 290.0, failed_per_s: 10.0, ..AttemptRates::default() }, false)]
#[case::no_attempts(AttemptRates::default(), false)]
fn shares_are_enforced_only_in_a_short_pool(
    #[case] attempts: AttemptRates,
    #[case] enforced: bool,
) {
    let mut shares = PoolShares::default();
    shares.refresh(
        at(0),
        CapacityUnit::SlotTime,
        attempts,
        &uneven_demand(),
        |_| 1.0,
    );
    assert_eq!(shares.is_enforced(at(0)), enforced);
    let standing = shares.classify(at(0), BIG, 0.0);
    let expected = if enforced {
        ShareStanding::Over
    } else {
        ShareStanding::Within
    };
    assert_eq!(standing, expected);
}

#[rstest]
fn shares_that_are_too_old_are_not_enforced() {
    let mut shares = shares(&uneven_demand(), 1.0);
    assert!(shares.is_enforced(at(900)));
    assert!(!shares.is_enforced(at(10_000)));
    assert_eq!(shares.share(at(10_000), BIG), None);
    for _ in 0..100 {
        assert_eq!(shares.classify(at(10_000), BIG, 0.0), ShareStanding::Within);
    }
}

#[rstest]
fn figures_that_are_counted_twice_change_no_fraction() {
    let once = shares(&uneven_demand(), 2.0);
    let doubled = uneven_demand().into_iter().map(|(code, figures)| {
        let mut twice = figures;
        twice += &figures;
        (code, twice)
    });
    let twice = shares(&doubled.collect(), 2.0);
    assert!((part(&once, BIG) - part(&twice, BIG)).abs() < 1e-9);
}

#[rstest]
#[case::implausibly_large(slots(1e9, 0.0))]
#[case::negative(slots(1.0, -1.0))]
#[case::not_a_number(slots(f32::NAN, 0.0))]
fn implausible_figures_are_rejected(#[case] figures: TenantFigures) {
    assert!(slots(400.0, 200.0).is_valid());
    assert!(!figures.is_valid());
}

#[rstest]
fn the_unit_is_the_bottleneck_of_the_pool() {
    assert_eq!(
        CapacityUnit::of_pool(false, 1.0, 100.0),
        CapacityUnit::SlotTime
    );
    assert_eq!(
        CapacityUnit::of_pool(true, 50.0, 100.0),
        CapacityUnit::PromptTokens
    );
    assert_eq!(
        CapacityUnit::of_pool(true, 95.0, 100.0),
        CapacityUnit::SlotTime
    );
}

/// Engines are added while tenants are limited. No attempt fails, and engines serve all that the estimate admits.
#[rstest]
fn added_capacity_is_in_use_within_three_seconds() {
    let mut shortage = ShortageDetector::default();
    let mut begun = shortage.capacity(at(0), SHORT, 100.0).expect("short");
    let no_failures = AttemptRates {
        begun_per_s: 400.0,
        failed_per_s: 0.0,
        has_idle_slots: false,
    };
    for step in 1..=6 {
        let capacity = shortage.capacity(at(1_100 + step * 500), no_failures, begun);
        // The throughput is a mean over two seconds.
        begun += (capacity.expect("short") - begun) * 0.5 / 2.0;
    }
    assert!(begun > 190.0, "{begun}");
}

/// After an overload, a limited tenant needs only a part of the pool, but engines of uneven speed still refuse one
/// attempt in ten. The tenant must not stay limited while slots are idle.
#[rstest]
fn a_tenant_is_not_limited_while_slots_are_idle() {
    const SLOTS: f32 = 12.0;
    let asked = 7.7;
    let mut begun = 1.4;
    let mut shares = PoolShares::default();
    for step in 0..32 {
        let attempts = AttemptRates {
            begun_per_s: 27.0,
            failed_per_s: 3.0,
            has_idle_slots: CapacityUnit::has_idle_slots(false, f64::from(begun), f64::from(SLOTS)),
        };
        let figures = HashMap::from([(BIG, slots(asked, begun)), (SMALL, slots(0.4, 0.4))]);
        shares.refresh(
            at(step * 250),
            CapacityUnit::SlotTime,
            attempts,
            &figures,
            |_| 1.0,
        );
        let part = shares
            .share(at(step * 250), BIG)
            .map_or(1.0, |share| share.fraction_within());
        // Nine of ten admitted requests are served, as a mean over two seconds.
        begun += (asked * part as f32 * 0.9 - begun) * 0.125;
    }
    assert!(begun >= asked * 0.8, "{begun} of {asked}");
}

/// Attempts may fail for other reasons than load. The estimate must not shrink further and further.
#[rstest]
fn the_capacity_estimate_does_not_collapse_while_attempts_fail() {
    let mut shortage = ShortageDetector::default();
    let mut begun = 200.0;
    for step in 0..100 {
        let capacity = shortage.capacity(at(step * 250), SHORT, begun);
        begun = capacity.expect("short") * 0.9;
    }
    assert!(begun >= 0.9 * 100.0, "{begun}");
}

#[rstest]
fn twenty_thousand_small_tenants_share_one_row() {
    let mut meters = TenantMeters::default();
    let many = 20_000_u64;
    for request in 0..many {
        let now = at(request / 10);
        meters.record_request(now, TenantCode(1_000 + request), 10);
        meters.record_request(now, BIG, 10);
        meters.record_request(now, BIG, 10);
    }
    assert!(meters.len() <= 4 * MAX_NAMED_TENANTS);
    let rows = meters.figures(at(2_000));
    assert!(rows.len() <= MAX_NAMED_TENANTS + 1);
    assert!(meters.len() <= MAX_NAMED_TENANTS);
    let asked = |code| {
        let row = rows.iter().find(|(row, _)| *row == code);
        row.expect("a row").1.asked.prompt_tokens_per_s
    };
    let (big, others) = (asked(BIG), asked(TenantCode::OTHERS));
    assert!((big / others - 2.0).abs() < 0.05, "{big}, {others}");
    // No small tenant exceeds its share.
    let served = rows.into_iter().map(|(code, mut figures)| {
        figures.begun.prompt_tokens_per_s = figures.asked.prompt_tokens_per_s / 2.0;
        (code, figures)
    });
    let mut shares = PoolShares::default();
    let served = served.collect();
    shares.refresh(
        at(2_000),
        CapacityUnit::PromptTokens,
        SHORT,
        &served,
        |_| 1.0,
    );
    let unknown = shares.classify(at(2_000), TenantCode(99_999_999), 0.0);
    assert_eq!(unknown, ShareStanding::Within);
    let big = shares.share(at(2_000), BIG).expect("a share");
    assert!(big.fraction_within() < 0.5, "{big:?}");
}

/// The number of rows that nodes hold and send does not grow with the number of tenants.
#[rstest]
fn fifteen_thousand_tenants_at_986_nodes_are_65_rows() {
    let (nodes, tenants) = (986_u64, 15_000_u64);
    let rows_of = |node: u64| {
        let rows = (0..100).map(|index| {
            let tenant = (node * 100 + index) % tenants;
            // Every hundredth tenant has a large demand.
            let asked = if tenant.is_multiple_of(100) {
                5.0
            } else {
                0.01
            };
            (TenantCode(2 + tenant), slots(asked, asked / 2.0))
        });
        top_tenants(rows.collect())
    };
    let mut fleet: HashMap<TenantCode, TenantFigures> = HashMap::new();
    let mut asked = 0.0;
    for node in 0..nodes {
        let rows = rows_of(node);
        assert!(rows.len() <= MAX_NAMED_TENANTS + 1);
        for (code, figures) in rows {
            asked += f64::from(figures.asked.slots);
            *fleet.entry(code).or_default() += &figures;
        }
    }
    let rows = top_tenants(fleet.into_iter().collect());
    assert_eq!(rows.len(), MAX_NAMED_TENANTS + 1);
    let counted = rows
        .iter()
        .map(|(_, figures)| f64::from(figures.asked.slots));
    let counted: f64 = counted.sum();
    assert!(
        (counted - asked).abs() < asked * 1e-3,
        "{counted} of {asked}"
    );
}

#[rstest]
fn tenant_codes_are_stable_and_never_reserved_values() {
    let long = TenantName::from("n".repeat(8 << 10));
    let other = TenantName::from("n".repeat((8 << 10) + 1));
    assert_eq!(TenantCode::of(&long), TenantCode::of(&long));
    assert_ne!(TenantCode::of(&long), TenantCode::of(&other));
    assert!(TenantCode::of(&TenantName::from("")) > TenantCode::ANONYMOUS);
}
