//! Entries never go back, whoever sends them and in whatever order.

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

/// What may happen to a key-value service, or between it and a node.
#[derive(Clone, Debug)]
enum ServiceStep {
    Write(u8),
    Remove(u8),
    /// It is restored from a copy of so many changes ago.
    Restore(usize),
    /// The node's watch tells of all changes since it last read or watched, unless they are of another era.
    Watch,
    /// The node reads all.
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

/// Values with the numbers of their writes, by key.
type Items = BTreeMap<String, (String, u64)>;

/// A service of one counter, with copies of all its former states.
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
    /// Whatever is written, removed and lost with a restoration, and whatever of it a node's watches tell:
    /// once it reads a service it knows what stands there, and its watches keep that so.
    #[test]
    fn a_table_follows_a_service_through_restorations(
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
                            table.take(change.clone());
                        }
                        table.followed_to(service.now());
                        position = Some(service.now());
                    }
                    _ => is_read = true,
                },
                ServiceStep::Read => {}
            }
            if is_read {
                table.take_listing(service.now(), service.listing());
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
