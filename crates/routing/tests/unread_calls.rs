//! Calls given up at silent engines, which may arrive when nobody expects them any more.

use std::time::Duration;

use dalestand_routing::UnreadCalls;
use dalestand_routing::staged::EngineKey;
use dalestand_types::{MonotonicTime, PoolName};
use rstest::rstest;

const ENGINE: EngineKey = EngineKey(1);
const OTHER: EngineKey = EngineKey(2);

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::from_millis(ms)
}

/// The engine answered something at `answered_ms`; two calls are sent at 1 s and given up; it answers again at
/// `again_ms`.
#[rstest]
#[case::silent_all_the_time(None, 9_000, 2)]
#[case::silent_since_before(Some(900), 9_000, 2)]
#[case::it_answered_others_meanwhile(Some(1_500), 9_000, 0)]
#[case::silent_for_very_long(None, 62_000, 0)]
fn given_up_calls_are_read_when_a_silent_engine_answers_again(
    #[case] answered_ms: Option<u64>,
    #[case] again_ms: u64,
    #[case] read: usize,
) {
    let pool = PoolName::from("pool");
    let mut calls = UnreadCalls::default();
    if let Some(answered_ms) = answered_ms {
        assert!(calls.record_answer(at(answered_ms), ENGINE).is_empty());
    }
    for _ in 0..2 {
        calls.record_given_up(at(1_500), ENGINE, &pool, at(1_000));
    }
    assert!(calls.record_answer(at(again_ms - 1), OTHER).is_empty());
    assert_eq!(calls.record_answer(at(again_ms), ENGINE).len(), read);
    let later = at(again_ms) + Duration::from_secs(1);
    assert!(
        calls.record_answer(later, ENGINE).is_empty(),
        "each call is read once"
    );
}

/// Guards against calls counting nowhere when an engine whose entry expired while it was suspended reads them. Only a
/// process that has ended reads nothing.
#[test]
fn calls_are_kept_until_their_engine_has_ended() {
    let pool = PoolName::from("pool");
    let mut calls = UnreadCalls::default();
    for _ in 0..100 {
        calls.record_given_up(at(1_500), ENGINE, &pool, at(1_000));
        calls.record_given_up(at(1_700), OTHER, &pool, at(1_000));
    }
    assert_eq!(calls.count(&pool), 200);
    assert_eq!(calls.count_before(at(1_600), &pool), 100);
    let no_engine_has_an_entry = |_| false;
    calls.sweep(at(5_000), no_engine_has_an_entry);
    assert_eq!(calls.count(&pool), 200);
    calls.forget(ENGINE);
    assert_eq!(calls.count(&pool), 100);
    assert!(calls.record_answer(at(6_000), ENGINE).is_empty());
    assert_eq!(calls.record_answer(at(6_000), OTHER).len(), 100);
    assert_eq!(calls.count(&pool), 0);
}

/// What will not arrive any more takes up no memory.
#[test]
fn calls_that_are_taken_as_lost_are_dropped() {
    let pool = PoolName::from("pool");
    let mut calls = UnreadCalls::default();
    calls.record_given_up(at(1_500), ENGINE, &pool, at(1_000));
    calls.sweep(at(62_000), |_| true);
    assert_eq!(calls.count(&pool), 0);
    assert!(calls.record_answer(at(62_001), ENGINE).is_empty());
}
