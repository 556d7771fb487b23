//! Entries of the key-value service by the revision that wrote them, from whichever source.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::ops::RangeInclusive;

use dalestand_routing::staged::{EngineKey, rendezvous_weight};
use dalestand_types::Revision;
use serde::{Deserialize, Serialize};

use crate::hash_ranges::{RANGES, range_of};

/// Keys that are gone and still known at least, so that a late message does not bring them back; as
/// many as there are entries where these are more, so that all of them may be replaced within the time
/// that a message takes.
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

/// Where a key stands among all keys: by its hash, so that ranges of hashes are of equal size.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Place {
    hash: u64,
    key: String,
}

impl Place {
    fn of(key: &str) -> Self {
        Self {
            hash: key_hash(key),
            key: key.to_owned(),
        }
    }
}

/// A hash of a key whose values are spread evenly, also for keys that are alike.
pub(crate) fn key_hash(key: &str) -> u64 {
    rendezvous_weight(EngineKey::of(key).0, 0)
}

/// All entries under one prefix.
///
/// Invariants: the revision of a key never falls, so that a relay which knows less than a listener
/// cannot take it back. `range_digests` and `gone` follow from `records`; they are kept as entries
/// change, because each message between a relay and its members compares a digest: computed for each
/// message, that of 10,000 entries takes a millisecond up to 40 times a second.
#[derive(Clone, Debug)]
pub struct EntryTable {
    records: BTreeMap<Place, EntryRecord>,
    /// Keys that are gone, by the revision at which they went.
    gone: BTreeSet<(u64, Place)>,
    range_digests: [u64; RANGES],
    complete_to: u64,
}

impl Default for EntryTable {
    fn default() -> Self {
        Self {
            records: BTreeMap::new(),
            gone: BTreeSet::new(),
            range_digests: [0; RANGES],
            complete_to: 0,
        }
    }
}

impl EntryTable {
    /// Takes a record in; whether it is newer than what was known of its key.
    pub fn take(&mut self, record: EntryRecord) -> bool {
        let place = Place::of(&record.key);
        let known = self.records.get(&place);
        if known.is_some_and(|known| known.revision >= record.revision) {
            return false;
        }
        let former = self.records.insert(place.clone(), record);
        if let Some(former) = former {
            self.unaccount(&place, &former);
        }
        self.account(&place);
        self.forget_gone();
        true
    }

    /// Whether a key that went in an era stands again in a later one, as it was before it went: the service
    /// was restored from a copy of a moment before, or, which looks alike, it was written anew since.
    pub fn had_gone(&self, record: &EntryRecord) -> bool {
        let known = self.records.get(&Place::of(&record.key));
        known.is_some_and(|known| {
            let (gone, back) = (Revision(known.revision), Revision(record.revision));
            known.value.is_none()
                && record.value.is_some()
                && gone.era() < back.era()
                && back.number() <= gone.number()
        })
    }

    /// Adds a record that was put in to what follows from the records.
    fn account(&mut self, place: &Place) {
        let Some(record) = self.records.get(place) else {
            return;
        };
        if record.value.is_some() {
            self.range_digests[range_of(place.hash)] ^= digest_of(place, record);
        } else {
            self.gone.insert((record.revision, place.clone()));
        }
    }

    /// Takes a record that was replaced off what follows from the records.
    fn unaccount(&mut self, place: &Place, former: &EntryRecord) {
        if former.value.is_some() {
            self.range_digests[range_of(place.hash)] ^= digest_of(place, former);
        } else {
            self.gone.remove(&(former.revision, place.clone()));
        }
    }

    /// Takes a whole reading of the key-value service in, as of `revision`: what is missing from it
    /// is gone, unless it was written later. Yields what has changed.
    pub fn take_listing(&mut self, revision: u64, listed: Vec<EntryRecord>) -> Vec<EntryRecord> {
        self.complete_to = self.complete_to.max(revision);
        self.take_range(revision, 0..=u64::MAX, listed)
    }

    /// Takes all entries in whose keys' hashes lie in `hashes`, as another table has them that is
    /// complete up to `revision`: what is missing is gone, unless it was written later. Yields what
    /// has changed.
    pub fn take_range(
        &mut self,
        revision: u64,
        hashes: RangeInclusive<u64>,
        listed: Vec<EntryRecord>,
    ) -> Vec<EntryRecord> {
        let present: HashSet<&str> = listed.iter().map(|record| record.key.as_str()).collect();
        let missing = self
            .range(hashes)
            .filter(|record| record.revision <= revision && !present.contains(record.key.as_str()));
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

    /// Notes that all changes up to `revision` are known, after a whole reading.
    pub fn followed_to(&mut self, revision: u64) {
        if self.complete_to > 0 {
            self.complete_to = self.complete_to.max(revision);
        }
    }

    /// Up to which revision nothing is missing; 0 if that is not known. A relay that only heard of
    /// some entries must not have its members take all others for gone.
    pub fn complete_to(&self) -> u64 {
        self.complete_to
    }

    /// Entries that stand, by the hashes of their keys.
    pub fn live(&self) -> impl Iterator<Item = &EntryRecord> {
        self.range(0..=u64::MAX)
    }

    /// Entries that stand whose keys' hashes lie in `hashes`, by these.
    pub fn range(&self, hashes: RangeInclusive<u64>) -> impl Iterator<Item = &EntryRecord> {
        let first = Place {
            hash: *hashes.start(),
            key: String::new(),
        };
        let last = *hashes.end();
        self.records
            .range(first..)
            .take_while(move |(place, _)| place.hash <= last)
            .map(|(_, record)| record)
            .filter(|record| record.value.is_some())
    }

    /// Equal for tables with the same entries, whatever the order in which they came.
    pub fn digest(&self) -> u64 {
        let digests = self.range_digests.iter();
        digests.fold(0, |digest, range| digest ^ range)
    }

    /// The same for entries whose keys' hashes lie in one range of [`crate::hash_ranges`].
    pub(crate) fn range_digest(&self, range: usize) -> u64 {
        self.range_digests[range]
    }

    /// Number of entries that stand.
    pub fn len(&self) -> usize {
        self.records.len() - self.gone.len()
    }

    /// Whether no entry stands.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Keeps the newest of the keys that are gone.
    fn forget_gone(&mut self) {
        while self.gone.len() > GONE_KEPT.max(self.len())
            && let Some((_, place)) = self.gone.pop_first()
        {
            self.records.remove(&place);
        }
    }
}

/// What an entry that stands adds to the digest of its range.
fn digest_of(place: &Place, record: &EntryRecord) -> u64 {
    rendezvous_weight(place.hash, record.revision)
}
