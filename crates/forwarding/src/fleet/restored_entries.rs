//! Entries of engines that had gone, in a key-value service that was restored from an older copy.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_dissemination::{EntryRecord, EntryTable};
use dalestand_types::MonotonicTime;

/// An engine that has gone stands again in a service that was restored from an older copy, until it lapses
/// there after three heartbeats (3.6 s), unless it lives and writes its entry anew, which a watch tells.
pub(crate) const RESTORED_ENTRIES_LAPSE: Duration = Duration::from_secs(5);

/// Most entries that are held back; of more none is remembered, and all are taken.
const MOST_HELD: usize = 4_096;

/// Entries of engines that had gone and stand again since the service was restored, with when each was first
/// seen: nothing is sent to them while they may have lapsed.
#[derive(Debug, Default)]
pub(crate) struct WithheldEntries(HashMap<String, MonotonicTime>);

impl WithheldEntries {
    /// What of `records` is to be taken, as they stand in a reading or at another node, where `entries` are known.
    pub(crate) fn without_withheld(
        &mut self,
        entries: &EntryTable,
        now: MonotonicTime,
        mut records: Vec<EntryRecord>,
    ) -> Vec<EntryRecord> {
        records.retain(|record| {
            !entries.was_removed_in_earlier_era(record) || self.is_over(record, now)
        });
        records
    }

    /// Whether an entry of an engine that had gone has stood for so long that the engine lives.
    fn is_over(&mut self, record: &EntryRecord, now: MonotonicTime) -> bool {
        if self.0.len() >= MOST_HELD {
            self.0
                .retain(|_, since| now.since(*since) < RESTORED_ENTRIES_LAPSE * 2);
        }
        if self.0.len() >= MOST_HELD && !self.0.contains_key(&record.key) {
            return true;
        }
        let since = self.0.entry(record.key.clone()).or_insert(now);
        now.since(*since) >= RESTORED_ENTRIES_LAPSE
    }
}
