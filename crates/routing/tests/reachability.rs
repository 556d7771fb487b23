//! Detection of a cut from all engines, over virtual time.

use std::collections::BTreeSet;
use std::time::Duration;

use dalestand_routing::reachability::{DirectLinks, LinkChange, Peer, PeerFailure, PeerRanking};
use dalestand_routing::staged::EngineKey;
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

const ENGINES: usize = 4;

fn at(ms: u64) -> MonotonicTime {
    MonotonicTime::ZERO + Duration::from_millis(ms)
}

fn engine(number: u64) -> EngineKey {
    EngineKey(number)
}

fn cut_off() -> DirectLinks {
    let mut links = DirectLinks::default();
    assert_eq!(
        links.record_failed_open(at(1_000), engine(1), ENGINES),
        None
    );
    let change = links.record_failed_open(at(1_050), engine(2), ENGINES);
    assert_eq!(change, Some(LinkChange::CutOff));
    links
}

/// Guards against requests on kept connections while no engine answers: those that may run only once are lost there.
#[test]
fn kept_connections_are_not_used_while_no_engine_answers() {
    let mut links = DirectLinks::default();
    assert!(links.trusts_kept(at(0)));
    links.record_call(at(100));
    assert!(links.trusts_kept(at(400)));
    assert!(!links.trusts_kept(at(401)));
    links.record_bytes(at(500), Duration::from_secs(9));
    assert!(links.trusts_kept(at(800)));
    links.record_call_end();
    assert!(links.trusts_kept(at(5_000)), "no call waits");
}

#[test]
fn kept_connections_are_not_used_after_two_engines_broke_theirs() {
    let mut links = DirectLinks::default();
    links.record_broken_kept(engine(1));
    links.record_broken_kept(engine(1));
    assert!(links.trusts_kept(at(10)));
    links.record_broken_kept(engine(2));
    assert!(!links.trusts_kept(at(10)));
    links.record_bytes(at(20), Duration::ZERO);
    assert!(links.trusts_kept(at(20)));
}

/// Guards against taking a fault of one engine for one of this node's links.
#[test]
fn one_engine_is_no_evidence_of_a_cut_unless_it_is_the_only_one() {
    let mut links = DirectLinks::default();
    for ms in [10, 20, 30] {
        assert_eq!(links.record_failed_open(at(ms), engine(1), ENGINES), None);
    }
    let alone = links.record_failed_open(at(40), engine(1), 1);
    assert_eq!(alone, Some(LinkChange::CutOff));
}

/// Guards against flapping on links that lose packets: other connections that are opened meanwhile carry bytes.
#[test]
fn bytes_on_a_new_connection_refute_a_cut_and_on_an_old_one_do_not() {
    let mut links = DirectLinks::default();
    links.record_failed_open(at(1_000), engine(1), ENGINES);
    links.record_bytes(at(1_100), Duration::from_millis(50));
    assert_eq!(
        links.record_failed_open(at(1_200), engine(2), ENGINES),
        None
    );
    links.record_bytes(at(1_300), Duration::from_secs(5));
    let change = links.record_failed_open(at(1_400), engine(3), ENGINES);
    assert_eq!(change, Some(LinkChange::CutOff));
}

#[test]
fn evidence_is_dropped_after_a_time() {
    let mut links = DirectLinks::default();
    links.record_failed_open(at(0), engine(1), ENGINES);
    assert_eq!(
        links.record_failed_open(at(2_000), engine(2), ENGINES),
        None
    );
}

#[test]
fn a_cut_ends_when_trials_reach_two_engines() {
    let mut links = cut_off();
    assert_eq!(
        links.record_trial(at(2_000), engine(1), true, ENGINES),
        None
    );
    assert_eq!(
        links.record_trial(at(2_250), engine(2), false, ENGINES),
        None
    );
    assert_eq!(
        links.record_trial(at(2_500), engine(2), true, ENGINES),
        None
    );
    assert!(links.is_cut_off() && !links.trusts_kept(at(2_500)));
    let restored = links.record_trial(at(2_750), engine(3), true, ENGINES);
    let after = Duration::from_millis(1_700);
    assert_eq!(restored, Some(LinkChange::Restored { after }));
    assert!(!links.is_cut_off() && links.trusts_kept(at(2_750)));
}

proptest! {
    /// A cut is reported when it begins and when it ends, in turns, and never by a single engine's evidence.
    #[test]
    fn changes_come_in_turns_and_from_two_engines(
        steps in prop::collection::vec((0..4_u8, 0..4_u64, 1..900_u64), 1..200),
    ) {
        let mut links = DirectLinks::default();
        let mut now_ms = 0;
        let mut failed_since_bytes = BTreeSet::new();
        for (kind, number, pause_ms) in steps {
            now_ms += pause_ms;
            let (now, engine) = (at(now_ms), engine(number));
            let was_cut_off = links.is_cut_off();
            let change = match kind {
                0 => {
                    failed_since_bytes.insert(number);
                    links.record_failed_open(now, engine, ENGINES)
                }
                1 => links.record_trial(now, engine, true, ENGINES),
                2 => links.record_trial(now, engine, false, ENGINES),
                _ => {
                    links.record_bytes(now, Duration::ZERO);
                    failed_since_bytes.clear();
                    None
                }
            };
            match change {
                Some(LinkChange::CutOff) => {
                    prop_assert!(!was_cut_off && links.is_cut_off());
                    prop_assert!(failed_since_bytes.len() >= 2);
                }
                Some(LinkChange::Restored { .. }) => {
                    prop_assert!(was_cut_off && !links.is_cut_off());
                    failed_since_bytes.clear();
                }
                None => prop_assert_eq!(was_cut_off, links.is_cut_off()),
            }
        }
    }
}

fn peer(number: u8, is_own_zone: bool) -> Peer {
    Peer {
        address: ([10, 0, 0, number], 7_000).into(),
        is_own_zone,
    }
}

#[test]
fn nodes_that_succeeded_and_those_of_the_own_zone_are_asked_first() {
    let peers = vec![peer(1, false), peer(2, true), peer(3, true), peer(4, false)];
    let mut ranking = PeerRanking::default();
    let now = at(10_000);
    ranking.record_failure(now, peer(2, true).address, PeerFailure::Unreachable);
    ranking.record_success(now, peer(4, false).address);
    let mut first = BTreeSet::new();
    for seed in 0..64 {
        let mut random = StdRng::seed_from_u64(seed);
        let order = ranking.order(now, peers.clone(), 4, &mut random);
        assert_eq!(order[3], peer(2, true).address, "avoided for now");
        first.insert(order[0]);
    }
    let expected = [peer(3, true).address, peer(4, false).address];
    assert_eq!(first, BTreeSet::from(expected));
}
