//! A request with an idempotency key runs at most once.

use std::collections::HashMap;

use dalestand_types::AttemptId;

use crate::engine_log::{EngineLogEntry, RunLogEvent};
use crate::event::{History, Violation};

/// Checks that over all runs of all engines, at most one attempt was accepted per key.
pub fn at_most_once(history: &History) -> Result<(), Violation> {
    let mut accepted: HashMap<&str, AttemptId> = HashMap::new();
    for (index, line) in history.engine_log_lines() {
        let EngineLogEntry::Run(run) = &line.entry else {
            continue;
        };
        let (Some(key), RunLogEvent::Accepted) = (&run.once_key, &run.event) else {
            continue;
        };
        if accepted.insert(key, run.attempt).is_some() {
            let message = format!("{} ran key {key} a second time", line.engine);
            return Err(Violation::new(index, message));
        }
    }
    Ok(())
}
