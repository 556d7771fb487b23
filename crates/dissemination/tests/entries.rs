//! Entries never go back to an older revision, whatever the sender and the order of messages.

use std::collections::BTreeMap;

use dalestand_dissemination::{EntryRecord, EntryTable};
use dalestand_types::Revision;
use proptest::prelude::*;
use rstest::rstest;

fn record(key: u8, value: Option<u8>, revision: u64) -> EntryRecord {
    EntryRecord {
        key: format!("engine-{key}"),
        value: value.map(|value| value.to_string()),
        revision,
    }
}

/// Writes of a few keys, each with its own revision.
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
    /// Late, duplicated and reordered writes leave the last write of each key, and equal entries have
    /// equal digests.
    #[test]
    fn the_newest_write_of_each_key_wins(
        (written, shuffled) in writes().prop_flat_map(|written| {
            let twice: Vec<EntryRecord> = written.iter().chain(&written).cloned().collect();
            (Just(written), Just(twice).prop_shuffle())
        }),
    ) {
        let mut in_order = EntryTable::default();
        for record in &written {
            in_order.insert_if_newer(record.clone());
        }
        let mut late = EntryTable::default();
        for record in shuffled {
            late.insert_if_newer(record);
        }
        prop_assert_eq!(live(&in_order), live(&late));
        prop_assert_eq!(in_order.digest(), late.digest());
    }

    /// Merging a listing at any later time neither restores removed entries nor removes entries
    /// written after it.
    #[test]
    fn an_old_listing_changes_nothing_newer(written in writes(), read_at in 0_usize..40) {
        let mut service: BTreeMap<String, EntryRecord> = BTreeMap::new();
        let mut table = EntryTable::default();
        let mut reading = (0, Vec::new());
        for (position, record) in written.iter().enumerate() {
            service.insert(record.key.clone(), record.clone());
            table.insert_if_newer(record.clone());
            if position <= read_at {
                let stand = service.values().filter(|record| record.value.is_some());
                reading = (record.revision, stand.cloned().collect());
            }
        }
        let before = live(&table);
        table.apply_listing(reading.0, reading.1);
        prop_assert_eq!(before, live(&table));
    }
}

#[rstest]
fn an_entry_missing_from_a_newer_listing_stays_removed() {
    let mut table = EntryTable::default();
    table.insert_if_newer(record(1, Some(1), 5));
    table.insert_if_newer(record(2, Some(1), 9));
    let changes = table.apply_listing(7, vec![record(3, Some(1), 6)]);
    assert_eq!(changes.len(), 2, "one removed, one new: {changes:?}");
    assert!(
        !table.insert_if_newer(record(1, Some(1), 5)),
        "a late message"
    );
    let keys: Vec<&str> = table.live().map(|record| record.key.as_str()).collect();
    assert_eq!(keys, ["engine-2", "engine-3"]);
}

/// Half of the entries are replaced while a message is in flight: the late message must not bring
/// any of them back.
#[rstest]
fn tombstones_scale_with_the_number_of_entries() {
    let entry = |number: u32, value: Option<&str>, revision| EntryRecord {
        key: format!("engines/i-{number}"),
        value: value.map(str::to_owned),
        revision,
    };
    let mut table = EntryTable::default();
    for number in 0..9_560 {
        table.insert_if_newer(entry(number, Some("ready"), 1));
    }
    for number in 0..4_700 {
        table.insert_if_newer(entry(number, None, u64::from(number) + 2));
    }
    assert_eq!(table.len(), 4_860);
    let came_back =
        (0..4_700).filter(|number| table.insert_if_newer(entry(*number, Some("late"), 1)));
    assert_eq!(came_back.count(), 0);
    assert_eq!(table.live().count(), 4_860);
}

proptest! {
    /// The incrementally maintained digest equals that of a table built from the live entries.
    #[test]
    fn digests_follow_the_entries(written in writes()) {
        let mut table = EntryTable::default();
        for record in written {
            table.insert_if_newer(record);
        }
        let mut anew = EntryTable::default();
        for record in live(&table) {
            anew.insert_if_newer(record);
        }
        prop_assert_eq!(table.digest(), anew.digest());
        prop_assert_eq!(table.len(), live(&table).len());
    }
}

/// A change of a key-value service, or a call of the node that follows it.
#[derive(Clone, Debug)]
enum ServiceStep {
    Write(u8),
    Remove(u8),
    /// The service is restored from a backup taken this many changes ago.
    Restore(usize),
    /// The node's watch delivers all changes since its last call, unless the era has changed.
    Watch,
    /// The node lists all entries.
    Read,
}

fn service_step() -> impl Strategy<Value = ServiceStep> {
    prop_oneof![
        4 => (0_u8..6).prop_map(ServiceStep::Write),
        2 => (0_u8..6).prop_map(ServiceStep::Remove),
        1 => (0_usize..12).prop_map(ServiceStep::Restore),
        3 => Just(ServiceStep::Watch),
        1 => Just(ServiceStep::Read),
    ]
}

/// Values with the revision numbers of their writes, by key.
type Items = BTreeMap<String, (String, u64)>;

/// A service with a revision counter and backups of all its previous states.
#[derive(Clone, Debug, Default)]
struct Service {
    era: u64,
    number: u64,
    items: Items,
    changes: Vec<EntryRecord>,
    copies: Vec<(u64, Items)>,
}

impl Service {
    fn now(&self) -> u64 {
        Revision::in_era(self.era, self.number).0
    }

    fn change(&mut self, key: u8, value: Option<String>) {
        self.copies.push((self.number, self.items.clone()));
        self.number += 1;
        let key = format!("engines/{key}");
        match &value {
            Some(value) => self.items.insert(key.clone(), (value.clone(), self.number)),
            None => self.items.remove(&key),
        };
        let revision = self.now();
        self.changes.push(EntryRecord {
            key,
            value,
            revision,
        });
    }

    fn restore(&mut self, back: usize) {
        let place = self.copies.len().saturating_sub(back + 1);
        let Some((number, items)) = self.copies.get(place).cloned() else {
            return;
        };
        self.copies.truncate(place);
        self.era += 1;
        self.number = number;
        self.items = items;
        self.changes.clear();
    }

    fn listing(&self) -> Vec<EntryRecord> {
        let items = self.items.iter();
        let record = |(key, (value, number)): (&String, &(String, u64))| EntryRecord {
            key: key.clone(),
            value: Some(value.clone()),
            revision: Revision::in_era(self.era, *number).0,
        };
        items.map(record).collect()
    }
}

proptest! {
    /// Whatever is written, removed, restored or missed by a watch: after a listing the table equals
    /// the service's content, and watches keep it equal.
    #[test]
    fn a_table_follows_a_service_through_restores(
        steps in proptest::collection::vec(service_step(), 1..120),
    ) {
        let mut service = Service::default();
        let mut table = EntryTable::default();
        let mut position: Option<u64> = None;
        let mut written = 0;
        for step in steps.into_iter().chain([ServiceStep::Watch, ServiceStep::Read]) {
            let mut is_read = matches!(step, ServiceStep::Read);
            match step {
                ServiceStep::Write(key) => {
                    written += 1;
                    service.change(key, Some(format!("value {written}")));
                }
                ServiceStep::Remove(key) => service.change(key, None),
                ServiceStep::Restore(back) => service.restore(back),
                ServiceStep::Watch => match position {
                    Some(after) if Revision(after).era() == service.era => {
                        for change in service.changes.iter().filter(|one| one.revision > after) {
                            table.insert_if_newer(change.clone());
                        }
                        table.advance_complete_to(service.now());
                        position = Some(service.now());
                    }
                    _ => is_read = true,
                },
                ServiceStep::Read => {}
            }
            if is_read {
                table.apply_listing(service.now(), service.listing());
                position = Some(service.now());
            }
            if position == Some(service.now()) {
                let known: BTreeMap<&str, &str> = table
                    .live()
                    .map(|one| (one.key.as_str(), one.value.as_deref().unwrap_or_default()))
                    .collect();
                let standing: BTreeMap<&str, &str> = service
                    .items
                    .iter()
                    .map(|(key, (value, _))| (key.as_str(), value.as_str()))
                    .collect();
                prop_assert_eq!(known, standing);
            }
        }
    }
}
