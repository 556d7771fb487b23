//! Entries of engines that had gone, in a key-value service that was restored from an older copy.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_dissemination::EntryRecord;
use dalestand_types::MonotonicTime;

use crate::context::Context;

/// An engine that has gone stands again in a service that was restored from an older copy, until it lapses
/// there after three heartbeats (3.6 s), unless it lives and writes its entry anew, which a watch tells.
pub(crate) const RESTORED_ENTRIES_LAPSE: Duration = Duration::from_secs(5);

/// Most entries that are held back; of more none is remembered, and all are taken.
const MOST_HELD: usize = 4_096;

/// Entries of engines that had gone and stand again since the service was restored, with when each was first
/// seen: nothing is sent to them while they may have lapsed.
#[derive(Debug, Default)]
pub(crate) struct HeldEntries(HashMap<String, MonotonicTime>);

/// What of `records` is to be taken, as they stand in a reading or at another node.
pub(crate) fn without_held(context: &Context, mut records: Vec<EntryRecord>) -> Vec<EntryRecord> {
    let entries = context.spread.entries.borrow();
    let mut held = context.spread.held_entries.borrow_mut();
    let now = context.now();
    records.retain(|record| {
        if !entries.had_gone(record) {
            return true;
        }
        if held.0.len() >= MOST_HELD {
            held.0
                .retain(|_, since| now.since(*since) < RESTORED_ENTRIES_LAPSE * 2);
        }
        if held.0.len() >= MOST_HELD && !held.0.contains_key(&record.key) {
            return true;
        }
        let since = held.0.entry(record.key.clone()).or_insert(now);
        now.since(*since) >= RESTORED_ENTRIES_LAPSE
    });
    records
}
