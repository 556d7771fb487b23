//! Usage is counted exactly once when messages are lost or duplicated and nodes restart.

use std::time::Duration;

use dalestand_duties::{
    NodeIncarnation, ReportSchedule, ReportTiming, TenantCounts, UsageCounters, UsageLedger,
    UsageWindows, WallClock, WindowIndex, WindowReport,
};
use dalestand_types::{MonotonicTime, TenantName};
use proptest::prelude::*;
use rstest::rstest;

const SECOND: Duration = Duration::from_secs(1);

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn tenant(number: u8) -> TenantName {
    TenantName::from(format!("tenant-{number}"))
}

fn timing() -> ReportTiming {
    ReportTiming {
        windows: UsageWindows::new(5 * SECOND),
        settle_delay: Duration::from_millis(1_400),
        deadline: 10 * SECOND,
    }
}

#[rstest]
#[case(0, 0)]
#[case(4_999, 0)]
#[case(5_000, 1)]
#[case(1_767_225_603_000, 353_445_120)]
fn windows_are_numbered_from_1970(#[case] milliseconds: u64, #[case] window: u64) {
    let windows = UsageWindows::new(5 * SECOND);
    let unix_time = Duration::from_millis(milliseconds);
    assert_eq!(windows.at(unix_time), WindowIndex(window));
    assert!(windows.end(WindowIndex(window)) > unix_time);
}

/// A clock jump that is later undone must not move counts to another window.
#[rstest]
#[case::forward(3_000)]
#[case::back(-3_000)]
fn a_reverted_clock_jump_moves_no_count(#[case] jump_ms: i64) {
    let start = Duration::from_secs(1_000_000);
    let mut clock = WallClock::new(at(0), start);
    for second in 1..40_u64 {
        let now = at(second * 1_000);
        let actual = start + Duration::from_secs(second);
        let jumped = (10..30).contains(&second);
        let shift = if jumped { jump_ms } else { 0 };
        let reported = actual.as_millis() as i64 + shift;
        clock.observe(now, Duration::from_millis(reported as u64));
        assert_eq!(clock.at(now), actual, "after {second} s");
    }
}

#[rstest]
fn a_lasting_clock_change_is_accepted() {
    let start = Duration::from_secs(1_000_000);
    let mut clock = WallClock::new(at(0), start);
    let ahead = Duration::from_secs(7);
    for second in 1..80_u64 {
        let now = at(second * 1_000);
        clock.observe(now, start + ahead + Duration::from_secs(second));
    }
    assert_eq!(clock.at(at(79_000)), start + ahead + 79 * SECOND);
}

#[rstest]
fn a_window_is_due_between_settle_delay_and_deadline() {
    let mut schedule = ReportSchedule::new(timing());
    // Window 20 ends at 105 s.
    let second = |second: f64| Duration::from_secs_f64(second);
    assert_eq!(schedule.due(second(106.3)), Some(WindowIndex(19)));
    schedule.mark_done(WindowIndex(19));
    assert_eq!(schedule.due(second(106.3)), None, "not yet settled");
    assert_eq!(schedule.due(second(106.5)), Some(WindowIndex(20)));
    schedule.mark_done(WindowIndex(20));
    assert_eq!(schedule.due(second(106.5)), None);
    // A new holder reports every window whose deadline has not passed.
    let successor = ReportSchedule::new(timing());
    assert_eq!(successor.due(second(114.9)), Some(WindowIndex(20)));
    assert_eq!(successor.due(second(115.1)), Some(WindowIndex(21)));
}

#[rstest]
fn a_report_round_trips() {
    let counts = TenantCounts::from([(tenant(1), 412), (tenant(2), 7)]);
    let report = WindowReport {
        window: WindowIndex(353_445_120),
        counts,
    };
    let text = report.to_text().expect("encodes");
    assert_eq!(WindowReport::parse(&text).expect("parses"), report);
    assert!(WindowReport::parse("{}").is_err());
}

#[rstest]
fn a_change_is_sent_twice() {
    let mut counters = UsageCounters::default();
    counters.count(WindowIndex(1), &tenant(1));
    assert_eq!(counters.take_changed().len(), 1);
    assert_eq!(counters.take_changed().len(), 1);
    assert!(counters.take_changed().is_empty());
    counters.resend_all();
    assert_eq!(counters.take_changed().len(), 1);
    counters.remove_before(WindowIndex(2));
    counters.resend_all();
    assert!(counters.take_changed().is_empty());
}

/// Delivery of one message.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Lost,
    Once,
    Twice,
    Delayed,
}

fn delivery() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        1 => Just(Delivery::Lost),
        5 => Just(Delivery::Once),
        2 => Just(Delivery::Twice),
        2 => Just(Delivery::Delayed),
    ]
}

proptest! {
    /// After lost, duplicated and reordered messages and a change of holder, one more message from each
    /// node gives the new holder all counts.
    #[test]
    fn a_new_holder_gets_all_counts(
        counted in proptest::collection::vec((0_usize..4, 0_u8..3, 0_u64..3), 1..120),
        deliveries in proptest::collection::vec(delivery(), 40),
        taken_over_at in 0_usize..120,
    ) {
        let mut nodes = vec![UsageCounters::default(); 4];
        let mut ledger = UsageLedger::default();
        let mut delayed = Vec::new();
        let mut expected: std::collections::BTreeMap<u64, TenantCounts> = Default::default();
        let mut deliveries = deliveries.into_iter().cycle();
        for (step, (node, name, window)) in counted.iter().enumerate() {
            nodes[*node].count(WindowIndex(*window), &tenant(*name));
            *expected.entry(*window).or_default().entry(tenant(*name)).or_default() += 1;
            if step == taken_over_at {
                ledger = UsageLedger::default();
                delayed.clear();
                nodes.iter_mut().for_each(UsageCounters::resend_all);
            }
            if step % 5 == 0 {
                for (number, node) in nodes.iter_mut().enumerate() {
                    let origin = NodeIncarnation { node: number as u64, incarnation: 1 };
                    let message = node.take_changed();
                    match deliveries.next().unwrap_or(Delivery::Once) {
                        Delivery::Lost => {}
                        Delivery::Once => ledger.merge(origin, message),
                        Delivery::Twice => {
                            ledger.merge(origin, message.clone());
                            ledger.merge(origin, message);
                        }
                        Delivery::Delayed => delayed.push((origin, message)),
                    }
                }
            }
        }
        for (number, node) in nodes.iter_mut().enumerate() {
            node.resend_all();
            let origin = NodeIncarnation { node: number as u64, incarnation: 1 };
            ledger.merge(origin, node.take_changed());
        }
        for (origin, message) in delayed {
            ledger.merge(origin, message);
        }
        for (window, counts) in expected {
            prop_assert_eq!(ledger.total(WindowIndex(window)), counts);
        }
    }

    /// A restarted node counts from zero; the counts of its incarnations add up.
    #[test]
    fn incarnations_of_a_node_add_up(first in 0_u64..50, second in 0_u64..50) {
        let mut ledger = UsageLedger::default();
        for (incarnation, requests) in [(1, first), (2, second)] {
            let mut counters = UsageCounters::default();
            for _ in 0..requests {
                counters.count(WindowIndex(1), &tenant(1));
            }
            ledger.merge(NodeIncarnation { node: 7, incarnation }, counters.take_changed());
        }
        let total = ledger.total(WindowIndex(1));
        prop_assert_eq!(total.values().sum::<u64>(), first + second);
    }
}
