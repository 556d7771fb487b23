//! What engines say of themselves, in any order and by bad values.

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

/// What may happen between a node and one engine.
#[derive(Clone, Debug)]
enum Step {
    /// Time passes.
    Wait(u64),
    /// A refusal asks for so many milliseconds.
    AsksFor(u64),
    /// The node calls, if it may.
    Calls,
    /// The oldest call comes out so.
    ComesOut(bool),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (1_u64..2_000).prop_map(Step::Wait),
        1 => (1_u64..5_000).prop_map(Step::AsksFor),
        4 => Just(Step::Calls),
        4 => any::<bool>().prop_map(Step::ComesOut),
    ]
}

proptest! {
    /// No call within any backoff, whatever came before, and one at a time just after it.
    #[test]
    fn no_call_goes_out_within_a_backoff(
        steps in proptest::collection::vec(step(), 1..80),
        place in 0.0..1.0_f64,
    ) {
        let mut ledger = SignalTable::default();
        let mut now = NOW;
        let mut bound_until = MonotonicTime::ZERO;
        let mut calls: Vec<Option<ProbeCall>> = Vec::new();
        for step in steps {
            match step {
                Step::Wait(ms) => now = now + Duration::from_millis(ms),
                Step::AsksFor(ms) => {
                    let asked = Duration::from_millis(ms);
                    ledger.record_backoff(now, ENGINE, asked, place);
                    bound_until = bound_until.max(now + asked);
                    calls.clear();
                }
                Step::Calls if ledger.closed(now, ENGINE).is_none() => {
                    prop_assert!(now >= bound_until);
                    calls.push(ledger.begin_call(now, ENGINE));
                    let returning = calls.iter().flatten().count();
                    prop_assert!(returning < 8, "{returning} calls at once");
                }
                Step::ComesOut(taken_up) if !calls.is_empty() => {
                    let end = if taken_up { ProbeOutcome::Accepted } else { ProbeOutcome::NotAccepted };
                    if let Some(call) = calls.remove(0) {
                        ledger.finish_probe(call, end);
                    }
                }
                Step::Calls | Step::ComesOut(_) => {}
            }
        }
    }

    /// That a run drains is final, whatever comes after.
    #[test]
    fn a_run_that_drains_stays_closed(
        steps in proptest::collection::vec(step(), 0..40),
    ) {
        let mut ledger = SignalTable::default();
        prop_assert!(ledger.record_draining(ENGINE));
        let mut now = NOW;
        for step in steps {
            match step {
                Step::Wait(ms) => now = now + Duration::from_millis(ms),
                Step::AsksFor(ms) => {
                    ledger.record_backoff(now, ENGINE, Duration::from_millis(ms), 0.5);
                }
                Step::Calls | Step::ComesOut(_) => {}
            }
            prop_assert_eq!(ledger.closed(now, ENGINE), Some(ClosedReason::Draining));
            prop_assert!(!ledger.record_draining(ENGINE), "it is no news");
        }
    }
}

#[rstest]
#[case::a_longer_one(2, 5, 5)]
#[case::a_shorter_one(5, 2, 5)]
fn each_backoff_binds_for_as_long_as_it_asks(
    #[case] first_s: u64,
    #[case] second_s: u64,
    #[case] bound_s: u64,
) {
    let mut ledger = SignalTable::default();
    assert!(ledger.record_backoff(NOW, ENGINE, seconds(first_s), 0.0));
    assert!(!ledger.record_backoff(NOW, ENGINE, seconds(second_s), 0.0));
    let until = NOW + seconds(bound_s);
    assert_eq!(
        ledger.closed(NOW, ENGINE),
        Some(ClosedReason::Backoff(until))
    );
    assert_eq!(ledger.closed(until, ENGINE), None);
}

#[rstest]
fn nodes_return_at_moments_of_their_own() {
    let returns = [0.0, 0.5, 1.0].map(|place| {
        let mut ledger = SignalTable::default();
        ledger.record_backoff(NOW, ENGINE, seconds(4), place);
        let after = (0..).find(|ms| {
            let now = NOW + Duration::from_millis(*ms);
            ledger.closed(now, ENGINE).is_none()
        });
        after.expect("an end")
    });
    assert_eq!(returns, [4_000, 4_500, 5_000]);
}

#[rstest]
fn a_backoff_of_days_is_asked_about_again() {
    let mut ledger = SignalTable::default();
    ledger.record_backoff(NOW, ENGINE, Duration::MAX, 0.0);
    assert!(ledger.closed(NOW + seconds(599), ENGINE).is_some());
    let after = NOW + seconds(600);
    assert_eq!(ledger.closed(after, ENGINE), None);
    let asking = ledger.begin_call(after, ENGINE);
    assert!(asking.is_some());
    assert_eq!(ledger.closed(after, ENGINE), Some(ClosedReason::Probing));
}

#[rstest]
fn an_engine_that_takes_calls_up_again_gets_more_of_them() {
    let mut ledger = SignalTable::default();
    ledger.record_backoff(NOW, ENGINE, seconds(1), 0.0);
    let after = NOW + seconds(2);
    let mut at_once = Vec::new();
    for _ in 0..4 {
        let mut calls = Vec::new();
        while ledger.closed(after, ENGINE).is_none() && calls.len() < 100 {
            calls.push(ledger.begin_call(after, ENGINE));
        }
        at_once.push(calls.len());
        for call in calls.into_iter().flatten() {
            ledger.finish_probe(call, ProbeOutcome::Accepted);
        }
    }
    assert_eq!(at_once, [1, 2, 100, 100]);
}

#[rstest]
fn backoffs_that_are_over_are_not_kept_for_ever() {
    let mut ledger = SignalTable::default();
    for engine in 0..5_000 {
        ledger.record_backoff(NOW, EngineKey(engine), seconds(1), 0.0);
    }
    let later = NOW + seconds(10);
    assert_eq!(ledger.backing_off_count(NOW), 5_000);
    ledger.record_backoff(later, ENGINE, seconds(1), 0.0);
    assert!(
        ledger.begin_call(later, EngineKey(9)).is_none(),
        "any other engine"
    );
}

#[rstest]
fn runs_that_drain_are_remembered_within_a_bound() {
    let mut ledger = SignalTable::default();
    for engine in 0..20_000_u64 {
        ledger.record_draining(EngineKey(engine));
    }
    assert!(ledger.is_draining(EngineKey(19_999)));
    assert!(!ledger.is_draining(EngineKey(0)));
}

#[rstest]
fn nothing_of_a_former_start_holds() {
    let mut ledger = SignalTable::default();
    ledger.record_start(ENGINE, 1_000);
    ledger.record_backoff(NOW, ENGINE, seconds(5), 0.0);
    ledger.record_draining(ENGINE);
    ledger.record_start(ENGINE, 2_000);
    assert_eq!(ledger.closed(NOW, ENGINE), None);
    assert_eq!(ledger.started_at_ms(ENGINE), 2_000);
    assert!(ledger.record_draining(ENGINE), "it is news of this start");
}

#[rstest]
#[case::in_the_same_era(3, 3, false)]
#[case::in_a_later_one_that_began_with_a_copy(3, 4, true)]
fn an_entry_takes_back_what_an_entry_said(
    #[case] said_in: u64,
    #[case] taken_back_in: u64,
    #[case] drains: bool,
) {
    let mut ledger = SignalTable::default();
    ledger.record_entry(ENGINE, false, said_in);
    assert!(ledger.is_draining(ENGINE));
    ledger.record_entry(ENGINE, true, taken_back_in);
    assert_eq!(ledger.is_draining(ENGINE), drains);
}

#[rstest]
fn no_entry_takes_back_what_an_answer_said() {
    let mut ledger = SignalTable::default();
    ledger.record_draining(ENGINE);
    ledger.record_entry(ENGINE, false, 1);
    ledger.record_entry(ENGINE, true, 1);
    assert!(ledger.is_draining(ENGINE));
}
