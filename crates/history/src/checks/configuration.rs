//! An accepted configuration takes effect on every node and is never reverted.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{MonotonicTime, NodeId, Revision};

use crate::event::{Event, History, Violation};

/// Checks that the revision in force on a node never decreases.
pub fn configuration_never_reverts(history: &History) -> Result<(), Violation> {
    let mut in_force: HashMap<&NodeId, Revision> = HashMap::new();
    for (index, recorded) in history.events.iter().enumerate() {
        let Event::ConfigurationInForce { node, revision } = &recorded.event else {
            continue;
        };
        let highest = in_force.entry(node).or_default();
        if revision < highest {
            let message = format!("{node} went back from revision {highest} to {revision}");
            return Err(Violation::new(index, message));
        }
        *highest = *revision;
    }
    Ok(())
}

/// Checks that a node observed more than `limit` after a revision was accepted has at least that revision in
/// force, by the recorder's clock.
pub fn configuration_in_force(history: &History, limit: Duration) -> Result<(), Violation> {
    let mut accepted: Vec<(MonotonicTime, Revision)> = Vec::new();
    for (index, recorded) in history.events.iter().enumerate() {
        match &recorded.event {
            Event::ConfigurationAccepted { revision } => accepted.push((recorded.at, *revision)),
            Event::ConfigurationInForce { node, revision } => {
                let overdue = accepted
                    .iter()
                    .find(|(at, needed)| recorded.at.since(*at) > limit && revision < needed);
                if let Some((_, needed)) = overdue {
                    let message =
                        format!("{node} has {revision} in force although {needed} was accepted");
                    return Err(Violation::new(index, message));
                }
            }
            _ => {}
        }
    }
    Ok(())
}
