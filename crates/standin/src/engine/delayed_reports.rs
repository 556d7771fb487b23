//! Reports that become visible some time after they were made, to simulate stale views.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Maximum number of reports kept.
const MAX_REPORTS: usize = 256;

struct TimedReport<T> {
    made_at: MonotonicTime,
    report: T,
}

/// Keeps reports until they are old enough to be visible.
pub struct DelayedReports<T> {
    reports: VecDeque<TimedReport<T>>,
}

impl<T> Default for DelayedReports<T> {
    fn default() -> Self {
        let reports = VecDeque::new();
        Self { reports }
    }
}

impl<T: Clone> DelayedReports<T> {
    /// Adds a report made at `now` and returns the newest one that is at least `lag` old, or the
    /// oldest one if none is.
    pub fn push(&mut self, now: MonotonicTime, lag: Duration, report: T) -> T {
        self.reports.push_back(TimedReport {
            made_at: now,
            report: report.clone(),
        });
        if self.reports.len() > MAX_REPORTS {
            self.reports.pop_front();
        }
        // Only the newest visible report is needed.
        while self.reports.len() > 1 && now.since(self.reports[1].made_at) >= lag {
            self.reports.pop_front();
        }
        self.reports
            .front()
            .map_or(report, |visible| visible.report.clone())
    }
}
