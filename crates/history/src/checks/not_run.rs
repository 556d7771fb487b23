//! A request refused as not run did not run.

use std::collections::HashSet;

use dalestand_types::RequestId;

use crate::engine_log::EngineLogEntry;
use crate::event::{Event, History, RequestEnd, Violation};

/// Checks that no engine accepted a request whose caller was told that it did not run, before or
/// after the caller was told.
pub fn refused_requests_did_not_run(history: &History) -> Result<(), Violation> {
    let refused: HashSet<RequestId> = history
        .events
        .iter()
        .filter_map(|recorded| match &recorded.event {
            Event::RequestEnded {
                request,
                end: RequestEnd::NotRun,
            } => Some(*request),
            _ => None,
        })
        .collect();
    for (index, line) in history.engine_log_lines() {
        if let EngineLogEntry::Run(run) = &line.entry
            && refused.contains(&run.request)
        {
            let message = format!("{} ran {}, refused as not run", line.engine, run.request);
            return Err(Violation::new(index, message));
        }
    }
    Ok(())
}
