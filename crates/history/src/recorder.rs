//! Collects events of several threads into one history.

use std::io::BufRead;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use dalestand_types::MonotonicTime;

use crate::engine_log::EngineLogLine;
use crate::event::{Event, History, RecordedEvent};

/// A history that is being recorded; clones record into the same one.
#[derive(Clone)]
pub struct Recorder {
    started: Instant,
    history: Arc<Mutex<History>>,
}

impl Default for Recorder {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            history: Arc::default(),
        }
    }
}

impl Recorder {
    /// Records one event.
    pub fn record(&self, event: Event) {
        let mut history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        // Read under the lock, so that times never fall.
        let at = MonotonicTime(self.started.elapsed().as_micros() as u64);
        history.events.push(RecordedEvent { at, event });
    }

    /// Records what an engine prints, until it ends. Lines of another kind are skipped.
    pub fn record_engine(&self, output: impl BufRead) {
        for line in output.lines().map_while(Result::ok) {
            if let Ok(line) = serde_json::from_str::<EngineLogLine>(&line) {
                self.record(Event::Engine(line));
            }
        }
    }

    /// The history so far.
    pub fn history(&self) -> History {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.clone()
    }
}
