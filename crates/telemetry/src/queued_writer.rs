//! A drain that hands lines to a thread which writes them.
//!
//! Promise: logging never waits for the writer. `slog-async` promises as much, but its queue drops
//! whatever comes when it is full, failures and samples alike.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, Level, OwnedKVList, Record};

use crate::event::Event;
use crate::line_queue::{LinePriority, LineQueue, LineQueueLimits, LogLine};

/// Bounds of the queue. A line has some 300 bytes, at most a few thousand.
const LIMITS: LineQueueLimits = LineQueueLimits {
    lines: 4_096,
    bytes: 2 << 20,
};

/// Most lines taken from the queue for one write.
const WRITTEN_AT_ONCE: usize = 32;

/// How often dropped lines are told of.
const TELL_DROPPED: Duration = Duration::from_secs(1);

/// Time that the end of the process leaves to a writer that is behind.
const FLUSH_WITHIN: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct State {
    queue: LineQueue,
    is_writing: bool,
    is_closed: bool,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    changed: Condvar,
}

impl Shared {
    /// The state. A panic between two steps on it leaves it usable.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes each record as one JSON line, from a thread of its own.
#[derive(Debug)]
pub struct QueuedWriter {
    shared: Arc<Shared>,
    started: Instant,
}

impl QueuedWriter {
    /// Starts the thread that writes to `output`.
    pub fn start(output: impl Write + Send + 'static) -> Self {
        let state = State {
            queue: LineQueue::new(LIMITS),
            is_writing: false,
            is_closed: false,
        };
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
        });
        let writing = Arc::clone(&shared);
        std::thread::spawn(move || write_lines(&writing, output));
        Self {
            shared,
            started: Instant::now(),
        }
    }

    fn line(&self, record: &Record<'_>, values: &OwnedKVList) -> std::io::Result<Vec<u8>> {
        let mut bytes = Vec::with_capacity(512);
        let since_start_ms = self.started.elapsed().as_millis() as u64;
        let json = slog_json::Json::new(&mut bytes)
            .add_default_keys()
            .add_key_value(slog::o!("since_start_ms" => since_start_ms))
            .build();
        json.log(record, values)?;
        Ok(bytes)
    }
}

impl Drain for QueuedWriter {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, values: &OwnedKVList) -> Result<(), slog::Never> {
        // A value that cannot be told is left out with its line.
        let Ok(bytes) = self.line(record, values) else {
            return Ok(());
        };
        let priority = if record.level() == Level::Debug {
            LinePriority::Low
        } else {
            LinePriority::High
        };
        let line = LogLine {
            priority,
            message: record.msg().to_string(),
            bytes,
        };
        self.shared.lock().queue.push(line);
        self.shared.changed.notify_all();
        Ok(())
    }
}

impl Drop for QueuedWriter {
    fn drop(&mut self) {
        let mut state = self.shared.lock();
        state.is_closed = true;
        self.shared.changed.notify_all();
        let until = Instant::now() + FLUSH_WITHIN;
        while state.is_writing || !state.queue.is_empty() {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return;
            }
            let waited = self.shared.changed.wait_timeout(state, left);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn write_lines(shared: &Shared, mut output: impl Write) {
    let mut told = Instant::now();
    while let Some(mut lines) = next_lines(shared) {
        if told.elapsed() >= TELL_DROPPED {
            told = Instant::now();
            lines.extend(dropped_line(shared));
        }
        // Nobody is left to be told of an output that cannot be written.
        let _ = output.write_all(&lines);
        let _ = output.flush();
        shared.lock().is_writing = false;
        shared.changed.notify_all();
    }
}

/// Waits for lines and takes some; `None` once the drain is gone and all is written.
fn next_lines(shared: &Shared) -> Option<Vec<u8>> {
    let mut state = shared.lock();
    while state.queue.is_empty() {
        if state.is_closed {
            return None;
        }
        let waited = shared.changed.wait(state);
        state = waited.unwrap_or_else(PoisonError::into_inner);
    }
    state.is_writing = true;
    let lines = std::iter::from_fn(|| state.queue.pop()).take(WRITTEN_AT_ONCE);
    Some(lines.flat_map(|line| line.bytes).collect())
}

/// A line that says what was dropped since the last one.
fn dropped_line(shared: &Shared) -> Vec<u8> {
    let dropped = shared.lock().queue.take_dropped();
    if dropped.is_empty() {
        return Vec::new();
    }
    let event = Event::LogLinesDropped;
    let line = serde_json::json!({
        "msg": event.message(),
        "level": event.level().as_short_str(),
        "ts": jiff::Timestamp::now().to_string(),
        "event": event.number(),
        "dropped": dropped,
    });
    format!("{line}\n").into_bytes()
}
