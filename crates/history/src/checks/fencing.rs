//! Orders of a node that has lost its lease have no effect.

use std::collections::{HashMap, HashSet};

use dalestand_types::{EngineId, Epoch};

use crate::engine_log::{EngineLogEntry, OrderLogEntry};
use crate::event::{Event, History, Violation};

/// Checks that no epoch was granted twice, that every accepted order carries a granted epoch, and that no engine
/// accepts an order of an epoch lower than one it has seen in any of its runs.
pub fn no_stale_orders(history: &History) -> Result<(), Violation> {
    let granted = granted_epochs(history)?;
    let mut highest: HashMap<&EngineId, Epoch> = HashMap::new();
    for (index, line) in history.engine_log_lines() {
        let engine = &line.engine;
        let EngineLogEntry::Order(entry) = &line.entry else {
            continue;
        };
        let seen = highest.entry(engine).or_default();
        match entry {
            OrderLogEntry::EpochRaised { epoch, .. } => *seen = (*seen).max(*epoch),
            OrderLogEntry::Taken { order, .. } => {
                let id = order.id;
                if id.epoch < *seen {
                    let message =
                        format!("{engine} accepted order {id} after it had seen epoch {seen}");
                    return Err(Violation::new(index, message));
                }
                if !granted.contains(&id.epoch) {
                    let message =
                        format!("{engine} accepted order {id}, whose epoch was never granted");
                    return Err(Violation::new(index, message));
                }
                *seen = id.epoch;
            }
            OrderLogEntry::Done { .. } | OrderLogEntry::Refused { .. } => {}
        }
    }
    Ok(())
}

fn granted_epochs(history: &History) -> Result<HashSet<Epoch>, Violation> {
    let mut granted = HashSet::new();
    for (index, recorded) in history.events.iter().enumerate() {
        if let Event::LeaseGranted { epoch, .. } = &recorded.event
            && !granted.insert(*epoch)
        {
            let message = format!("epoch {epoch} was granted twice");
            return Err(Violation::new(index, message));
        }
    }
    Ok(granted)
}
