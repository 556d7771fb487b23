//! Signals of engines, in any order and with extreme values.

use std::time::Duration;

use dalestand_routing::staged::{ClosedReason, EngineKey, ProbeCall, ProbeOutcome, SignalTable};
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rstest::rstest;

const ENGINE: EngineKey = EngineKey(7);
const NOW: MonotonicTime = MonotonicTime::from_millis(50_000);

fn seconds(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// An event between a node and one engine.
#[derive(Clone, Debug)]
enum Step {
    /// This many milliseconds pass.
    Wait(u64),
    /// The engine asks for a backoff of this many milliseconds.
    Backoff(u64),
    /// The node calls the engine unless it is closed.
    Call,
    /// The oldest call ends; `true` if the engine accepted it.
    CallEnds(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_u64..2_000).prop_map(Step::Wait),
        1 => (1_u64..5_000).prop_map(Step::Backoff),
        4 => Just(Step::Call),
        4 => any::<bool>().prop_map(Step::CallEnds),
    ]
}

proptest! {
    /// No call is sent within a backoff, and the number of probes after it is limited.
    #[test]
    fn no_call_is_sent_within_a_backoff(
        steps in proptest::collection::vec(step(), 1..80),
        jitter in 0.0..1.0_f64,
    ) {
        let mut table = SignalTable::default();
        let mut now = NOW;
        let mut closed_until = MonotonicTime::ZERO;
        let mut calls: Vec<Option<ProbeCall>> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(ms) => now = now + Duration::from_millis(ms),
                Step::Backoff(ms) => {
                    let requested = Duration::from_millis(ms);
                    table.record_backoff(now, ENGINE, requested, jitter);
                    closed_until = closed_until.max(now + requested);
                    calls.clear();
                }
                Step::Call if table.closed(now, ENGINE).is_none() => {
                    prop_assert!(now >= closed_until);
                    calls.push(table.begin_call(now, ENGINE));
                    let probes = calls.iter().flatten().count();
                    prop_assert!(probes < 8, "{probes} unanswered probes");
                }
                Step::CallEnds(accepted) if !calls.is_empty() => {
                    let outcome = if accepted { ProbeOutcome::Accepted } else { ProbeOutcome::NotAccepted };
                    if let Some(call) = calls.remove(0) {
                        table.finish_probe(call, outcome);
                    }
                }
                Step::Call | Step::CallEnds(_) => {}
            }
        }
    }

    /// Draining is final for a run, whatever follows.
    #[test]
    fn a_draining_run_stays_closed(
        steps in proptest::collection::vec(step(), 0..40),
    ) {
        let mut table = SignalTable::default();
        prop_assert!(table.record_draining(ENGINE));
        let mut now = NOW;
        for step in steps {
            match step {
                Step::Wait(ms) => now = now + Duration::from_millis(ms),
                Step::Backoff(ms) => {
                    table.record_backoff(now, ENGINE, Duration::from_millis(ms), 0.5);
                }
                Step::Call | Step::CallEnds(_) => {}
            }
            prop_assert_eq!(table.closed(now, ENGINE), Some(ClosedReason::Draining));
            prop_assert!(!table.record_draining(ENGINE), "already recorded");
        }
    }
}

#[rstest]
#[case::a_longer_one(2, 5, 5)]
#[case::a_shorter_one(5, 2, 5)]
fn a_shorter_backoff_does_not_shorten_a_longer_one(
    #[case] first_s: u64,
    #[case] second_s: u64,
    #[case] closed_s: u64,
) {
    let mut table = SignalTable::default();
    assert!(table.record_backoff(NOW, ENGINE, seconds(first_s), 0.0));
    assert!(!table.record_backoff(NOW, ENGINE, seconds(second_s), 0.0));
    let until = NOW + seconds(closed_s);
    assert_eq!(
        table.closed(NOW, ENGINE),
        Some(ClosedReason::Backoff(until))
    );
    assert_eq!(table.closed(until, ENGINE), None);
}

#[rstest]
fn nodes_end_a_backoff_at_different_times() {
    let ends_ms = [0.0, 0.5, 1.0].map(|jitter| {
        let mut table = SignalTable::default();
        table.record_backoff(NOW, ENGINE, seconds(4), jitter);
        let after = (0..).find(|ms| {
            let now = NOW + Duration::from_millis(*ms);
            table.closed(now, ENGINE).is_none()
        });
        after.expect("an end")
    });
    assert_eq!(ends_ms, [4_000, 4_500, 5_000]);
}

#[rstest]
fn an_extreme_backoff_is_capped() {
    let mut table = SignalTable::default();
    table.record_backoff(NOW, ENGINE, Duration::MAX, 0.0);
    assert!(table.closed(NOW + seconds(599), ENGINE).is_some());
    let after = NOW + seconds(600);
    assert_eq!(table.closed(after, ENGINE), None);
    let probe = table.begin_call(after, ENGINE);
    assert!(probe.is_some());
    assert_eq!(table.closed(after, ENGINE), Some(ClosedReason::Probing));
}

#[rstest]
fn accepted_probes_allow_more_calls() {
    let mut table = SignalTable::default();
    table.record_backoff(NOW, ENGINE, seconds(1), 0.0);
    let after = NOW + seconds(2);
    let mut concurrent = Vec::new();
    for _ in 0..4 {
        let mut calls = Vec::new();
        while table.closed(after, ENGINE).is_none() && calls.len() < 100 {
            calls.push(table.begin_call(after, ENGINE));
        }
        concurrent.push(calls.len());
        for call in calls.into_iter().flatten() {
            table.finish_probe(call, ProbeOutcome::Accepted);
        }
    }
    assert_eq!(concurrent, [1, 2, 100, 100]);
}

#[rstest]
fn expired_backoffs_are_removed() {
    let mut table = SignalTable::default();
    for engine in 0..5_000 {
        table.record_backoff(NOW, EngineKey(engine), seconds(1), 0.0);
    }
    let later = NOW + seconds(10);
    assert_eq!(table.backing_off_count(NOW), 5_000);
    table.record_backoff(later, ENGINE, seconds(1), 0.0);
    assert!(
        table.begin_call(later, EngineKey(9)).is_none(),
        "its expired backoff was removed"
    );
}

#[rstest]
fn the_number_of_remembered_draining_runs_is_bounded() {
    let mut table = SignalTable::default();
    for engine in 0..20_000_u64 {
        table.record_draining(EngineKey(engine));
    }
    assert!(table.is_draining(EngineKey(19_999)));
    assert!(!table.is_draining(EngineKey(0)));
}

#[rstest]
fn a_restart_discards_earlier_signals() {
    let mut table = SignalTable::default();
    table.record_start(ENGINE, 1_000);
    table.record_backoff(NOW, ENGINE, seconds(5), 0.0);
    table.record_draining(ENGINE);
    table.record_start(ENGINE, 2_000);
    assert_eq!(table.closed(NOW, ENGINE), None);
    assert_eq!(table.started_at_ms(ENGINE), 2_000);
    assert!(table.record_draining(ENGINE), "new for this start");
}
