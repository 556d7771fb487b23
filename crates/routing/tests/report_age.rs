//! Ages of work reports that relays exchange.

use std::time::Duration;

use dalestand_routing::staged::{EngineKey, EngineWork, LoadSource, WorkTable};
use dalestand_types::MonotonicTime;
use rstest::rstest;

/// Interval of a relay's exchanges.
const EXCHANGE_INTERVAL_MS: u64 = 25;

/// Transit time of a datagram.
const TRANSIT_MS: u64 = 2;

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn is_member(source: LoadSource) -> bool {
    matches!(source, LoadSource::Member(_))
}

/// Simulates relays that exchange their sums for `seconds`. Returns the highest mean report age of any of them.
fn max_report_age(seconds: u64, relays: usize, member_age: Option<Duration>) -> Duration {
    let engine = EngineKey::of("engine");
    let mut tables: Vec<WorkTable> = vec![WorkTable::default(); relays];
    for table in &mut tables {
        table.record_sent(engine, 100);
    }
    let mut max_age = Duration::ZERO;
    for exchange_at in (1_000..1_000 + seconds * 1_000).step_by(EXCHANGE_INTERVAL_MS as usize) {
        for sender in 0..relays {
            let now = at(exchange_at);
            if let Some(age) = member_age {
                let work = [(engine, EngineWork::default())];
                tables[sender].set_reported(now.saturating_sub(age), LoadSource::Member(1), work);
            }
            let sent = tables[sender].summed(now, is_member);
            let arrived = at(exchange_at + TRANSIT_MS);
            for (receiver, table) in tables.iter_mut().enumerate() {
                if receiver != sender {
                    let reported_at = arrived.saturating_sub(sent.age);
                    let source = LoadSource::Relay(sender as u64);
                    table.set_reported(reported_at, source, sent.engines.clone());
                }
            }
        }
        let now = at(exchange_at + EXCHANGE_INTERVAL_MS);
        let ages = tables
            .iter()
            .map(|table| table.mean_report_age(now, |_| true));
        max_age = ages.fold(max_age, Duration::max);
    }
    max_age
}

/// Guards against relays that include the ages of each other's reports, so that ages grow with each exchange.
#[rstest]
#[case::two_relays(2)]
#[case::a_small_fleet(8)]
#[case::a_large_fleet(18)]
fn exchanged_ages_do_not_accumulate(#[case] relays: usize) {
    let max_age = max_report_age(10, relays, None);
    assert!(
        max_age <= Duration::from_millis(EXCHANGE_INTERVAL_MS),
        "{max_age:?}"
    );
}

#[rstest]
fn the_age_of_member_reports_is_forwarded() {
    let member_age = Duration::from_millis(40);
    let max_age = max_report_age(2, 4, Some(member_age));
    assert!(max_age >= member_age, "{max_age:?}");
    let bound = member_age + Duration::from_millis(EXCHANGE_INTERVAL_MS);
    assert!(max_age <= bound, "{max_age:?}");
}
