//! Records events of several threads in one history.

use std::io::BufRead;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use dalestand_types::MonotonicTime;

use crate::engine_log::EngineLogLine;
use crate::event::{Event, History, RecordedEvent};

/// Records a history; clones share it.
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
        // Read the clock under the lock, so that times never decrease.
        let at = MonotonicTime(self.started.elapsed().as_micros() as u64);
        history.events.push(RecordedEvent { at, event });
    }

    /// Records the log lines in an engine's output until its end. Other lines are skipped.
    pub fn record_engine(&self, output: impl BufRead) {
        for line in output.lines().map_while(Result::ok) {
            if let Ok(line) = serde_json::from_str::<EngineLogLine>(&line) {
                self.record(Event::Engine(line));
            }
        }
    }

    /// A copy of the history so far.
    pub fn history(&self) -> History {
        let history = self.history.lock().unwrap_or_else(PoisonError::into_inner);
        history.clone()
    }
}
