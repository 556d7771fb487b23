//! Sums of figures over nodes, with lost and duplicate reports.

use std::time::Duration;

use dalestand_routing::staged::LoadSource;
use dalestand_routing::{
    ClassFigures, ClassMeter, SlownessFigures, SourceSums, TenantFigures, WorkRate,
};
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rstest::rstest;

const ROW_LIFETIME: Duration = Duration::from_secs(3);

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime(milliseconds * 1_000)
}

fn asked(per_s: f32) -> TenantFigures {
    TenantFigures {
        asked: WorkRate {
            slots: per_s,
            prompt_tokens_per_s: 0.0,
        },
        ..TenantFigures::default()
    }
}

fn sums() -> SourceSums<&'static str, TenantFigures> {
    SourceSums::new(ROW_LIFETIME)
}

#[rstest]
fn a_relay_sums_its_own_figures_its_members_and_the_other_relays() {
    let mut sums = sums();
    sums.set_own([("pool", asked(1.0))]);
    sums.set_reported(at(0), LoadSource::Member(1), [("pool", asked(2.0))]);
    sums.set_reported(at(0), LoadSource::Relay(2), [("pool", asked(4.0))]);
    sums.refresh(at(10));
    assert_eq!(sums.total(&"pool"), Some(&asked(7.0)));
    let is_member = |source| matches!(source, LoadSource::Member(_));
    assert_eq!(sums.sum_of(at(10), is_member)["pool"], asked(3.0));
}

#[rstest]
fn a_member_uses_the_sums_of_the_fleet_as_totals() {
    let mut sums = sums();
    sums.set_own([("pool", asked(1.0)), ("new", asked(5.0))]);
    sums.set_reported(at(0), LoadSource::Fleet, [("pool", asked(9.0))]);
    sums.refresh(at(10));
    assert_eq!(sums.total(&"pool"), Some(&asked(9.0)));
    assert_eq!(sums.total(&"new"), Some(&asked(5.0)));
}

#[rstest]
fn a_duplicate_report_counts_once_and_a_missing_one_expires() {
    let mut sums = sums();
    for milliseconds in [0, 5] {
        let row = ("pool", asked(2.0));
        sums.set_reported(at(milliseconds), LoadSource::Member(1), [row]);
    }
    sums.refresh(at(10));
    assert_eq!(sums.total(&"pool"), Some(&asked(2.0)));
    sums.refresh(at(3_005));
    assert_eq!(sums.total(&"pool"), None);
}

#[rstest]
fn a_node_without_reports_uses_its_own_figures() {
    let mut sums = sums();
    sums.set_own([("pool", asked(3.0))]);
    sums.set_reported(at(0), LoadSource::Fleet, [("pool", asked(50.0))]);
    sums.refresh(at(60_000));
    assert_eq!(sums.total(&"pool"), Some(&asked(3.0)));
}

#[rstest]
#[case::usual(20.0, true)]
#[case::implausibly_large(1e9, false)]
#[case::negative(-1.0, false)]
#[case::not_a_number(f32::NAN, false)]
#[case::infinite(f32::INFINITY, false)]
fn implausible_rates_are_rejected(#[case] rate: f32, #[case] is_valid: bool) {
    let figures = ClassFigures {
        asked_per_s: rate,
        ..ClassFigures::default()
    };
    assert_eq!(figures.is_valid(), is_valid);
    let weighted = SlownessFigures {
        weight: rate,
        log_slowness: 0.0,
    };
    assert!(is_valid || !weighted.is_valid() || rate > 0.0);
}

#[rstest]
fn a_rate_converges_and_decays() {
    let mut meter = ClassMeter::default();
    for request in 0..400 {
        meter.asked.count(at(request * 25), 1.0);
    }
    let rate = meter.figures(at(10_000)).asked_per_s;
    assert!((36.0..44.0).contains(&rate), "{rate}");
    assert!(meter.figures(at(30_000)).asked_per_s < 0.01);
}

proptest! {
    /// The total is the sum of each source's newest row, whatever the order of the reports.
    #[test]
    fn only_the_newest_row_of_each_source_counts(
        reports in prop::collection::vec((0_u64..4, 0_u64..2_000, 0.0_f32..100.0), 1..40),
    ) {
        let mut sums = sums();
        let mut newest = std::collections::BTreeMap::new();
        let mut now = 0;
        for (source, later, rate) in reports {
            now += later / 20;
            sums.set_reported(at(now), LoadSource::Member(source), [("pool", asked(rate))]);
            newest.insert(source, (now, rate));
        }
        sums.refresh(at(now));
        let counted = newest.values().filter(|(reported_at, _)| now - reported_at < 3_000);
        let expected: f32 = counted.map(|(_, rate)| rate).sum();
        let total = sums.total(&"pool").map_or(0.0, |figures| figures.asked.slots);
        prop_assert!((total - expected).abs() <= expected * 1e-4);
    }
}

#[rstest]
fn the_age_of_a_source_is_that_of_its_newest_row_until_it_expires() {
    let mut sums = sums();
    sums.set_reported(at(0), LoadSource::Member(1), [("pool", asked(2.0))]);
    sums.set_reported(at(400), LoadSource::Member(1), [("other", asked(2.0))]);
    let sources = |milliseconds| sums.active_sources(at(milliseconds)).collect::<Vec<_>>();
    let age = Duration::from_millis(100);
    assert_eq!(sources(500), [(LoadSource::Member(1), age)]);
    assert_eq!(sources(3_400), []);
}
