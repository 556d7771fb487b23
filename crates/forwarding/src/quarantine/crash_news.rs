//! Evidence of this node that is still to be sent to others.

use std::collections::VecDeque;

use dalestand_quarantine::CrashRecord;

/// Messages that carry a record: datagrams get lost.
const REPEATS: u8 = 3;

/// Records in one message: 1 KB.
const MAX_RECORDS: usize = 32;

/// Most records that wait: those of 64 engines of 16 slots that end at once. What is dropped was near
/// one crash of many.
const MAX_WAITING: usize = 1_024;

/// Records in the order in which they came, each with the messages that are still to carry it.
#[derive(Debug, Default)]
pub(crate) struct CrashNews(VecDeque<(CrashRecord, u8)>);

impl CrashNews {
    /// Adds a record.
    pub(crate) fn push(&mut self, record: CrashRecord) {
        if self.0.len() >= MAX_WAITING {
            self.0.pop_front();
        }
        self.0.push_back((record, REPEATS));
    }

    /// Records for the next message. What is to be sent again goes behind what waits.
    pub(crate) fn take(&mut self) -> Vec<CrashRecord> {
        let count = self.0.len().min(MAX_RECORDS);
        let taken: Vec<_> = self.0.drain(..count).collect();
        let again = taken.iter().filter(|(_, left)| *left > 1);
        self.0
            .extend(again.map(|(record, left)| (*record, left - 1)));
        taken.into_iter().map(|(record, _)| record).collect()
    }
}
