//! A request that was refused as not run did not run.

use std::collections::HashSet;

use dalestand_types::RequestId;

use crate::engine_log::EngineLogEntry;
use crate::event::{Event, History, RequestEnd, Violation};

/// Checks that no engine accepted, before or after the refusal, a request that was refused as not run.
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
            let message = format!(
                "{} ran {}, which was refused as not run",
                line.engine, run.request
            );
            return Err(Violation::new(index, message));
        }
    }
    Ok(())
}
