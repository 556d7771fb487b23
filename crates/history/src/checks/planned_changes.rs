//! Planned changes cut nothing.

use std::collections::HashSet;

use dalestand_types::RequestId;

use crate::event::{Event, History, RequestEnd, Violation};

/// Checks a run whose only changes were planned ones: every request that was sent ended, none
/// ended broken off, and none was refused after a part of its answer had come.
pub fn no_request_interrupted(history: &History) -> Result<(), Violation> {
    let mut open: HashSet<RequestId> = HashSet::new();
    let mut begun: HashSet<RequestId> = HashSet::new();
    for (index, recorded) in history.events.iter().enumerate() {
        match &recorded.event {
            Event::RequestSent { request, .. } => {
                open.insert(*request);
            }
            Event::TextReceived { request, .. } => {
                begun.insert(*request);
            }
            Event::RequestEnded { request, end } => {
                open.remove(request);
                let cut = match end {
                    RequestEnd::Complete => false,
                    RequestEnd::NotRun => begun.contains(request),
                    RequestEnd::Unknown => true,
                };
                if cut {
                    let message = format!("{request} was cut by a planned change");
                    return Err(Violation::new(index, message));
                }
            }
            _ => {}
        }
    }
    match open.iter().min() {
        None => Ok(()),
        Some(request) => {
            let message = format!("{request} never ended");
            Err(Violation::new(history.events.len(), message))
        }
    }
}
