//! Recently changed entries that are to be sent to relays and members.

use std::collections::{BTreeMap, HashMap};

use dalestand_dissemination::EntryRecord;

/// Number of messages that carry each change, because datagrams may be lost. A node that misses all of
/// them notices by the digest.
const TRANSMISSIONS: u8 = 3;

/// Changes per message, about 4 KB.
const MAX_CHANGES_PER_MESSAGE: usize = 48;

/// Messages per round; the first is part of a table or an exchange. At 40 rounds per second this
/// allows 7,700 changes per second, more than the key-value service accepts.
const MAX_MESSAGES: usize = 4;

/// Where a change was learned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeSource {
    /// A watch of the key-value service. Relays that cannot reach the service need it forwarded.
    Store,
    /// A listing of the key-value service.
    Listing,
    /// A relay, which informs the other relays itself.
    Relay,
}

/// Changes to send to one kind of recipient.
#[derive(Debug, Default)]
struct Outgoing {
    /// Keyed by the number of transmissions, then by arrival.
    pending: BTreeMap<(u8, u64), EntryRecord>,
    positions: HashMap<String, (u8, u64)>,
    arrivals: u64,
}

impl Outgoing {
    /// Adds a change; it replaces an older change of the same key.
    fn push(&mut self, record: &EntryRecord) {
        if let Some(position) = self.positions.remove(&record.key) {
            self.pending.remove(&position);
        }
        self.arrivals += 1;
        let position = (0, self.arrivals);
        self.positions.insert(record.key.clone(), position);
        self.pending.insert(position, record.clone());
    }

    /// Changes for the next messages. Those sent least often go first, so that each change is sent
    /// once before any is repeated.
    fn take(&mut self) -> Vec<Vec<EntryRecord>> {
        let next = self
            .pending
            .keys()
            .take(MAX_CHANGES_PER_MESSAGE * MAX_MESSAGES);
        let mut records = Vec::new();
        for position in next.copied().collect::<Vec<_>>() {
            let Some(record) = self.pending.remove(&position) else {
                continue;
            };
            let (sent, arrival) = (position.0 + 1, position.1);
            if sent < TRANSMISSIONS {
                self.positions.insert(record.key.clone(), (sent, arrival));
                self.pending.insert((sent, arrival), record.clone());
            } else {
                self.positions.remove(&record.key);
            }
            records.push(record);
        }
        records
            .chunks(MAX_CHANGES_PER_MESSAGE)
            .map(<[_]>::to_vec)
            .collect()
    }
}

/// Changes that remain to be sent.
#[derive(Debug, Default)]
pub(crate) struct RecentChanges {
    exchanges: Outgoing,
    tables: Outgoing,
}

impl RecentChanges {
    /// Adds changes. Those that do not fit the next messages remain queued: relays that cannot reach
    /// the key-value service learn of draining engines in no other way.
    pub(crate) fn push(&mut self, records: &[EntryRecord], source: ChangeSource) {
        for record in records {
            self.tables.push(record);
            if source != ChangeSource::Relay {
                self.exchanges.push(record);
            }
        }
    }

    /// Changes for the next exchange and the messages that follow it.
    pub(crate) fn for_exchange(&mut self) -> Vec<Vec<EntryRecord>> {
        self.exchanges.take()
    }

    /// Changes for the next table and the messages that follow it.
    pub(crate) fn for_table(&mut self) -> Vec<Vec<EntryRecord>> {
        self.tables.take()
    }

    /// Drops changes for members when there are none; a new member requests what differs.
    pub(crate) fn clear_tables(&mut self) {
        self.tables = Outgoing::default();
    }
}
