//! Tenants that compete for a pool with too little room.

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

/// A pool in which one of two tries fails.
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

/// One tenant asks for 400 of 200 slots, one for 20; engines serve both alike.
fn storm() -> HashMap<TenantCode, TenantFigures> {
    HashMap::from([(BIG, slots(400.0, 190.0)), (SMALL, slots(20.0, 10.0))])
}

fn shares(figures: &HashMap<TenantCode, TenantFigures>, weight: f64) -> PoolShares {
    let mut shares = PoolShares::default();
    let weight = |tenant| if tenant == BIG { weight } else { 1.0 };
    shares.refresh(at(0), CapacityUnit::SlotTime, SHORT, figures, weight);
    shares
}

fn part(shares: &PoolShares, tenant: TenantCode) -> f64 {
    shares.share(at(0), tenant).expect("a share").part()
}

fn demands() -> impl Strategy<Value = Vec<WeightedDemand>> {
    let demand = (0.0..1e4_f64, 0.01..100.0_f64)
        .prop_map(|(per_s, weight)| WeightedDemand { per_s, weight });
    prop::collection::vec(demand, 1..80)
}

fn served(demands: &[WeightedDemand], room: f64) -> Vec<f64> {
    let level = max_min_level(demands, room).unwrap_or(f64::INFINITY);
    let served = demands.iter();
    served
        .map(|demand| demand.per_s.min(level * demand.weight))
        .collect()
}

proptest! {
    #[test]
    fn all_room_is_given_and_no_more(demands in demands(), room in 0.0..1e5_f64) {
        let asked: f64 = demands.iter().map(|demand| demand.per_s).sum();
        let given: f64 = served(&demands, room).iter().sum();
        prop_assert!((given - asked.min(room)).abs() <= 1e-6 * room.max(1.0), "{given} of {room}");
    }

    #[test]
    fn who_asks_for_no_more_than_a_fair_part_gets_it(demands in demands(), room in 0.0..1e5_f64) {
        let weights: f64 = demands.iter().map(|demand| demand.weight).sum();
        for (demand, served) in demands.iter().zip(served(&demands, room)) {
            let fair = room * demand.weight / weights;
            prop_assert!(served >= demand.per_s.min(fair) * (1.0 - 1e-9));
        }
    }

    #[test]
    fn more_weight_is_never_less_room(
        demands in demands(), room in 0.0..1e5_f64, place in 0_usize..80, more in 1.0..10.0_f64,
    ) {
        let place = place % demands.len();
        let before = served(&demands, room)[place];
        let mut raised = demands;
        raised[place].weight *= more;
        prop_assert!(served(&raised, room)[place] >= before * (1.0 - 1e-9));
    }

    /// Repeats raise the demand of whoever repeats.
    #[test]
    fn more_demand_of_one_over_the_level_costs_nobody(
        demands in demands(), room in 1.0..1e4_f64, place in 0_usize..80, more in 1.0..100.0_f64,
    ) {
        let place = place % demands.len();
        let before = served(&demands, room);
        prop_assume!(before[place] < demands[place].per_s);
        let mut raised = demands;
        raised[place].per_s *= more;
        for (before, after) in before.iter().zip(served(&raised, room)) {
            prop_assert!((before - after).abs() <= 1e-6 * room);
        }
    }

    /// However many nodes a tenant's requests come to, and however few to each, its part of them passes.
    #[test]
    fn nodes_let_the_same_part_pass(
        nodes in prop::sample::select(vec![1_usize, 5, 70, 986]),
        draws in prop::collection::vec(0.0..1.0_f64, 986),
    ) {
        let shares = shares(&storm(), 1.0);
        let part = part(&shares, BIG);
        let mut nodes: Vec<_> = (0..nodes).map(|_| shares.clone()).collect();
        let (requests, mut passed) = (2_000, 0_usize);
        for request in 0..requests {
            let place = request % nodes.len();
            let standing = nodes[place].classify(at(0), BIG, draws[place]);
            passed += usize::from(standing == ShareStanding::Within);
        }
        let expected = part * requests as f64;
        // Each node's first draw may be off by one request; of many nodes these cancel out.
        let off = 5.0 * (nodes.len() as f64).sqrt();
        prop_assert!((passed as f64 - expected).abs() <= off, "{passed} of {expected}");
    }
}

#[rstest]
fn a_tenant_under_its_share_is_served_although_the_pool_is_full_of_another() {
    let mut shares = shares(&storm(), 1.0);
    for _ in 0..100 {
        assert_eq!(shares.classify(at(0), SMALL, 0.0), ShareStanding::Within);
    }
    // 200 slots are served; 20 of them are the small one's.
    assert!((part(&shares, BIG) - 180.0 / 400.0).abs() < 1e-6);
    assert_eq!(shares.limited_tenants(at(0)), 1);
    let share = shares.share(at(0), BIG).expect("a share");
    let left = Duration::from_secs(3);
    let soonest = share.retry_after(left, 0.0);
    assert!(soonest >= Duration::from_millis(100) && soonest < share.retry_after(left, 1.0));
    assert!(share.retry_after(left, 1.0) <= left / 3);
}

#[rstest]
#[case::one_of_two_tries_fails(SHORT, true)]
#[case::one_of_thirty(AttemptRates { begun_per_s: 290.0, failed_per_s: 10.0, ..AttemptRates::default() }, false)]
#[case::none_was_made(AttemptRates::default(), false)]
fn shares_act_in_a_pool_that_is_short(#[case] tries: AttemptRates, #[case] acts: bool) {
    let mut shares = PoolShares::default();
    shares.refresh(at(0), CapacityUnit::SlotTime, tries, &storm(), |_| 1.0);
    assert_eq!(shares.is_enforced(at(0)), acts);
    let standing = shares.classify(at(0), BIG, 0.0);
    let expected = if acts {
        ShareStanding::Over
    } else {
        ShareStanding::Within
    };
    assert_eq!(standing, expected);
}

#[rstest]
fn a_node_that_wakes_with_old_shares_refuses_nobody_for_them() {
    let mut shares = shares(&storm(), 1.0);
    assert!(shares.is_enforced(at(900)));
    assert!(!shares.is_enforced(at(10_000)));
    assert_eq!(shares.share(at(10_000), BIG), None);
    for _ in 0..100 {
        assert_eq!(shares.classify(at(10_000), BIG, 0.0), ShareStanding::Within);
    }
}

#[rstest]
fn a_sum_that_is_counted_twice_changes_no_part() {
    let once = shares(&storm(), 2.0);
    let doubled = storm().into_iter().map(|(code, figures)| {
        let mut twice = figures;
        twice += &figures;
        (code, twice)
    });
    let twice = shares(&doubled.collect(), 2.0);
    assert!((part(&once, BIG) - part(&twice, BIG)).abs() < 1e-9);
}

#[rstest]
#[case::more_requests_than_any_fleet(slots(1e9, 0.0))]
#[case::below_zero(slots(1.0, -1.0))]
#[case::no_number(slots(f32::NAN, 0.0))]
fn what_no_node_can_have_counted_is_unsound(#[case] figures: TenantFigures) {
    assert!(slots(400.0, 200.0).is_sound());
    assert!(!figures.is_sound());
}

#[rstest]
fn the_unit_is_what_the_pool_is_short_of() {
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

/// Engines come while tenants are cut: each half second no try fails and engines serve what the room lets through.
#[rstest]
fn room_that_comes_is_in_use_within_three_seconds() {
    let mut shortage = ShortageDetector::default();
    let mut begun = shortage.room(at(0), SHORT, 100.0).expect("short");
    let sound = AttemptRates {
        begun_per_s: 400.0,
        failed_per_s: 0.0,
        has_idle_slots: false,
    };
    for step in 1..=6 {
        let room = shortage.room(at(1_100 + step * 500), sound, begun);
        // What is served is a mean over two seconds.
        begun += (room.expect("short") - begun) * 0.5 / 2.0;
    }
    assert!(begun > 190.0, "{begun}");
}

/// After a storm a tenant that was cut asks for a part of the pool, and engines of uneven speed refuse one try in ten:
/// it is not cut while slots stand empty.
#[rstest]
fn a_tenant_is_not_cut_while_slots_stand_empty() {
    const SLOTS: f32 = 12.0;
    let asked = 7.7;
    let mut begun = 1.4;
    let mut shares = PoolShares::default();
    for step in 0..32 {
        let tries = AttemptRates {
            begun_per_s: 27.0,
            failed_per_s: 3.0,
            has_idle_slots: CapacityUnit::has_idle_slots(false, f64::from(begun), f64::from(SLOTS)),
        };
        let figures = HashMap::from([(BIG, slots(asked, begun)), (SMALL, slots(0.4, 0.4))]);
        shares.refresh(
            at(step * 250),
            CapacityUnit::SlotTime,
            tries,
            &figures,
            |_| 1.0,
        );
        let part = shares
            .share(at(step * 250), BIG)
            .map_or(1.0, |share| share.part());
        // Nine of ten that are let through are served, as a mean over two seconds.
        begun += (asked * part as f32 * 0.9 - begun) * 0.125;
    }
    assert!(begun >= asked * 0.8, "{begun} of {asked}");
}

/// Tries may fail for other reasons than load: the cut tenants must not be cut ever more.
#[rstest]
fn room_does_not_dwindle_while_tries_fail() {
    let mut shortage = ShortageDetector::default();
    let mut begun = 200.0;
    for step in 0..100 {
        let room = shortage.room(at(step * 250), SHORT, begun);
        begun = room.expect("short") * 0.9;
    }
    assert!(begun >= 0.9 * 100.0, "{begun}");
}

#[rstest]
fn twenty_thousand_tenants_of_one_request_are_one_row_beside_the_big_one() {
    let mut meters = TenantMeters::default();
    let many = 20_000_u64;
    for request in 0..many {
        let now = at(request / 10);
        meters.asked(now, TenantCode(1_000 + request), 10);
        meters.asked(now, BIG, 10);
        meters.asked(now, BIG, 10);
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
    // Nobody of the many asks for more than the big one's share.
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
    assert!(big.part() < 0.5, "{big:?}");
}

/// What a relay and a member hold and send of 15,000 tenants at 986 nodes is bounded by the named ones.
#[rstest]
fn fifteen_thousand_tenants_at_986_nodes_are_65_rows() {
    let (nodes, tenants) = (986_u64, 15_000_u64);
    let rows_of = |node: u64| {
        let rows = (0..100).map(|place| {
            let tenant = (node * 100 + place) % tenants;
            // Every hundredth tenant asks for most.
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
fn a_long_name_has_a_short_number_and_the_reserved_ones_are_nobodys() {
    let long = TenantName::from("n".repeat(8 << 10));
    let other = TenantName::from("n".repeat((8 << 10) + 1));
    assert_eq!(TenantCode::of(&long), TenantCode::of(&long));
    assert_ne!(TenantCode::of(&long), TenantCode::of(&other));
    assert!(TenantCode::of(&TenantName::from("")) > TenantCode::ANONYMOUS);
}
