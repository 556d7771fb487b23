//! Tracks which windows the lease holder still has to report.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::report::WindowReport;
use crate::window::{UsageWindows, WindowIndex};

/// When the usage report of a window is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportTiming {
    /// Length of the windows.
    pub windows: UsageWindows,
    /// Time after the end of a window that is left for nodes to send their counts to the holder.
    pub settle_delay: Duration,
    /// Time after the end of a window by which its report must have been accepted.
    pub deadline: Duration,
}

#[derive(Clone, Debug)]
enum ReportState {
    /// Stored in the key-value service; the platform has not confirmed it yet.
    Frozen(WindowReport),
    /// Accepted by the platform, or too late to report.
    Done,
}

/// Reporting state of the windows at one lease holder. A new holder starts with an empty schedule and
/// reports again what its predecessor may have reported; the stored report makes both the same.
#[derive(Clone, Debug)]
pub struct ReportSchedule {
    timing: ReportTiming,
    windows: BTreeMap<WindowIndex, ReportState>,
}

impl ReportSchedule {
    /// Creates a schedule in which no window has been reported.
    pub fn new(timing: ReportTiming) -> Self {
        Self {
            timing,
            windows: BTreeMap::new(),
        }
    }

    /// The oldest window whose report is due at `unix_time` and not done yet.
    pub fn due(&self, unix_time: Duration) -> Option<WindowIndex> {
        let first = self.oldest_reportable(unix_time)?;
        let settled = unix_time.checked_sub(self.timing.settle_delay)?;
        let end = self.timing.windows.at(settled);
        let windows = (first.0..end.0).map(WindowIndex);
        let mut open =
            windows.filter(|window| !matches!(self.windows.get(window), Some(ReportState::Done)));
        open.next()
    }

    /// The oldest window whose reporting deadline has not passed.
    pub fn oldest_reportable(&self, unix_time: Duration) -> Option<WindowIndex> {
        let oldest = unix_time.checked_sub(self.timing.deadline)?;
        Some(self.timing.windows.at(oldest))
    }

    /// The stored report of a window, if it is still to be sent.
    pub fn frozen(&self, window: WindowIndex) -> Option<&WindowReport> {
        match self.windows.get(&window)? {
            ReportState::Frozen(report) => Some(report),
            ReportState::Done => None,
        }
    }

    /// Records that a report was stored.
    pub fn record_frozen(&mut self, report: WindowReport) {
        let window = report.window;
        self.windows.insert(window, ReportState::Frozen(report));
    }

    /// Records that a window needs no further report.
    pub fn mark_done(&mut self, window: WindowIndex) {
        self.windows.insert(window, ReportState::Done);
    }

    /// Removes windows before `window`.
    pub fn remove_before(&mut self, window: WindowIndex) {
        self.windows = self.windows.split_off(&window);
    }
}
