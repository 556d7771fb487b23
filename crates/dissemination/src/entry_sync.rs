//! Anti-entropy repair of a member's entries from its relay.
//!
//! Key hashes are divided into equal ranges. A member sends a digest per range; its relay answers with
//! the entries of the ranges whose digests differ. Only one request is in flight at a time and the
//! member limits the size of the answer, so that repair does not saturate a slow link.

use std::ops::RangeInclusive;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::entry_table::{EntryRecord, EntryTable, key_hash};
use crate::hash_ranges::{RANGE_COUNT, hashes_of_range};
use crate::membership::NodeNumber;
use crate::message::{EntriesPage, EntriesRequest};

/// Bytes of entries per page; a page fits one packet.
const PAGE_BYTES: usize = 1_100;

/// Encoded bytes of an entry besides its key and value.
const RECORD_OVERHEAD_BYTES: usize = 16;

/// Delay between two requests: a round trip plus the transmission of the largest answer at
/// 10 Mbit/s.
const INITIAL_DELAY: Duration = Duration::from_millis(150);

/// Upper bound of the delay while answers change nothing, as when the relay knows fewer entries.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Schedule of a member's requests, with exponential backoff.
#[derive(Clone, Copy, Debug)]
pub struct EntrySync {
    next_request_at: MonotonicTime,
    delay: Duration,
}

impl Default for EntrySync {
    fn default() -> Self {
        Self {
            next_request_at: MonotonicTime::ZERO,
            delay: INITIAL_DELAY,
        }
    }
}

impl EntrySync {
    /// Whether a request may be sent at `now`; if so, schedules the next one.
    pub fn try_start_request(&mut self, now: MonotonicTime) -> bool {
        if now < self.next_request_at {
            return false;
        }
        self.next_request_at = now + self.delay;
        self.delay = (self.delay * 2).min(MAX_DELAY);
        true
    }

    /// Resets the backoff after an answer changed entries or the digests agree.
    pub fn reset_delay(&mut self) {
        self.delay = INITIAL_DELAY;
    }
}

/// A request for the entries that differ from `table`, about `max_bytes` at most.
pub fn entries_request(node: NodeNumber, table: &EntryTable, max_bytes: u32) -> EntriesRequest {
    let digests = (0..RANGE_COUNT).map(|range| table.range_digest(range));
    EntriesRequest {
        node,
        digests: digests.collect(),
        max_bytes,
    }
}

/// The answer of relay `node`: pages of the ranges that differ, starting at range `first`, so that
/// members that ask at the same time do not all get the same ranges first.
pub fn entries_pages(
    node: NodeNumber,
    table: &EntryTable,
    request: &EntriesRequest,
    first: u64,
) -> Vec<EntriesPage> {
    let mut pages = Vec::new();
    let mut bytes = 0;
    let first = (first % RANGE_COUNT as u64) as usize;
    for step in 0..RANGE_COUNT {
        let range = (first + step) % RANGE_COUNT;
        let known = request.digests.get(range);
        if known == Some(&table.range_digest(range)) {
            continue;
        }
        for page in pages_of(node, table, hashes_of_range(range)) {
            bytes += page.records.iter().map(record_bytes).sum::<usize>();
            pages.push(page);
        }
        if bytes >= request.max_bytes as usize {
            break;
        }
    }
    pages
}

/// Pages of the entries of one range; each page is complete for its part of the range.
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
    record.key.len() + value + RECORD_OVERHEAD_BYTES
}
