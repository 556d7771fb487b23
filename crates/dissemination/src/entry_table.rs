//! Entries of the key-value service, ordered by revision whatever their source.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::ops::RangeInclusive;

use dalestand_routing::staged::{EngineKey, rendezvous_weight};
use dalestand_types::Revision;
use serde::{Deserialize, Serialize};

use crate::hash_ranges::{RANGE_COUNT, range_of};

/// Minimum number of tombstones to retain, so that a late message does not restore a removed entry.
/// Larger tables retain one per live entry: all may be replaced while a message is in flight.
const MIN_TOMBSTONES: usize = 1_000;

/// A written or removed entry.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EntryRecord {
    /// Its key.
    pub key: String,
    /// Its value; `None` if it was removed.
    pub value: Option<String>,
    /// The revision that wrote or removed it.
    pub revision: u64,
}

/// A key ordered by its hash, so that equal ranges of hashes hold about equally many keys.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct HashedKey {
    hash: u64,
    key: String,
}

impl HashedKey {
    fn of(key: &str) -> Self {
        Self {
            hash: key_hash(key),
            key: key.to_owned(),
        }
    }
}

/// A hash that is evenly distributed even for similar keys.
pub(crate) fn key_hash(key: &str) -> u64 {
    rendezvous_weight(EngineKey::of(key).0, 0)
}

/// All entries under one prefix.
///
/// The revision of a key never decreases, so a relay with older entries cannot revert newer ones.
/// `range_digests` and `tombstones` are derived from `records` and maintained incrementally: every
/// message between a relay and its members compares a digest, and recomputing it over 10,000 entries
/// takes about 1 ms.
#[derive(Clone, Debug)]
pub struct EntryTable {
    records: BTreeMap<HashedKey, EntryRecord>,
    /// Keys of removed entries, by the revision of the removal.
    tombstones: BTreeSet<(u64, HashedKey)>,
    range_digests: [u64; RANGE_COUNT],
    complete_to: u64,
}

impl Default for EntryTable {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            tombstones: BTreeSet::new(),
            range_digests: [0; RANGE_COUNT],
            complete_to: 0,
        }
    }
}

impl EntryTable {
    /// Stores `record` if it is newer than the known one of its key; returns whether it did.
    pub fn insert_if_newer(&mut self, record: EntryRecord) -> bool {
        let hashed_key = HashedKey::of(&record.key);
        let known = self.records.get(&hashed_key);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return false;
        }
        let previous = self.records.insert(hashed_key.clone(), record);
        if let Some(previous) = previous {
            self.unindex(&hashed_key, &previous);
        }
        self.index(&hashed_key);
        self.prune_tombstones();
        true
    }

    /// The last known change of a key.
    pub fn get(&self, key: &str) -> Option<&EntryRecord> {
        self.records.get(&HashedKey::of(key))
    }

    /// Whether `record` is an older copy of an entry that was removed before this table was filled: the table is
    /// complete up to a later revision and has no such key.
    pub fn is_removed_before_complete(&self, record: &EntryRecord) -> bool {
        record.value.is_some()
            && record.revision <= self.complete_to
            && self.get(&record.key).is_none()
    }

    /// Whether `record` is an entry that was removed in an earlier era and now exists again at a
    /// revision number no higher than the removal's: the service was restored from a backup taken
    /// before the removal. An entry that was rewritten since the restore looks the same.
    pub fn was_removed_in_earlier_era(&self, record: &EntryRecord) -> bool {
        let known = self.records.get(&HashedKey::of(&record.key));
        known.is_some_and(|known| {
            let (removed, relisted) = (Revision(known.revision), Revision(record.revision));
            known.value.is_none()
                && record.value.is_some()
                && removed.era() < relisted.era()
                && relisted.number() <= removed.number()
        })
    }

    /// Adds the current record of a key to `range_digests` or `tombstones`.
    fn index(&mut self, hashed_key: &HashedKey) {
        let Some(record) = self.records.get(hashed_key) else {
            return;
        };
        if record.value.is_some() {
            self.range_digests[range_of(hashed_key.hash)] ^= digest_of(hashed_key, record);
        } else {
            self.tombstones
                .insert((record.revision, hashed_key.clone()));
        }
    }

    /// Removes a replaced record from `range_digests` or `tombstones`.
    fn unindex(&mut self, hashed_key: &HashedKey, previous: &EntryRecord) {
        if previous.value.is_some() {
            self.range_digests[range_of(hashed_key.hash)] ^= digest_of(hashed_key, previous);
        } else {
            self.tombstones
                .remove(&(previous.revision, hashed_key.clone()));
        }
    }

    /// Merges a full listing of the key-value service as of `revision`: entries missing from it are
    /// removed unless they were written later. Returns the changes.
    pub fn apply_listing(&mut self, revision: u64, listed: Vec<EntryRecord>) -> Vec<EntryRecord> {
        self.complete_to = self.complete_to.max(revision);
        self.apply_range(revision, 0..=u64::MAX, listed)
    }

    /// Merges another table's entries whose key hashes lie in `hashes`, complete up to `revision`:
    /// entries missing from it are removed unless they were written later. Returns the changes.
    pub fn apply_range(
        &mut self,
        revision: u64,
        hashes: RangeInclusive<u64>,
        listed: Vec<EntryRecord>,
    ) -> Vec<EntryRecord> {
        let present: HashSet<&str> = listed.iter().map(|record| record.key.as_str()).collect();
        let missing = self
            .range(hashes)
            .filter(|record| record.revision <= revision && !present.contains(record.key.as_str()));
        let removed = missing.map(|record| EntryRecord {
            key: record.key.clone(),
            value: None,
            // Above the revision of the write, which may equal that of the listing.
            revision: revision.max(record.revision + 1),
        });
        let removed: Vec<EntryRecord> = removed.collect();
        let mut changes = Vec::new();
        for record in removed.into_iter().chain(listed) {
            if self.insert_if_newer(record.clone()) {
                changes.push(record);
            }
        }
        changes
    }

    /// Records that, after a full listing, all changes up to `revision` have been applied.
    pub fn advance_complete_to(&mut self, revision: u64) {
        if self.complete_to > 0 {
            self.complete_to = self.complete_to.max(revision);
        }
    }

    /// Revision up to which the table is complete; 0 if unknown. Members of a relay that knows only
    /// some of the entries must not treat the others as removed.
    pub fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Live entries, ordered by key hash.
    pub fn live(&self) -> impl Iterator<Item = &EntryRecord> {
        self.range(0..=u64::MAX)
    }

    /// Live entries whose key hashes lie in `hashes`, ordered by key hash.
    pub fn range(&self, hashes: RangeInclusive<u64>) -> impl Iterator<Item = &EntryRecord> {
        let first = HashedKey {
            hash: *hashes.start(),
            key: String::new(),
        };
        let last = *hashes.end();
        self.records
            .range(first..)
            .take_while(move |(hashed_key, _)| hashed_key.hash <= last)
            .map(|(_, record)| record)
            .filter(|record| record.value.is_some())
    }

    /// Digest of the live entries, independent of the order in which they were inserted.
    pub fn digest(&self) -> u64 {
        let digests = self.range_digests.iter();
        digests.fold(0, |digest, range| digest ^ range)
    }

    /// Digest of the live entries in one of the ranges of [`crate::hash_ranges`].
    pub(crate) fn range_digest(&self, range: usize) -> u64 {
        self.range_digests[range]
    }

    /// Number of live entries.
    pub fn len(&self) -> usize {
        self.records.len() - self.tombstones.len()
    }

    /// Whether there are no live entries.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops the oldest tombstones above the limit.
    fn prune_tombstones(&mut self) {
        while self.tombstones.len() > MIN_TOMBSTONES.max(self.len())
            && let Some((_, hashed_key)) = self.tombstones.pop_first()
        {
            self.records.remove(&hashed_key);
        }
    }
}

/// Contribution of a live entry to the digest of its range.
fn digest_of(hashed_key: &HashedKey, record: &EntryRecord) -> u64 {
    rendezvous_weight(hashed_key.hash, record.revision)
}
