//! Append-only logs of the attempts and orders of an engine.

use std::cell::RefCell;
use std::io::Write as _;

use dalestand_history::{EngineLogEntry, EngineLogLine};
pub use dalestand_history::{OrderLogEntry, RunLogEntry, RunLogEvent};
use dalestand_types::{EngineId, Incarnation};

/// Logs of one engine incarnation.
pub(crate) struct EngineLogs {
    engine: EngineId,
    incarnation: Incarnation,
    to_stdout: bool,
    /// Events of attempts.
    pub(crate) runs: RefCell<Vec<RunLogEntry>>,
    /// Orders received and epochs raised.
    pub(crate) orders: RefCell<Vec<OrderLogEntry>>,
}

impl EngineLogs {
    /// Creates empty logs. With `to_stdout`, entries are also printed as JSON lines, which outlive
    /// the process.
    pub(crate) fn new(engine: EngineId, incarnation: Incarnation, to_stdout: bool) -> Self {
        Self {
            engine,
            incarnation,
            to_stdout,
            runs: RefCell::default(),
            orders: RefCell::default(),
        }
    }

    /// Appends to the run log.
    pub(crate) fn push_run(&self, entry: RunLogEntry) {
        self.print(|| EngineLogEntry::Run(entry.clone()));
        self.runs.borrow_mut().push(entry);
    }

    /// Appends to the order log.
    pub(crate) fn push_order(&self, entry: OrderLogEntry) {
        self.print(|| EngineLogEntry::Order(entry.clone()));
        self.orders.borrow_mut().push(entry);
    }

    fn print(&self, entry: impl FnOnce() -> EngineLogEntry) {
        if !self.to_stdout {
            return;
        }
        let line = EngineLogLine {
            engine: self.engine.clone(),
            incarnation: self.incarnation,
            entry: entry(),
        };
        if let Ok(mut text) = serde_json::to_vec(&line) {
            text.push(b'\n');
            // The engine keeps running when the reader of its output is gone.
            let _ = std::io::stdout().lock().write_all(&text);
        }
    }
}
