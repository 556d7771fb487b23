//! History of a concurrent run, and checkers that find the first violation in it.
//!
//! A [`History`] holds events in the order one recorder saw them. Each module under [`checks`]
//! holds one checker: a pure function from a history to its first [`Violation`].

mod engine_log;
mod event;
mod recorder;

pub mod checks;

pub use engine_log::{EngineLogEntry, EngineLogLine, OrderLogEntry, RunLogEntry, RunLogEvent};
pub use event::{Event, History, RecordedEvent, RequestEnd, Violation};
pub use recorder::Recorder;
