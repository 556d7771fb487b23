//! Nodes with the same stale load reports spread their choices.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_routing::staged::{
    EngineKey, EnginePool, EngineWork, LoadSource, ReportSlice, Stage, StagedEngine, StagedRequest,
    StagedRouter, UnreportedSends, WorkTable,
};
use dalestand_types::{MonotonicTime, ZoneName};
use proptest::prelude::*;
use rstest::rstest;

const NODES: usize = 300;
const ENGINES: usize = 60;

/// Requests per second of all nodes together.
const REQUESTS_PER_S: usize = 900;

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn zone() -> ZoneName {
    ZoneName::from("here")
}

fn engines() -> EnginePool {
    let engine = |number| {
        let run = format!("decode-{number}");
        StagedEngine {
            key: EngineKey::of(&run),
            run: run.into(),
            zone: zone(),
            stage: Stage::Decode,
            slots: 12,
            kv_cache_tokens: 400_000,
        }
    };
    (0..ENGINES).map(engine).collect()
}

/// A router that has sent its share of the requests for three seconds and has a report of age `report_age`.
fn router(node: usize, report_age: Duration, now: MonotonicTime) -> StagedRouter {
    let mut router = StagedRouter::seeded(node as u64);
    router.unreported.set_node_count(NODES);
    let sends = 3 * REQUESTS_PER_S / NODES;
    for send in 0..sends {
        let sent_at = at((3_000 * send / sends) as u64);
        router.unreported.record_sent(sent_at, Stage::Decode, 100);
    }
    let reported_at = now.saturating_sub(report_age);
    let nothing: [(EngineKey, EngineWork); 0] = [];
    router
        .work
        .set_reported(reported_at, LoadSource::Fleet, nothing);
    router
}

/// Ratio of the requests at the busiest engine to the mean, when all nodes send the requests of one report
/// interval.
fn busiest_to_mean(report_age: Duration) -> f64 {
    let now = at(3_000);
    let engines = engines();
    let request = StagedRequest {
        prompt_tokens: 100,
        ..StagedRequest::default()
    };
    let sends = REQUESTS_PER_S * report_age.as_millis() as usize / 1_000;
    let mut sent: HashMap<EngineKey, usize> = HashMap::new();
    for node in 0..sends {
        let router = router(node % NODES, report_age, now);
        let choice = router.choose_colocated(now, &zone(), &engines, &request);
        *sent
            .entry(choice.expect("a choice").engine.key)
            .or_default() += 1;
    }
    let busiest = sent.values().max().copied().unwrap_or_default();
    busiest as f64 / (sends as f64 / ENGINES as f64)
}

/// Guards against all nodes choosing the engine that was least busy in the last report. With 1.5 and 4.5 requests
/// per engine, random choice alone gives the busiest several times the mean.
#[rstest]
#[case::fresh(Duration::from_millis(100), 6.0)]
#[case::old(Duration::from_millis(300), 3.5)]
fn choices_from_the_same_report_spread(#[case] report_age: Duration, #[case] bound: f64) {
    let ratio = busiest_to_mean(report_age);
    assert!(ratio <= bound, "busiest to mean {ratio}");
}

#[rstest]
fn single_nodes_and_fresh_reports_draw_nothing() {
    let mut sends = UnreportedSends::seeded(1);
    let age = Duration::from_millis(200);
    sends.record_sent(at(0), Stage::Decode, 100);
    let alone = sends.expected(at(1), Stage::Decode, 10, age);
    assert_eq!(alone.mean, 0.0);
    sends.set_node_count(50);
    let fresh = sends.expected(at(1), Stage::Decode, 10, Duration::ZERO);
    assert_eq!(fresh.mean, 0.0);
    assert!(sends.expected(at(1), Stage::Decode, 10, age).mean > 0.0);
    let known = EngineWork {
        requests: 3,
        starting: 1,
        unprefilled_tokens: 70,
    };
    assert_eq!(fresh.draw(known, 0.9), known);
}

#[rstest]
#[case(0.3)]
#[case(2.0)]
#[case(9.0)]
fn draws_have_the_expected_mean(#[case] mean: f64) {
    const DRAWS: u32 = 4_000;
    let sends = UnreportedSends::seeded(7);
    let expected = dalestand_routing::staged::ExpectedSends {
        mean,
        tokens_each: 10.0,
    };
    let key = EngineKey(1);
    let drawn = (0..DRAWS).map(|_| {
        let quantile = sends.quantile(key, None);
        expected.draw(EngineWork::default(), quantile).requests
    });
    let measured = f64::from(drawn.sum::<u32>()) / f64::from(DRAWS);
    assert!(
        (measured - mean).abs() < 0.15 * mean.max(1.0),
        "{measured} instead of {mean}"
    );
}

/// Prompts with the same affinity part have the same quantiles on all nodes; others do not.
#[rstest]
fn prompts_with_the_same_affinity_part_draw_the_same() {
    let (first, second) = (UnreportedSends::seeded(1), UnreportedSends::seeded(2));
    let key = EngineKey::of("prefill-1");
    assert_eq!(first.quantile(key, Some(7)), second.quantile(key, Some(7)));
    assert_ne!(first.quantile(key, Some(7)), first.quantile(key, Some(8)));
    assert_ne!(first.quantile(key, None), second.quantile(key, None));
}

fn work(requests: u32) -> EngineWork {
    EngineWork {
        requests,
        starting: requests / 2,
        unprefilled_tokens: u64::from(requests) * 100,
    }
}

proptest! {
    /// The total at an engine is the sum of the last reports of all sources.
    #[test]
    fn totals_are_sums_of_the_last_reports(
        reports in proptest::collection::vec((0_u64..5, 0_u64..4, 0_u32..9), 1..60),
    ) {
        let mut table = WorkTable::default();
        let mut last: HashMap<u64, HashMap<EngineKey, EngineWork>> = HashMap::new();
        for (source, engine, requests) in &reports {
            let engines = HashMap::from([(EngineKey(*engine), work(*requests))]);
            table.set_reported(at(0), LoadSource::Member(*source), engines.clone());
            last.insert(*source, engines);
        }
        for engine in 0..4 {
            let key = EngineKey(engine);
            let requests = last.values().filter_map(|engines| engines.get(&key));
            let sum: u32 = requests.map(|work| work.requests).sum();
            prop_assert_eq!(table.total(key).requests, sum);
            let summed = table.summed(at(0), |_| true).engines;
            prop_assert_eq!(summed.get(&key).map_or(0, |work| work.requests), sum);
        }
        table.remove_expired(at(9_000));
        prop_assert_eq!(table.total(EngineKey(1)), EngineWork::default());
    }
}

/// A report replaces only its own slice; a report with another number of slices replaces all.
#[rstest]
fn slices_of_a_source_add_up() {
    let fleet = LoadSource::Fleet;
    let mut table = WorkTable::default();
    let halves = |slice| ReportSlice { slice, slices: 2 };
    let (low, high) = (EngineKey(1), EngineKey(2));
    table.set_reported_slice(at(0), fleet, halves(0), [(low, work(2))]);
    table.set_reported_slice(at(0), fleet, halves(1), [(high, work(4))]);
    assert_eq!(table.total(low).requests, 2);
    assert_eq!(table.total(high).requests, 4);
    table.set_reported_slice(at(10), fleet, halves(1), [(high, work(6))]);
    assert_eq!(table.total(low).requests, 2);
    assert_eq!(table.total(high).requests, 6);
    table.set_reported(at(20), fleet, [(low, work(1))]);
    assert_eq!(table.total(low).requests, 1);
    assert_eq!(table.total(high), EngineWork::default());
}
