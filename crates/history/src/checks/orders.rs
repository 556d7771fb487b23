//! An engine never holds two conflicting orders.

use std::collections::HashMap;

use dalestand_types::{EngineId, Incarnation, OrderId};

use crate::engine_log::{EngineLogEntry, OrderLogEntry};
use crate::event::{History, Violation};

/// One run of an engine.
#[derive(Default)]
struct EngineRun {
    last: Option<OrderId>,
    unfinished: Option<OrderId>,
}

/// Checks that within each run of an engine an order is taken only when the one before is
/// finished, follows that one, and was meant for this run.
pub fn no_conflicting_orders(history: &History) -> Result<(), Violation> {
    let mut runs: HashMap<(&EngineId, Incarnation), EngineRun> = HashMap::new();
    for (index, line) in history.engine_log_lines() {
        let EngineLogEntry::Order(entry) = &line.entry else {
            continue;
        };
        let run = runs.entry((&line.engine, line.incarnation)).or_default();
        match entry {
            OrderLogEntry::Taken { order, .. } => {
                let engine = &line.engine;
                let id = order.id;
                if let Some(other) = run.unfinished {
                    let message = format!("{engine} took {id} while {other} was unfinished");
                    return Err(Violation::new(index, message));
                }
                if order.follows != run.last {
                    let message = format!("{engine} took {id}, which does not follow the last");
                    return Err(Violation::new(index, message));
                }
                if order.incarnation != line.incarnation {
                    let message = format!("{engine} took {id}, meant for another run of it");
                    return Err(Violation::new(index, message));
                }
                run.last = Some(id);
                run.unfinished = Some(id);
            }
            OrderLogEntry::Done { order, .. } if run.unfinished == Some(order.id) => {
                run.unfinished = None;
            }
            OrderLogEntry::Done { order, .. } => {
                let message = format!("{} finished {}, not held", line.engine, order.id);
                return Err(Violation::new(index, message));
            }
            OrderLogEntry::EpochRaised { .. } | OrderLogEntry::Refused { .. } => {}
        }
    }
    Ok(())
}
