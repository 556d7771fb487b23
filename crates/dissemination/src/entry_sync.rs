//! A member whose entries differ from its relay's is sent what differs, and nothing else.
//!
//! Keys are split by their hashes into equal ranges. A member sends a digest of each range; its
//! relay answers with the ranges whose digests differ. One request is under way at a time, and an
//! answer is no longer than the member asks for: members that asked with each report, and were sent
//! everything each time, were sent all entries 45 times in 12 s where there were 570, and lost most
//! of them on links of 10 Mbit/s.

use std::ops::RangeInclusive;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::entry_table::{EntryRecord, EntryTable, key_hash};
use crate::hash_ranges::{RANGES, hashes};
use crate::membership::NodeNumber;
use crate::message::{EntriesPage, EntriesRequest};

/// Bytes of entries in one page, below what a path carries in one packet.
const PAGE_BYTES: usize = 1_100;

/// Bytes of an entry in a message beside its key and value.
const RECORD_BYTES: usize = 16;

/// Time between two requests: a round trip and the time in which a link of 10 Mbit/s carries what
/// may be asked for.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest time between two requests that changed nothing: the relay knows less.
const LONGEST_PAUSE: Duration = Duration::from_secs(2);

/// When a member asks.
#[derive(Clone, Copy, Debug)]
pub struct EntrySync {
    not_before: MonotonicTime,
    pause: Duration,
}

impl Default for EntrySync {
    fn default() -> Self {
        Self {
            not_before: MonotonicTime::ZERO,
            pause: FIRST_PAUSE,
        }
    }
}

impl EntrySync {
    /// Whether to ask at `now`, where the entries differ. Counts as asked if so.
    pub fn is_due(&mut self, now: MonotonicTime) -> bool {
        if now < self.not_before {
            return false;
        }
        self.not_before = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        true
    }

    /// Notes that an answer changed something, or that nothing differs any more.
    pub fn progressed(&mut self) {
        self.pause = FIRST_PAUSE;
    }
}

/// A member's request for what differs from `table`, of `max_bytes` at most.
pub fn entries_request(node: NodeNumber, table: &EntryTable, max_bytes: u32) -> EntriesRequest {
    let digests = (0..RANGES).map(|range| table.range_digest(range));
    EntriesRequest {
        node,
        digests: digests.collect(),
        max_bytes,
    }
}

/// The answer of the relay `node`: pages of the ranges that differ, from the range `first` on, so
/// that members which ask at the same time are not all sent the same ranges first.
pub fn entries_pages(
    node: NodeNumber,
    table: &EntryTable,
    request: &EntriesRequest,
    first: u64,
) -> Vec<EntriesPage> {
    let mut pages = Vec::new();
    let mut bytes = 0;
    let first = (first % RANGES as u64) as usize;
    for step in 0..RANGES {
        let range = (first + step) % RANGES;
        let known = request.digests.get(range);
        if known == Some(&table.range_digest(range)) {
            continue;
        }
        for page in pages_of(node, table, hashes(range)) {
            bytes += page.records.iter().map(record_bytes).sum::<usize>();
            pages.push(page);
        }
        if bytes >= request.max_bytes as usize {
            break;
        }
    }
    pages
}

/// The entries of a range, in pages each of which is whole for a part of the range.
fn pages_of(node: NodeNumber, table: &EntryTable, hashes: RangeInclusive<u64>) -> Vec<EntriesPage> {
    let revision = table.complete_to();
    let mut pages = Vec::new();
    let mut first = *hashes.start();
    let mut records: Vec<EntryRecord> = Vec::new();
    let mut bytes = 0;
    for record in table.range(hashes.clone()) {
        let added = record_bytes(record);
        if bytes + added > PAGE_BYTES && !records.is_empty() {
            let next = key_hash(&record.key);
            pages.push(EntriesPage {
                node,
                revision,
                first,
                last: next - 1,
                records: std::mem::take(&mut records),
            });
            first = next;
            bytes = 0;
        }
        bytes += added;
        records.push(record.clone());
    }
    pages.push(EntriesPage {
        node,
        revision,
        first,
        last: *hashes.end(),
        records,
    });
    pages
}

fn record_bytes(record: &EntryRecord) -> usize {
    let value = record.value.as_ref().map_or(0, String::len);
    record.key.len() + value + RECORD_BYTES
}
