//! Ages of reports that relays pass to each other.

use std::time::Duration;

use dalestand_routing::staged::{EngineKey, EngineWork, LoadSource, WorkTable};
use dalestand_types::MonotonicTime;
use rstest::rstest;

/// Time between two exchanges of a relay.
const EXCHANGE_MS: u64 = 25;

/// Time a datagram is on its way.
const TRANSIT_MS: u64 = 2;

fn at(milliseconds: u64) -> MonotonicTime {
    MonotonicTime::from_millis(milliseconds)
}

fn of_members(source: LoadSource) -> bool {
    matches!(source, LoadSource::Member(_))
}

/// Relays that exchange their sums for `seconds`; yields the oldest work that any of them holds.
fn oldest_after(seconds: u64, relays: usize, members_age: Option<Duration>) -> Duration {
    let engine = EngineKey::of("engine");
    let mut tables: Vec<WorkTable> = vec![WorkTable::default(); relays];
    for table in &mut tables {
        table.record_sent(engine, 100);
    }
    let mut oldest = Duration::ZERO;
    for exchange_at in (1_000..1_000 + seconds * 1_000).step_by(EXCHANGE_MS as usize) {
        for sender in 0..relays {
            let now = at(exchange_at);
            if let Some(age) = members_age {
                let work = [(engine, EngineWork::default())];
                tables[sender].set_reported(now.saturating_sub(age), LoadSource::Member(1), work);
            }
            let sent = tables[sender].summed(now, of_members);
            let arrived = at(exchange_at + TRANSIT_MS);
            for (receiver, table) in tables.iter_mut().enumerate() {
                if receiver != sender {
                    let reported_at = arrived.saturating_sub(sent.age);
                    let source = LoadSource::Relay(sender as u64);
                    table.set_reported(reported_at, source, sent.engines.clone());
                }
            }
        }
        let now = at(exchange_at + EXCHANGE_MS);
        let ages = tables
            .iter()
            .map(|table| table.mean_report_age(now, |_| true));
        oldest = ages.fold(oldest, Duration::max);
    }
    oldest
}

/// Found in a fleet in which all eight nodes are relays: each stated the mean age of all that it
/// knew, other relays' work included, so that ages grew by an exchange's time with each exchange.
#[rstest]
#[case::two_relays(2)]
#[case::a_small_fleet(8)]
#[case::a_large_fleet(18)]
fn ages_do_not_feed_on_each_other(#[case] relays: usize) {
    let oldest = oldest_after(10, relays, None);
    assert!(oldest <= Duration::from_millis(EXCHANGE_MS), "{oldest:?}");
}

#[rstest]
fn the_age_of_members_reports_is_passed_on() {
    let members_age = Duration::from_millis(40);
    let oldest = oldest_after(2, 4, Some(members_age));
    assert!(oldest >= members_age, "{oldest:?}");
    let bound = members_age + Duration::from_millis(EXCHANGE_MS);
    assert!(oldest <= bound, "{oldest:?}");
}
