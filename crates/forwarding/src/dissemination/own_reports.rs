//! What this node reported to its relay, so that it can take its own work off the relay's sums.

use std::collections::VecDeque;

use dalestand_dissemination::EngineLoad;

/// Reports that are remembered: those of two seconds. A table that includes an older one is too old
/// to be of use.
const REMEMBERED: usize = 40;

/// Reports by their sequence.
#[derive(Debug, Default)]
pub(crate) struct OwnReports {
    sequence: u32,
    sent: VecDeque<(u32, Vec<EngineLoad>)>,
    /// The report that the relay's last table includes.
    included: Option<u32>,
}

impl OwnReports {
    /// Remembers the work of the next report; yields the report's sequence.
    pub(crate) fn next(&mut self, work: Vec<EngineLoad>) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sent.push_back((self.sequence, work));
        if self.sent.len() > REMEMBERED {
            self.sent.pop_front();
        }
        self.sequence
    }

    /// The work of the newest report; `None` before the first.
    pub(crate) fn last_work(&self) -> Option<&[EngineLoad]> {
        self.sent.back().map(|(_, work)| work.as_slice())
    }

    /// Notes which report the relay's last table includes; `None` if it includes none.
    pub(crate) fn set_included(&mut self, sequence: Option<u32>) {
        self.included = sequence;
    }

    /// The work of this node that the relay's last sums include.
    pub(crate) fn included_work(&self) -> &[EngineLoad] {
        self.included.map_or(&[], |sequence| self.work_of(sequence))
    }

    /// The work that the report of this sequence told; none if it is not known any more.
    pub(crate) fn work_of(&self, sequence: u32) -> &[EngineLoad] {
        let found = self.sent.iter().find(|(sent, _)| *sent == sequence);
        found.map_or(&[], |(_, work)| work.as_slice())
    }
}
