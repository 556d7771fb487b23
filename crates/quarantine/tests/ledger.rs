//! Which requests the crash evidence stops, and for how long.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use dalestand_quarantine::{
    ApplyOutcome, CrashLedger, CrashRecord, EngineRunId, FingerprintKey, PartFingerprint,
    RequestFingerprint, RequestIdentity, STOP_AFTER_CRASHES, StoppedRequestEntry, TRIAL_INTERVAL,
    UnfinishedRuns,
};
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rstest::rstest;

const START: MonotonicTime = MonotonicTime::from_millis(10_000_000);

fn key() -> FingerprintKey {
    FingerprintKey::parse(&"5a".repeat(32)).expect("a key")
}

fn request(number: u64) -> RequestFingerprint {
    key().fingerprint(&RequestIdentity {
        method: "POST",
        host: "a.example",
        path: &format!("/r/{number}"),
        tenant: None,
        body: &[],
    })
}

fn crash(fingerprint: RequestFingerprint, engine: u64) -> CrashRecord {
    CrashRecord {
        fingerprint,
        engine: EngineRunId(engine),
        age_ms: 0,
        is_cleared: false,
    }
}

fn stopped(ledger: &CrashLedger) -> HashSet<RequestFingerprint> {
    let stopped = ledger.stopped(START).into_iter();
    stopped.map(|(fingerprint, _)| fingerprint).collect()
}

#[rstest]
fn a_request_is_stopped_by_its_third_crash_and_a_crash_counts_once() {
    let mut ledger = CrashLedger::default();
    for engine in [1, 2, 2, 1] {
        ledger.apply(START, &crash(request(1), engine));
    }
    assert_eq!(ledger.time_to_trial(START, request(1)), None);
    assert_eq!(
        ledger.apply(START, &crash(request(1), 3)),
        ApplyOutcome::New
    );
    assert!(ledger.is_stopped(START, request(1)));
    assert!(!ledger.is_stopped(START, request(2)));
}

#[rstest]
fn a_stopped_request_is_tried_seldom_and_forgotten_after_an_hour() {
    let mut ledger = CrashLedger::default();
    for engine in 1..=3 {
        ledger.apply(START, &crash(request(1), engine));
    }
    assert_eq!(
        ledger.time_to_trial(START, request(1)),
        Some(TRIAL_INTERVAL)
    );
    let later = START + TRIAL_INTERVAL;
    assert_eq!(
        ledger.time_to_trial(later, request(1)),
        Some(Duration::ZERO)
    );
    ledger.apply(later, &crash(request(1), 4));
    assert_eq!(
        ledger.time_to_trial(later, request(1)),
        Some(TRIAL_INTERVAL)
    );
    let an_hour_later = later + Duration::from_secs(3_600);
    assert!(!ledger.is_stopped(an_hour_later, request(1)));
}

#[rstest]
fn a_request_that_completes_is_cleared_for_good() {
    let (mut here, mut there) = (CrashLedger::default(), CrashLedger::default());
    for engine in 1..=3 {
        here.apply(START, &crash(request(1), engine));
        there.apply(START, &crash(request(1), engine));
    }
    for record in here.record_completion(START, request(1)) {
        there.apply(START, &record);
    }
    // A delayed datagram delivers the same crashes again.
    for engine in 1..=3 {
        there.apply(START, &crash(request(1), engine));
    }
    assert_eq!(stopped(&here).len() + stopped(&there).len(), 0);
}

/// Protects requests that are sent often, which are present at many engines when a fleet crashes.
#[rstest]
fn a_request_that_completed_lately_is_not_suspected() {
    let mut ledger = CrashLedger::default();
    ledger.record_completion(START, request(1));
    let after = START + Duration::from_secs(59);
    for engine in 1..=9 {
        assert_eq!(
            ledger.apply(after, &crash(request(1), engine)),
            ApplyOutcome::Cleared
        );
    }
    assert!(!ledger.is_stopped(after, request(1)));
    let longer_after = START + Duration::from_secs(61);
    for engine in 11..=13 {
        ledger.apply(longer_after, &crash(request(1), engine));
    }
    assert!(ledger.is_stopped(longer_after, request(1)));
}

/// A frequent request was present at every crash that two culprits caused. All three are tried
/// early, with a tenfold delay after each further crash.
#[rstest]
fn a_possible_bystander_is_tried_early() {
    let mut ledger = CrashLedger::default();
    for engine in 1..=6 {
        ledger.apply(START, &crash(request(1 + engine % 2), engine));
        ledger.apply(START, &crash(request(9), engine));
    }
    let seconds = |number| Some(Duration::from_secs(number));
    assert_eq!(ledger.time_to_trial(START, request(1)), seconds(2));
    ledger.apply(START, &crash(request(1), 7));
    ledger.apply(START, &crash(request(9), 7));
    assert_eq!(ledger.time_to_trial(START, request(1)), seconds(20));
    let soon = START + Duration::from_secs(20);
    ledger.record_completion(soon, request(9));
    assert!(!ledger.is_stopped(soon, request(9)));
    // No other request explains these crashes any more.
    assert_eq!(
        ledger.time_to_trial(START, request(1)),
        Some(TRIAL_INTERVAL)
    );
}

/// Bystanders that are sent once have one crash each and do not make the culprit doubtful.
#[rstest]
fn bystanders_that_come_once_do_not_explain_a_crash() {
    let mut ledger = CrashLedger::default();
    for engine in 1..=3 {
        ledger.apply(START, &crash(request(1), engine));
        ledger.apply(START, &crash(request(100 + engine), engine));
    }
    assert_eq!(
        ledger.time_to_trial(START, request(1)),
        Some(TRIAL_INTERVAL)
    );
}

#[rstest]
fn many_requests_with_one_crash_do_not_evict_a_stopped_one() {
    let mut ledger = CrashLedger::default();
    for engine in 1..=3 {
        ledger.apply(START, &crash(request(0), engine));
    }
    for number in 1..10_000 {
        ledger.apply(START, &crash(request(number), number + 10));
    }
    assert!(ledger.is_stopped(START, request(0)));
    assert!(ledger.len() <= 2_048, "{}", ledger.len());
}

#[rstest]
#[case::method("GET", "a.example", "/r/1", None, b"body")]
#[case::host("POST", "b.example", "/r/1", None, b"body")]
#[case::path("POST", "a.example", "/r/2", None, b"body")]
#[case::caller("POST", "a.example", "/r/1", Some("curators"), b"body")]
#[case::body("POST", "a.example", "/r/1", None, b"bodY")]
#[case::field_run_into_the_next("POST", "a.example/", "r/1", None, b"body")]
fn different_requests_have_different_fingerprints(
    #[case] method: &str,
    #[case] host: &str,
    #[case] path: &str,
    #[case] caller: Option<&str>,
    #[case] body: &[u8],
) {
    let of = |method, host, path, tenant, body: &[u8]| {
        let (first, second) = body.split_at(body.len() / 2);
        let segments = [first, second].map(Bytes::copy_from_slice);
        key().fingerprint(&RequestIdentity {
            method,
            host,
            path,
            tenant,
            body: &segments,
        })
    };
    let known = of("POST", "a.example", "/r/1", None, b"body");
    assert_eq!(known, of("POST", "a.example", "/r/1", None, b"body"));
    assert_ne!(known, of(method, host, path, caller, body));
    assert_eq!(RequestFingerprint::parse(&known.to_string()), Ok(known));
}

#[rstest]
fn fingerprints_depend_on_the_key() {
    let identity = RequestIdentity {
        method: "POST",
        host: "a.example",
        path: "/r/1",
        tenant: None,
        body: &[Bytes::from_static(b"guessed")],
    };
    let other = FingerprintKey::generate();
    assert_ne!(key().fingerprint(&identity), other.fingerprint(&identity));
    assert_eq!(FingerprintKey::parse(&other.to_text()), Ok(other));
    assert!(FingerprintKey::parse("5a").is_err());
}

#[rstest]
fn a_stored_entry_stops_the_request_at_a_restarted_node() {
    let now = Duration::from_secs(1_000_000);
    let mut ledger = CrashLedger::default();
    for engine in 1..=3 {
        ledger.apply(START, &crash(request(1), engine));
    }
    let stopped = ledger.stopped(START);
    let mut stored = StoppedRequestEntry::from_records(&stopped[0].1, now);
    let mut restarted = CrashLedger::default();
    let later = now + Duration::from_secs(10);
    for record in stored.records(request(1), later) {
        restarted.apply(START, &record);
    }
    let left = restarted.time_to_trial(START, request(1));
    assert_eq!(left, Some(TRIAL_INTERVAL - Duration::from_secs(10)));
    stored.is_released = true;
    for record in stored.records(request(1), later) {
        restarted.apply(START, &record);
    }
    assert!(!restarted.is_stopped(START, request(1)));
}

const WINDOW: Duration = Duration::from_secs(5);

#[rstest]
fn a_run_is_matched_with_its_engine_end_in_either_order() {
    let mut runs = UnfinishedRuns::new(WINDOW);
    assert!(!runs.record_unfinished(START, EngineRunId(1), request(1)));
    assert!(!runs.record_unfinished(START, EngineRunId(1), request(1)));
    assert!(!runs.record_unfinished(START, EngineRunId(2), request(2)));
    assert_eq!(runs.record_engine_end(START, EngineRunId(1)), [request(1)]);
    assert!(runs.record_unfinished(START, EngineRunId(1), request(3)));
    // The engine end is reported only once.
    assert!(runs.record_engine_end(START, EngineRunId(1)).is_empty());
}

#[rstest]
fn a_run_that_ended_long_before_its_engine_is_not_matched() {
    let mut runs = UnfinishedRuns::new(WINDOW);
    runs.record_unfinished(START, EngineRunId(1), request(1));
    let later = START + WINDOW + Duration::from_millis(1);
    assert!(runs.record_engine_end(later, EngineRunId(1)).is_empty());
}

fn records() -> impl Strategy<Value = Vec<CrashRecord>> {
    let record = (0_u64..4, 0_u64..6, any::<bool>(), 0_u32..20);
    let record = record.prop_map(|(number, engine, is_cleared, seldom)| CrashRecord {
        is_cleared: is_cleared && seldom == 0,
        ..crash(request(number), engine)
    });
    proptest::collection::vec(record, 0..60)
}

proptest! {
    /// Nodes agree although datagrams are lost, duplicated and reordered.
    #[test]
    fn nodes_with_the_same_records_stop_the_same_requests(
        (first, second) in records().prop_flat_map(|records| {
            let doubled = records.iter().chain(&records).copied().collect::<Vec<_>>();
            (Just(records), Just(doubled).prop_shuffle())
        }),
    ) {
        let (mut here, mut there) = (CrashLedger::default(), CrashLedger::default());
        for record in &first {
            here.apply(START, record);
        }
        for record in &second {
            there.apply(START, record);
        }
        prop_assert_eq!(stopped(&here), stopped(&there));
    }

    /// A request that crashes every engine is stopped after [`STOP_AFTER_CRASHES`] runs, whichever
    /// requests run beside it.
    #[test]
    fn a_request_that_crashes_engines_is_stopped_after_three_runs(
        beside in proptest::collection::vec(proptest::collection::vec(1_u64..30, 0..6), 12),
    ) {
        let mut ledger = CrashLedger::default();
        let mut runs = 0;
        for (engine, bystanders) in (0_u64..).zip(beside) {
            if ledger.is_stopped(START, request(0)) {
                continue;
            }
            runs += 1;
            for number in bystanders.into_iter().chain([0]) {
                ledger.apply(START, &crash(request(number), engine));
            }
        }
        prop_assert_eq!(runs, STOP_AFTER_CRASHES);
    }
}

/// Bounds how often innocent requests are stopped when many engines crash: three waves of eight
/// crashes, each with 12 requests sent once and four sent again and again. A broken request is
/// retried up to three times, and each retry meets another crash with probability 1/5.
#[rstest]
fn innocent_requests_are_hardly_ever_stopped_by_mass_crashes() {
    let mut random = StdRng::seed_from_u64(7);
    let (mut seen, mut stopped_once, mut stopped_often) = (0_u64, 0_u64, 0_u64);
    for _ in 0..100 {
        let mut ledger = CrashLedger::default();
        let often = (0..4).map(request);
        let often: Vec<RequestFingerprint> = often.collect();
        for wave in 0..3_u64 {
            let at = START + Duration::from_secs(20 * wave);
            for fingerprint in &often {
                ledger.record_completion(at, *fingerprint);
            }
            for crashed in 0..8_u64 {
                let engine = wave * 100 + crashed;
                for _ in 0..12 {
                    seen += 1;
                    let once = request(1_000 + seen);
                    ledger.apply(at, &crash(once, engine));
                    let mut others = engine + 1..engine + 4;
                    let completes = others.find(|other| {
                        let meets_a_crash = random.random_range(0..5) == 0;
                        if meets_a_crash {
                            ledger.apply(at, &crash(once, *other));
                        }
                        !meets_a_crash
                    });
                    if completes.is_some() {
                        ledger.record_completion(at, once);
                    } else {
                        stopped_once += u64::from(ledger.is_stopped(at, once));
                    }
                }
                for fingerprint in &often {
                    ledger.apply(at, &crash(*fingerprint, engine));
                }
            }
            let is_stopped = |one: &&RequestFingerprint| ledger.is_stopped(at, **one);
            stopped_often += often.iter().filter(is_stopped).count() as u64;
        }
    }
    assert_eq!(stopped_often, 0);
    assert!(stopped_once * 100 < seen, "{stopped_once} of {seen}");
}

/// Guards against suspecting a part that belongs to a request alone, and against a request with very many parts.
#[rstest]
#[case::no_parts(vec![], 0)]
#[case::own_part_only(vec![1], 0)]
#[case::shared_and_own(vec![1, 2, 3], 2)]
#[case::listed_twice(vec![1, 2, 1, 3], 2)]
#[case::very_many((0..500).collect(), 64)]
fn the_shared_parts_of_a_prompt_are_all_but_the_last(
    #[case] ids: Vec<u64>,
    #[case] expected: usize,
) {
    let parts = key().shared_parts(ids.iter().copied());
    assert_eq!(parts.len(), expected);
    let known = parts
        .iter()
        .map(|part| PartFingerprint::parse(&part.to_string()));
    assert!(known.eq(parts.iter().copied().map(Ok)));
    assert!(!parts.contains(&FingerprintKey::generate().part(1)));
}
