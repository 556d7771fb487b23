//! Histories of test runs with concurrent processes, and checkers that find the first violation in them.
//!
//! A [`History`] holds events in the order in which one recorder received them. A checker under [`checks`] is a
//! pure function that returns the first [`Violation`] in a history.

mod engine_log;
mod event;
mod recorder;

pub mod checks;

pub use engine_log::{EngineLogEntry, EngineLogLine, OrderLogEntry, RunLogEntry, RunLogEvent};
pub use event::{Event, History, RecordedEvent, RequestEnd, Violation};
pub use recorder::Recorder;
