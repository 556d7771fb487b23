//! Reports that are answered some time after they were made. Pure.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Most reports kept.
const MAX_KEPT: usize = 256;

struct Made<T> {
    at: MonotonicTime,
    report: T,
}

/// Keeps reports until they are old enough to be seen.
pub struct Lagged<T> {
    kept: VecDeque<Made<T>>,
}

impl<T> Default for Lagged<T> {
    fn default() -> Self {
        let kept = VecDeque::new();
        Self { kept }
    }
}

impl<T: Clone> Lagged<T> {
    /// Adds a report made now and yields the newest that is at least `lag` old, or else the oldest.
    pub fn report(&mut self, now: MonotonicTime, lag: Duration, report: T) -> T {
        self.kept.push_back(Made {
            at: now,
            report: report.clone(),
        });
        if self.kept.len() > MAX_KEPT {
            self.kept.pop_front();
        }
        // All but the newest of those that may be seen are of no more use.
        while self.kept.len() > 1 && now.since(self.kept[1].at) >= lag {
            self.kept.pop_front();
        }
        self.kept.front().map_or(report, |made| made.report.clone())
    }
}
