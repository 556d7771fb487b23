//! An engine never has two conflicting orders.

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

/// Checks that an engine accepts an order only if the run's previous order is finished, the order names it as its
/// predecessor, and the order is addressed to this run.
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
                    let message =
                        format!("{engine} accepted order {id} while {other} was unfinished");
                    return Err(Violation::new(index, message));
                }
                if order.follows != run.last {
                    let message = format!(
                        "{engine} accepted order {id}, which does not follow its last order"
                    );
                    return Err(Violation::new(index, message));
                }
                if order.incarnation != line.incarnation {
                    let message = format!(
                        "{engine} accepted order {id}, which was addressed to another incarnation"
                    );
                    return Err(Violation::new(index, message));
                }
                run.last = Some(id);
                run.unfinished = Some(id);
            }
            OrderLogEntry::Done { order, .. } if run.unfinished == Some(order.id) => {
                run.unfinished = None;
            }
            OrderLogEntry::Done { order, .. } => {
                let message = format!(
                    "{} finished order {}, which was not running",
                    line.engine, order.id
                );
                return Err(Violation::new(index, message));
            }
            OrderLogEntry::EpochRaised { .. } | OrderLogEntry::Refused { .. } => {}
        }
    }
    Ok(())
}
