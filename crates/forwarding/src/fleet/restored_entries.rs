//! Withholds entries of removed engines that reappear when the key-value service is restored from a
//! backup.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_dissemination::{EntryRecord, EntryTable};
use dalestand_types::MonotonicTime;

/// How long such an entry is withheld. It expires after three missed heartbeats (3.6 s), unless the
/// engine runs and rewrites it, which a watch reports.
pub(crate) const RESTORED_ENTRY_HOLD_TIME: Duration = Duration::from_secs(5);

/// Limit on withheld entries; further ones are accepted.
const MAX_WITHHELD: usize = 4_096;

/// Reappeared entries of removed engines, with the time when each was first seen. These engines receive
/// no requests while their entries may still expire.
#[derive(Debug, Default)]
pub(crate) struct WithheldEntries(HashMap<String, MonotonicTime>);

impl WithheldEntries {
    /// `records` from a listing or another node without those to withhold, given the known `entries`.
    pub(crate) fn drop_withheld(
        &mut self,
        entries: &EntryTable,
        now: MonotonicTime,
        mut records: Vec<EntryRecord>,
    ) -> Vec<EntryRecord> {
        records.retain(|record| {
            !entries.was_removed_in_earlier_era(record) || self.hold_is_over(record, now)
        });
        records
    }

    /// Whether an entry has existed for so long that its engine must be running.
    fn hold_is_over(&mut self, record: &EntryRecord, now: MonotonicTime) -> bool {
        if self.0.len() >= MAX_WITHHELD {
            self.0
                .retain(|_, since| now.since(*since) < RESTORED_ENTRY_HOLD_TIME * 2);
        }
        if self.0.len() >= MAX_WITHHELD && !self.0.contains_key(&record.key) {
            return true;
        }
        let since = self.0.entry(record.key.clone()).or_insert(now);
        now.since(*since) >= RESTORED_ENTRY_HOLD_TIME
    }
}
