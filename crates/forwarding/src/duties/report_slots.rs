//! Where reports stand in the key-value service: a few keys by turns.

use std::collections::HashMap;

use dalestand_duties::{ReportTiming, WindowIndex, WindowReport};
use dalestand_edge::{CasOutcome, Entry, KeyValue, PlatformError, WriteExpectation};
use dalestand_types::Revision;
use error_stack::{Report, ResultExt as _};

/// Leading part of the keys. Not among those that relays watch: nobody but a new holder reads them.
const PREFIX: &str = "dalestand-usage/";

/// The keys of reports. Each window has its turn at one of them, and a key is used again only after
/// the report in it is too late for anybody.
#[derive(Debug)]
pub(crate) struct ReportSlots {
    slots: u64,
    /// What this node wrote last, so that its next write needs no reading.
    written: HashMap<u64, Written>,
}

/// A report as this node wrote it.
#[derive(Clone, Copy, Debug)]
struct Written {
    window: WindowIndex,
    revision: Revision,
}

/// What stands in a slot that could not be written.
enum Found {
    /// The window's report.
    Same(WindowReport),
    /// An older one, written at this revision.
    Older(Revision),
    /// A newer one: this window is too late.
    Newer,
}

impl ReportSlots {
    /// Slots enough for all windows that may still be reported.
    pub(crate) fn new(terms: ReportTiming) -> Self {
        let window = terms.windows.at(terms.deadline).0;
        Self {
            slots: window + 2,
            written: HashMap::new(),
        }
    }

    /// Writes the report, unless the window's report stands already: then yields that one. `None`
    /// if the window is too late.
    pub(crate) async fn freeze(
        &mut self,
        store: &dyn KeyValue,
        report: WindowReport,
    ) -> Result<Option<WindowReport>, Report<PlatformError>> {
        let slot = report.window.0 % self.slots;
        let key = format!("{PREFIX}{slot}");
        let text = report
            .to_text()
            .change_context_lazy(|| malformed("cannot be written"))?;
        // Only an older report may be written over; whatever else stands there shows as a conflict.
        let written = self.written.remove(&slot);
        let older = written.filter(|written| written.window < report.window);
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
                } => match found(&current, report.window)? {
                    Found::Same(report) => return Ok(Some(report)),
                    Found::Older(revision) => WriteExpectation::At(revision),
                    Found::Newer => return Ok(None),
                },
            };
        }
    }
}

fn found(entry: &Entry, wanted: WindowIndex) -> Result<Found, Report<PlatformError>> {
    let report = WindowReport::parse(&entry.value);
    let report = report.change_context_lazy(|| malformed("cannot be read"))?;
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
