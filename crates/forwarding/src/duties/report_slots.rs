//! Stores usage reports in the key-value service, in a small ring of keys.

use std::collections::HashMap;

use dalestand_duties::{ReportTiming, WindowIndex, WindowReport};
use dalestand_edge::{CasOutcome, Entry, KeyValue, PlatformError, WriteExpectation};
use dalestand_types::Revision;
use error_stack::{Report, ResultExt as _};

/// Key prefix. Nodes don't watch it: only a new lease holder reads these keys.
const PREFIX: &str = "dalestand-usage/";

/// A ring of keys for usage reports. A key is overwritten only after the deadline of the report in it
/// has passed.
#[derive(Debug)]
pub(crate) struct ReportSlots {
    slots: u64,
    /// Last write of this node to each slot; saves a read before the next write.
    written: HashMap<u64, Written>,
}

/// A report that this node wrote.
#[derive(Clone, Copy, Debug)]
struct Written {
    window: WindowIndex,
    revision: Revision,
}

/// Report found in a slot when a write conflicts.
enum Found {
    /// A report of the same window.
    Same(WindowReport),
    /// A report of an older window, written at this revision.
    Older(Revision),
    /// A report of a newer window: it is too late for this one.
    Newer,
}

impl ReportSlots {
    /// Creates enough slots for all windows that may still be reported.
    pub(crate) fn new(timing: ReportTiming) -> Self {
        let window = timing.windows.at(timing.deadline).0;
        Self {
            slots: window + 2,
            written: HashMap::new(),
        }
    }

    /// Stores the report, unless one of the same window is stored already; returns the stored one.
    /// Returns `None` if it is too late for the window.
    pub(crate) async fn freeze(
        &mut self,
        store: &dyn KeyValue,
        report: WindowReport,
    ) -> Result<Option<WindowReport>, Report<PlatformError>> {
        let slot = report.window.0 % self.slots;
        let key = format!("{PREFIX}{slot}");
        let text = report
            .to_text()
            .change_context_lazy(|| malformed("the report cannot be encoded"))?;
        // Only a report of an older window may be overwritten; anything else causes a conflict.
        let last_write = self.written.remove(&slot);
        let older = last_write.filter(|written| written.window < report.window);
        let mut expectation = older.map_or(WriteExpectation::Absent, |older| {
            WriteExpectation::At(older.revision)
        });
        loop {
            let written = store.compare_and_swap(&key, expectation, Some(&text), None);
            expectation = match written.await? {
                CasOutcome::Written { revision } => {
                    let window = report.window;
                    self.written.insert(slot, Written { window, revision });
                    return Ok(Some(report));
                }
                CasOutcome::Conflict { current: None } => WriteExpectation::Absent,
                CasOutcome::Conflict {
                    current: Some(current),
                } => match classify(&current, report.window)? {
                    Found::Same(report) => return Ok(Some(report)),
                    Found::Older(revision) => WriteExpectation::At(revision),
                    Found::Newer => return Ok(None),
                },
            };
        }
    }
}

fn classify(entry: &Entry, wanted: WindowIndex) -> Result<Found, Report<PlatformError>> {
    let report = WindowReport::parse(&entry.value);
    let report = report.change_context_lazy(|| malformed("the stored report cannot be parsed"))?;
    Ok(if report.window == wanted {
        Found::Same(report)
    } else if report.window < wanted {
        Found::Older(entry.revision)
    } else {
        Found::Newer
    })
}

fn malformed(message: &str) -> PlatformError {
    PlatformError::Malformed {
        system: "usage report",
        message: message.to_owned(),
    }
}
