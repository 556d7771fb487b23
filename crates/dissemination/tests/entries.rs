//! Entries never go back, whoever sends them and in whatever order.

use std::collections::BTreeMap;

use dalestand_dissemination::{EntryRecord, EntryTable};
use proptest::prelude::*;
use rstest::rstest;

fn record(key: u8, value: Option<u8>, revision: u64) -> EntryRecord {
    EntryRecord {
        key: format!("engine-{key}"),
        value: value.map(|value| value.to_string()),
        revision,
    }
}

/// Writes of some keys; each has a revision of its own.
fn writes() -> impl Strategy<Value = Vec<EntryRecord>> {
    let write = (0_u8..6, proptest::option::of(0_u8..9));
    proptest::collection::vec(write, 1..40).prop_map(|writes| {
        let numbered = writes.into_iter().zip(1_u64..);
        numbered
            .map(|((key, value), revision)| record(key, value, revision))
            .collect()
    })
}

fn live(table: &EntryTable) -> Vec<EntryRecord> {
    table.live().cloned().collect()
}

proptest! {
    /// Writes that come late, twice and out of order leave what the last write of each key left, and
    /// equal entries have equal digests.
    #[test]
    fn the_newest_write_of_each_key_stands(
        (written, shuffled) in writes().prop_flat_map(|written| {
            let twice: Vec<EntryRecord> = written.iter().chain(&written).cloned().collect();
            (Just(written), Just(twice).prop_shuffle())
        }),
    ) {
        let mut in_order = EntryTable::default();
        for record in &written {
            in_order.take(record.clone());
        }
        let mut late = EntryTable::default();
        for record in shuffled {
            late.take(record);
        }
        prop_assert_eq!(live(&in_order), live(&late));
        prop_assert_eq!(in_order.digest(), late.digest());
    }

    /// A reading of the service at any revision, taken in at any later time, brings nothing back and
    /// takes nothing away that was written after it.
    #[test]
    fn an_old_reading_changes_nothing_that_is_newer(written in writes(), read_at in 0_usize..40) {
        let mut service: BTreeMap<String, EntryRecord> = BTreeMap::new();
        let mut table = EntryTable::default();
        let mut reading = (0, Vec::new());
        for (position, record) in written.iter().enumerate() {
            service.insert(record.key.clone(), record.clone());
            table.take(record.clone());
            if position <= read_at {
                let stand = service.values().filter(|record| record.value.is_some());
                reading = (record.revision, stand.cloned().collect());
            }
        }
        let before = live(&table);
        table.take_listing(reading.0, reading.1);
        prop_assert_eq!(before, live(&table));
    }
}

#[rstest]
fn what_a_newer_reading_lacks_is_gone_and_stays_gone() {
    let mut table = EntryTable::default();
    table.take(record(1, Some(1), 5));
    table.take(record(2, Some(1), 9));
    let changes = table.take_listing(7, vec![record(3, Some(1), 6)]);
    assert_eq!(changes.len(), 2, "one gone, one new: {changes:?}");
    assert!(!table.take(record(1, Some(1), 5)), "a late message");
    let keys: Vec<&str> = table.live().map(|record| record.key.as_str()).collect();
    assert_eq!(keys, ["engine-2", "engine-3"]);
}

/// The pattern of half of 9,560 engines replaced within the time that a message takes: a late message
/// brings none of them back.
#[rstest]
fn as_many_entries_may_go_as_there_are() {
    let entry = |number: u32, value: Option<&str>, revision| EntryRecord {
        key: format!("engines/i-{number}"),
        value: value.map(str::to_owned),
        revision,
    };
    let mut table = EntryTable::default();
    for number in 0..9_560 {
        table.take(entry(number, Some("ready"), 1));
    }
    for number in 0..4_700 {
        table.take(entry(number, None, u64::from(number) + 2));
    }
    assert_eq!(table.len(), 4_860);
    let came_back = (0..4_700).filter(|number| table.take(entry(*number, Some("late"), 1)));
    assert_eq!(came_back.count(), 0);
    assert_eq!(table.live().count(), 4_860);
}

proptest! {
    /// The digest that is kept is the one of the entries that stand, whatever came before.
    #[test]
    fn digests_follow_the_entries(written in writes()) {
        let mut table = EntryTable::default();
        for record in written {
            table.take(record);
        }
        let mut anew = EntryTable::default();
        for record in live(&table) {
            anew.take(record);
        }
        prop_assert_eq!(table.digest(), anew.digest());
        prop_assert_eq!(table.len(), live(&table).len());
    }
}
