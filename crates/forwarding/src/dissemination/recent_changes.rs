//! Entries that changed a short time ago, for relays and members.

use std::collections::{BTreeMap, HashMap};

use dalestand_dissemination::EntryRecord;

/// A change is sent so often, in one message after the other: a message may be lost. Who misses all of
/// them finds out by the digest.
const REPEATS: u8 = 3;

/// Changes in one message: 4 KB of entries.
const MAX_CHANGES: usize = 48;

/// Most messages of changes at a time, the first of which goes with a table or an exchange. At 40 times
/// a second that is 7,700 changes a second, far more than the key-value service takes writes.
const MAX_MESSAGES: usize = 4;

/// Where a change was learnt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// From a watch of the key-value service: relays that cannot reach it must hear of it.
    Store,
    /// From a reading of the key-value service, which tells of all that stands.
    Listing,
    /// From a relay, which tells the others itself.
    Relay,
}

/// Changes that are to be sent to one kind of listeners.
#[derive(Debug, Default)]
struct Outgoing {
    /// By how often each was sent and in which order they came.
    waiting: BTreeMap<(u8, u64), EntryRecord>,
    places: HashMap<String, (u8, u64)>,
    arrivals: u64,
}

impl Outgoing {
    /// Adds a change, in place of an older one of its key.
    fn push(&mut self, record: &EntryRecord) {
        if let Some(place) = self.places.remove(&record.key) {
            self.waiting.remove(&place);
        }
        self.arrivals += 1;
        let place = (0, self.arrivals);
        self.places.insert(record.key.clone(), place);
        self.waiting.insert(place, record.clone());
    }

    /// Changes for the next messages. Those that nobody was sent yet go first: while many engines
    /// change, each is told once before any is told again.
    fn take(&mut self) -> Vec<Vec<EntryRecord>> {
        let next = self.waiting.keys().take(MAX_CHANGES * MAX_MESSAGES);
        let mut records = Vec::new();
        for place in next.copied().collect::<Vec<_>>() {
            let Some(record) = self.waiting.remove(&place) else {
                continue;
            };
            let (sent, arrival) = (place.0 + 1, place.1);
            if sent < REPEATS {
                self.places.insert(record.key.clone(), (sent, arrival));
                self.waiting.insert((sent, arrival), record.clone());
            } else {
                self.places.remove(&record.key);
            }
            records.push(record);
        }
        records.chunks(MAX_CHANGES).map(<[_]>::to_vec).collect()
    }
}

/// Changes that are still to be sent.
#[derive(Debug, Default)]
pub(crate) struct RecentChanges {
    exchanges: Outgoing,
    tables: Outgoing,
}

impl RecentChanges {
    /// Notes changes. Those that do not fit the next messages go with those after: relays that cannot
    /// reach the key-value service hear of engines that leave in no other way.
    pub(crate) fn push(&mut self, records: &[EntryRecord], source: ChangeSource) {
        for record in records {
            self.tables.push(record);
            if source != ChangeSource::Relay {
                self.exchanges.push(record);
            }
        }
    }

    /// Changes for the next exchange, and for the messages that follow it.
    pub(crate) fn for_exchange(&mut self) -> Vec<Vec<EntryRecord>> {
        self.exchanges.take()
    }

    /// Changes for the next table, and for the messages that follow it.
    pub(crate) fn for_table(&mut self) -> Vec<Vec<EntryRecord>> {
        self.tables.take()
    }

    /// Forgets what is for members: there are none, and one that comes is sent what differs.
    pub(crate) fn clear_tables(&mut self) {
        self.tables = Outgoing::default();
    }
}
