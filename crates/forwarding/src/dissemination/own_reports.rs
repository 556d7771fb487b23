//! This node's reports to its relay, so that it can subtract its own work from the relay's sums.

use std::collections::VecDeque;

use dalestand_dissemination::EngineLoad;

/// Number of reports to remember; they cover two seconds. Tables that include older ones are stale.
const MAX_REMEMBERED_REPORTS: usize = 40;

/// Sent reports by sequence number.
#[derive(Debug, Default)]
pub(crate) struct OwnReports {
    sequence: u32,
    sent: VecDeque<(u32, Vec<EngineLoad>)>,
    /// The report that the relay's last table includes.
    included: Option<u32>,
}

impl OwnReports {
    /// Stores the work of the next report; returns the report's sequence number.
    pub(crate) fn next(&mut self, work: Vec<EngineLoad>) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sent.push_back((self.sequence, work));
        if self.sent.len() > MAX_REMEMBERED_REPORTS {
            self.sent.pop_front();
        }
        self.sequence
    }

    /// Work of the latest report; `None` before the first.
    pub(crate) fn last_work(&self) -> Option<&[EngineLoad]> {
        self.sent.back().map(|(_, work)| work.as_slice())
    }

    /// Sets which report the relay's last table includes; `None` if it includes none.
    pub(crate) fn set_included(&mut self, sequence: Option<u32>) {
        self.included = sequence;
    }

    /// Work of this node that the relay's last table includes.
    pub(crate) fn included_work(&self) -> &[EngineLoad] {
        self.included.map_or(&[], |sequence| self.work_of(sequence))
    }

    /// Work of the report with this sequence number; empty if it is no longer known.
    pub(crate) fn work_of(&self, sequence: u32) -> &[EngineLoad] {
        let found = self.sent.iter().find(|(sent, _)| *sent == sequence);
        found.map_or(&[], |(_, work)| work.as_slice())
    }
}
