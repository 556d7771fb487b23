//! Planned changes interrupt no request.

use std::collections::HashSet;

use dalestand_types::RequestId;

use crate::event::{Event, History, RequestEnd, Violation};

/// Checks a history with planned changes only: every request ended, none was aborted, and none was refused after
/// part of its answer had been received.
pub fn no_request_interrupted(history: &History) -> Result<(), Violation> {
    let mut unfinished: HashSet<RequestId> = HashSet::new();
    let mut partly_answered: HashSet<RequestId> = HashSet::new();
    for (index, recorded) in history.events.iter().enumerate() {
        match &recorded.event {
            Event::RequestSent { request, .. } => {
                unfinished.insert(*request);
            }
            Event::TextReceived { request, .. } => {
                partly_answered.insert(*request);
            }
            Event::RequestEnded { request, end } => {
                unfinished.remove(request);
                let is_interrupted = match end {
                    RequestEnd::Complete => false,
                    RequestEnd::NotRun => partly_answered.contains(request),
                    RequestEnd::Unknown => true,
                };
                if is_interrupted {
                    let message = format!("{request} was interrupted by a planned change");
                    return Err(Violation::new(index, message));
                }
            }
            _ => {}
        }
    }
    match unfinished.iter().min() {
        None => Ok(()),
        Some(request) => {
            let message = format!("{request} never ended");
            Err(Violation::new(history.events.len(), message))
        }
    }
}
