//! Members receive exactly the entries that differ from their relay's.

use std::ops::Range;
use std::time::Duration;

use dalestand_dissemination::{
    DifferingDigests, EntriesPage, EntryRecord, EntrySync, EntryTable, NodeNumber, RequestTarget,
    entries_pages, entries_request,
};
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rstest::rstest;

const RELAY: NodeNumber = NodeNumber(1);
const MEMBER: NodeNumber = NodeNumber(2);

/// Size of a typical engine entry.
const VALUE_BYTES: usize = 230;

/// Bytes that a link of 10 Mbit/s carries in 50 ms.
const MAX_BYTES: u32 = 62_500;

fn record(engine: usize, revision: u64) -> EntryRecord {
    EntryRecord {
        key: format!("engines/i-{engine:010}"),
        value: Some("v".repeat(VALUE_BYTES)),
        revision,
    }
}

fn relay(engines: usize) -> EntryTable {
    let mut table = EntryTable::default();
    let listed = (0..engines).map(|engine| record(engine, engine as u64 + 1));
    table.apply_listing(engines as u64, listed.collect());
    table
}

fn bytes(pages: &[EntriesPage]) -> usize {
    let records = pages.iter().flat_map(|page| &page.records);
    records.map(|record| record.key.len() + VALUE_BYTES).sum()
}

fn apply(member: &mut EntryTable, page: EntriesPage) {
    member.apply_range(page.revision, page.first..=page.last, page.records);
}

/// One request and its answer; `arrives` decides which pages arrive. Returns the bytes sent.
fn round(
    member: &mut EntryTable,
    relay: &EntryTable,
    first: u64,
    mut arrives: impl FnMut() -> bool,
) -> usize {
    let request = entries_request(MEMBER, member, MAX_BYTES);
    let pages = entries_pages(RELAY, relay, &request, first);
    let sent = bytes(&pages);
    for page in pages {
        if arrives() {
            apply(member, page);
        }
    }
    sent
}

#[rstest]
#[case::small_fleet(12)]
#[case::medium_fleet(700)]
#[case::large_fleet(3_000)]
fn an_empty_member_gets_all_entries_within_its_link_limit(#[case] engines: usize) {
    let relay = relay(engines);
    let mut member = EntryTable::default();
    let mut rounds = 0;
    while member.digest() != relay.digest() {
        let sent = round(&mut member, &relay, rounds, || true);
        // The last range is sent whole even if it exceeds the limit.
        let range_bytes = VALUE_BYTES * 2 * (engines / 128 + 20);
        assert!(sent <= MAX_BYTES as usize + range_bytes, "{sent}");
        rounds += 1;
        assert!(rounds <= 2 + (engines * 280) as u64 / u64::from(MAX_BYTES));
    }
}

/// One missed change must not cause all entries to be sent again.
#[rstest]
fn a_missed_change_costs_only_its_own_range() {
    let mut relay = relay(3_000);
    let mut member = relay.clone();
    relay.insert_if_newer(record(17, 5_000));
    relay.advance_complete_to(5_000);
    let sent = round(&mut member, &relay, 0, || true);
    assert!(sent <= 60 * (VALUE_BYTES + 20), "{sent}");
    assert_eq!(member.digest(), relay.digest());
}

#[rstest]
fn a_removed_entry_is_removed_at_the_member() {
    let mut relay = relay(100);
    let mut member = relay.clone();
    relay.insert_if_newer(EntryRecord {
        value: None,
        ..record(17, 101)
    });
    relay.advance_complete_to(101);
    round(&mut member, &relay, 0, || true);
    assert_eq!(member.live().count(), 99);
}

/// A relay that started while the key-value service was unreachable knows only a few entries.
#[rstest]
fn an_incomplete_relay_removes_nothing_at_its_members() {
    let mut member = relay(100);
    let mut relay = EntryTable::default();
    relay.insert_if_newer(record(500, 1_000));
    round(&mut member, &relay, 0, || true);
    assert_eq!(member.live().count(), 101);
}

/// The shortest drain bound of an operator.
const DRAIN_BOUND: Duration = Duration::from_secs(2);

const DIFFERING: DifferingDigests = DifferingDigests { own: 1, relay: 2 };

/// Times, in milliseconds, at which requests are sent while nothing changes, and their targets.
fn requests_of(sync: &mut EntrySync, milliseconds: Range<u64>) -> Vec<(u64, RequestTarget)> {
    let targets = milliseconds.map(|millisecond| {
        let now = MonotonicTime::from_millis(millisecond);
        Some((millisecond, sync.next_request(now, DIFFERING)?))
    });
    targets.flatten().collect()
}

#[rstest]
fn requests_without_progress_back_off() {
    let mut sync = EntrySync::new(DRAIN_BOUND);
    let asked = requests_of(&mut sync, 0..10_000).len();
    assert!(asked <= 10, "{asked}");
    sync.record_progress();
    let now = MonotonicTime::from_millis(20_000);
    assert!(sync.next_request(now, DIFFERING).is_some());
    let early = now + Duration::from_millis(100);
    assert!(sync.next_request(early, DIFFERING).is_none());
    let later = now + Duration::from_millis(200);
    assert!(sync.next_request(later, DIFFERING).is_some());
}

/// Guards against a member that asked only the relay that answers nothing: with two relays more, both are asked
/// within half of the drain bound.
#[rstest]
fn requests_without_progress_go_to_each_other_relay_in_time() {
    let mut sync = EntrySync::new(DRAIN_BOUND);
    let asked = requests_of(&mut sync, 0..DRAIN_BOUND.as_millis() as u64 / 2);
    let targets: Vec<RequestTarget> = asked.into_iter().map(|(_, target)| target).collect();
    assert!(targets.contains(&RequestTarget::Other(0)), "{targets:?}");
    assert!(targets.contains(&RequestTarget::Other(1)), "{targets:?}");
}

/// Guards against a delay of 2 s that had grown while nothing could be told, and applied to a later change.
#[rstest]
fn a_changed_digest_is_asked_about_at_once() {
    let mut sync = EntrySync::new(DRAIN_BOUND);
    requests_of(&mut sync, 0..10_000);
    let now = MonotonicTime::from_millis(10_000);
    let changed = DifferingDigests {
        relay: 3,
        ..DIFFERING
    };
    let waited = (0..500).find(|millisecond| {
        let now = now + Duration::from_millis(*millisecond);
        sync.next_request(now, changed).is_some()
    });
    assert!(waited.is_some());
}

/// Progress of one answer does not count as an answer to what comes later.
#[rstest]
fn requests_after_progress_go_to_the_followed_relay() {
    let mut sync = EntrySync::new(DRAIN_BOUND);
    requests_of(&mut sync, 0..1_000);
    sync.record_progress();
    let asked = requests_of(&mut sync, 1_500..1_700);
    assert_eq!(asked[0].1, RequestTarget::Followed);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Despite missed changes and lost pages, the member ends up with the relay's entries and keeps
    /// any newer ones.
    #[test]
    fn a_member_converges_to_its_relay(
        missed in proptest::collection::vec(0_usize..300, 0..200),
        gone in proptest::collection::vec(0_usize..300, 0..50),
        lost in proptest::collection::vec(proptest::bool::weighted(0.3), 64),
        newer in proptest::option::of(0_usize..300),
    ) {
        let mut relay = relay(300);
        let mut member = EntryTable::default();
        for engine in (0..300).filter(|engine| !missed.contains(engine)) {
            member.insert_if_newer(record(engine, engine as u64 + 1));
        }
        for (place, engine) in gone.iter().enumerate() {
            let revision = 400 + place as u64;
            relay.insert_if_newer(EntryRecord { value: None, ..record(*engine, revision) });
        }
        relay.advance_complete_to(500);
        if let Some(engine) = newer {
            member.insert_if_newer(record(engine, 900));
        }
        let mut losses = lost.iter().cycle();
        for first in 0..40 {
            round(&mut member, &relay, first * 7, || losses.next() != Some(&true));
        }
        for known in relay.live() {
            let found = member.live().find(|one| one.key == known.key);
            prop_assert!(found.is_some_and(|found| found.revision >= known.revision));
        }
        let expected = relay.live().count();
        let extra = newer.map_or(0, |engine| usize::from(gone.contains(&engine)));
        prop_assert_eq!(member.live().count(), expected + extra);
    }
}
