//! A leaving engine receives no new requests after a grace period.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{EngineId, MonotonicTime};

use crate::engine_log::{EngineLogEntry, RunLogEvent};
use crate::event::{Event, History, Violation};

/// Checks that an engine accepts no request more than `grace` after the machine list first showed it as leaving,
/// by the recorder's clock.
pub fn no_work_for_leaving_engines(history: &History, grace: Duration) -> Result<(), Violation> {
    let mut leaving: HashMap<&EngineId, MonotonicTime> = HashMap::new();
    for (index, recorded) in history.events.iter().enumerate() {
        match &recorded.event {
            Event::EngineLeaving { engine } => {
                leaving.entry(engine).or_insert(recorded.at);
            }
            Event::Engine(line) => {
                let EngineLogEntry::Run(run) = &line.entry else {
                    continue;
                };
                let is_past_grace = leaving
                    .get(&line.engine)
                    .is_some_and(|since| recorded.at.since(*since) > grace);
                if is_past_grace && run.event == RunLogEvent::Accepted {
                    let message =
                        format!("{} accepted a request while it was leaving", line.engine);
                    return Err(Violation::new(index, message));
                }
            }
            _ => {}
        }
    }
    Ok(())
}
