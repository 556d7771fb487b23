//! Entries of the key-value service by the revision that wrote them, from whichever source.

use std::collections::{BTreeMap, HashSet};

use dalestand_routing::staged::{EngineKey, rendezvous_weight};
use serde::{Deserialize, Serialize};

/// Keys that are gone and still known, so that a late message does not bring them back. An engine
/// is replaced some hundred times a day at the size the fleet is built for.
const GONE_KEPT: usize = 1_000;

/// An entry as it was written, or as it went.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EntryRecord {
    /// Its key.
    pub key: String,
    /// Its value; `None` if it is gone.
    pub value: Option<String>,
    /// The revision that wrote or removed it.
    pub revision: u64,
}

/// All entries under one prefix.
///
/// Invariant: the revision of a key never falls, so that a relay which knows less than a listener
/// cannot take it back.
#[derive(Clone, Debug, Default)]
pub struct EntryTable {
    records: BTreeMap<String, EntryRecord>,
}

impl EntryTable {
    /// Takes a record in; whether it is newer than what was known of its key.
    pub fn take(&mut self, record: EntryRecord) -> bool {
        let known = self.records.get(&record.key);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return false;
        }
        let is_gone = record.value.is_none();
        self.records.insert(record.key.clone(), record);
        if is_gone {
            self.forget_gone();
        }
        true
    }

    /// Takes a whole reading in, as of `revision`: what is missing from it is gone, unless it was
    /// written later. Yields what has changed.
    pub fn take_listing(&mut self, revision: u64, listed: Vec<EntryRecord>) -> Vec<EntryRecord> {
        let present: HashSet<String> = listed.iter().map(|record| record.key.clone()).collect();
        let missing = self
            .live()
            .filter(|record| record.revision <= revision && !present.contains(&record.key));
        let gone = missing.map(|record| EntryRecord {
            key: record.key.clone(),
            value: None,
            // At least one above the write, which may be the reading's own revision.
            revision: revision.max(record.revision + 1),
        });
        let gone: Vec<EntryRecord> = gone.collect();
        let mut changes = Vec::new();
        for record in gone.into_iter().chain(listed) {
            if self.take(record.clone()) {
                changes.push(record);
            }
        }
        changes
    }

    /// Entries that stand, by key.
    pub fn live(&self) -> impl Iterator<Item = &EntryRecord> {
        self.records
            .values()
            .filter(|record| record.value.is_some())
    }

    /// Newest revision of any entry.
    pub fn newest_revision(&self) -> u64 {
        let revisions = self.records.values().map(|record| record.revision);
        revisions.max().unwrap_or(0)
    }

    /// Equal for tables with the same entries, whatever the order in which they came.
    pub fn digest(&self) -> u64 {
        let hashes = self
            .live()
            .map(|record| rendezvous_weight(EngineKey::of(&record.key).0, record.revision));
        hashes.fold(0, |digest, hash| digest ^ hash)
    }

    /// Keeps the newest of the keys that are gone.
    fn forget_gone(&mut self) {
        let gone = self
            .records
            .values()
            .filter(|record| record.value.is_none());
        if gone.clone().count() <= GONE_KEPT {
            return;
        }
        let oldest = gone.min_by_key(|record| record.revision);
        if let Some(key) = oldest.map(|record| record.key.clone()) {
            self.records.remove(&key);
        }
    }
}
