//! Which windows the holder has still to report.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::report::WindowReport;
use crate::window::{UsageWindows, WindowIndex};

/// When reports are made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportTiming {
    /// The windows.
    pub windows: UsageWindows,
    /// Time after the end of a window in which nodes send what they counted in it.
    pub settle_delay: Duration,
    /// Time after the end of a window in which its report must have been made.
    pub deadline: Duration,
}

#[derive(Clone, Debug)]
enum ReportState {
    /// Written to the key-value service, and not known to have been taken.
    Frozen(WindowReport),
    /// Taken.
    Done,
}

/// Windows that one holder reports. A new holder starts without any, and reports again what its
/// predecessor may have reported: by the frozen report, exactly the same.
#[derive(Clone, Debug)]
pub struct ReportSchedule {
    terms: ReportTiming,
    windows: BTreeMap<WindowIndex, ReportState>,
}

impl ReportSchedule {
    /// A schedule with nothing done.
    pub fn new(terms: ReportTiming) -> Self {
        Self {
            terms,
            windows: BTreeMap::new(),
        }
    }

    /// The oldest window that is to be reported at this time since the start of 1970.
    pub fn due(&self, unix_time: Duration) -> Option<WindowIndex> {
        let first = self.oldest_reportable(unix_time)?;
        let settled = unix_time.checked_sub(self.terms.settle_delay)?;
        let end = self.terms.windows.at(settled);
        let windows = (first.0..end.0).map(WindowIndex);
        let mut open =
            windows.filter(|window| !matches!(self.windows.get(window), Some(ReportState::Done)));
        open.next()
    }

    /// The oldest window whose report is not too late.
    pub fn oldest_reportable(&self, unix_time: Duration) -> Option<WindowIndex> {
        let late = unix_time.checked_sub(self.terms.deadline)?;
        Some(self.terms.windows.at(late))
    }

    /// The report of a window, if it was written.
    pub fn frozen(&self, window: WindowIndex) -> Option<&WindowReport> {
        match self.windows.get(&window)? {
            ReportState::Frozen(report) => Some(report),
            ReportState::Done => None,
        }
    }

    /// Notes that a report was written.
    pub fn freeze(&mut self, report: WindowReport) {
        let window = report.window;
        self.windows.insert(window, ReportState::Frozen(report));
    }

    /// Notes that the report of a window was taken.
    pub fn done(&mut self, window: WindowIndex) {
        self.windows.insert(window, ReportState::Done);
    }

    /// Forgets windows before `window`.
    pub fn remove_before(&mut self, window: WindowIndex) {
        self.windows = self.windows.split_off(&window);
    }
}
