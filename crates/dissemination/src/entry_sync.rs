//! Anti-entropy repair of a member's entries from its relay.
//!
//! Key hashes are divided into equal ranges. A member sends a digest per range; its relay answers with
//! the entries of the ranges whose digests differ. Only one request is in flight at a time and the
//! member limits the size of the answer, so that repair does not saturate a slow link. If its relay's answers bring
//! no progress, it asks others.

use std::ops::RangeInclusive;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::entry_table::{EntryRecord, EntryTable, key_hash};
use crate::hash_ranges::{RANGE_COUNT, hashes_of_range, range_of};
use crate::membership::NodeNumber;
use crate::message::{EntriesPage, EntriesRequest};

/// Bytes of entries per page; a page fits one packet.
const PAGE_BYTES: usize = 1_100;

/// Encoded bytes of an entry besides its key and value.
const RECORD_OVERHEAD_BYTES: usize = 16;

/// Delay between two requests: a round trip plus the transmission of the largest answer at
/// 10 Mbit/s.
const INITIAL_DELAY: Duration = Duration::from_millis(150);

/// Upper bound of the delay while answers change nothing for longer than the drain bound, as when the relay
/// knows fewer entries.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Within the drain bound the delay is at most this part of it: requests or answers may be lost.
const MIN_REQUESTS_PER_DRAIN: u32 = 4;

/// Requests without progress to the followed relay before others are asked: its link may be full.
const MIN_REQUESTS_TO_FOLLOWED: usize = 2;

/// After them, one request in this many goes to the followed relay.
const FOLLOWED_ONE_IN: usize = 3;

/// The range of key hashes of a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PageSpan {
    /// First hash.
    pub first: u64,
    /// Last hash.
    pub last: u64,
}

impl PageSpan {
    /// The span of `page`.
    pub fn of(page: &EntriesPage) -> Self {
        Self {
            first: page.first,
            last: page.last,
        }
    }

    /// Digest of the entries of `table` whose pages may have this span. Pages do not extend beyond one of the ranges by
    /// which tables are compared.
    pub fn digest(self, table: &EntryTable) -> u64 {
        table.range_digest(range_of(self.first))
    }
}

/// Digests of two tables that differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DifferingDigests {
    /// Digest of the member's entries.
    pub own: u64,
    /// Digest of its relay's entries.
    pub relay: u64,
}

/// The relay to send a request to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestTarget {
    /// The relay whose digest differs.
    Followed,
    /// Another one: this index modulo their number.
    Other(usize),
}

/// Schedule of a member's requests.
///
/// The delay grows only while both digests stay as they are, as asking again then helps only if a message was
/// lost. Requests that bring no progress go to other relays in turn.
#[derive(Clone, Copy, Debug)]
pub struct EntrySync {
    drain_bound: Duration,
    last_request_at: Option<MonotonicTime>,
    delay: Duration,
    /// Digests at the last request.
    compared: Option<DifferingDigests>,
    /// Requests since the last progress.
    requests_without_progress: usize,
    /// When the first of them was sent.
    differs_since: MonotonicTime,
}

impl EntrySync {
    /// A schedule that tries several relays within `drain_bound`.
    pub fn new(drain_bound: Duration) -> Self {
        Self {
            drain_bound,
            last_request_at: None,
            delay: INITIAL_DELAY,
            compared: None,
            requests_without_progress: 0,
            differs_since: MonotonicTime::ZERO,
        }
    }

    /// Where to send a request at `now`, if one is due; if so, schedules the next one.
    pub fn next_request(
        &mut self,
        now: MonotonicTime,
        digests: DifferingDigests,
    ) -> Option<RequestTarget> {
        if self.compared != Some(digests) {
            self.delay = INITIAL_DELAY;
        }
        let last = self.last_request_at;
        if last.is_some_and(|last| now.since(last) < self.delay) {
            return None;
        }
        if self.requests_without_progress == 0 {
            self.differs_since = now;
        }
        let target = target(self.requests_without_progress);
        if now.since(self.differs_since) >= self.drain_bound {
            self.delay = MAX_DELAY;
        } else if self.compared == Some(digests) {
            let max_delay = self.drain_bound / MIN_REQUESTS_PER_DRAIN;
            self.delay = (self.delay * 2).min(max_delay);
        }
        self.compared = Some(digests);
        self.last_request_at = Some(now);
        self.requests_without_progress += 1;
        Some(target)
    }

    /// Records that an answer changed entries or that the digests agree.
    pub fn record_progress(&mut self) {
        self.compared = None;
        self.requests_without_progress = 0;
    }

    /// Time at `now` since the first request without progress; zero if there was none.
    pub fn differs_for(&self, now: MonotonicTime) -> Duration {
        if self.requests_without_progress == 0 {
            return Duration::ZERO;
        }
        now.since(self.differs_since)
    }
}

/// Where to send a request after `earlier` ones without progress.
fn target(earlier: usize) -> RequestTarget {
    let Some(further) = earlier.checked_sub(MIN_REQUESTS_TO_FOLLOWED) else {
        return RequestTarget::Followed;
    };
    let (round, step) = (further / FOLLOWED_ONE_IN, further % FOLLOWED_ONE_IN);
    if step == FOLLOWED_ONE_IN - 1 {
        return RequestTarget::Followed;
    }
    RequestTarget::Other(round * (FOLLOWED_ONE_IN - 1) + step)
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

/// Pages of the entries that `table` has now in the span of an earlier page.
pub fn renewed_pages(node: NodeNumber, table: &EntryTable, span: PageSpan) -> Vec<EntriesPage> {
    pages_of(node, table, span.first..=span.last)
}

fn record_bytes(record: &EntryRecord) -> usize {
    let value = record.value.as_ref().map_or(0, String::len);
    record.key.len() + value + RECORD_OVERHEAD_BYTES
}
