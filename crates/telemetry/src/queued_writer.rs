//! A `slog` drain that queues lines for a writer thread, so that logging never waits for the output.
//!
//! `slog-async` does not wait either, but when its queue is full it drops new records whatever their priority.

use std::io::Write;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slog::{Drain, Level, OwnedKVList, Record};

use crate::event::Event;
use crate::line_queue::{LinePriority, LineQueue, LineQueueLimits, LogLine};

/// Limits of the queue. Lines are typically about 300 bytes and at most a few thousand.
const LIMITS: LineQueueLimits = LineQueueLimits {
    lines: 4_096,
    bytes: 2 << 20,
};

/// Maximum number of lines per write.
const LINES_PER_WRITE: usize = 32;

/// Minimum interval between reports of dropped lines.
const DROPPED_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum wait for queued lines to be written when the drain is dropped.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

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
    /// Locks the state. A poisoned lock is usable, since the state is consistent after every step.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writes each record as one JSON line on a separate thread.
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

    fn format_line(&self, record: &Record<'_>, values: &OwnedKVList) -> std::io::Result<Vec<u8>> {
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
        // Skip records that cannot be formatted.
        let Ok(bytes) = self.format_line(record, values) else {
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
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        while state.is_writing || !state.queue.is_empty() {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return;
            }
            let waited = self.shared.changed.wait_timeout(state, remaining);
            state = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

fn write_lines(shared: &Shared, mut output: impl Write) {
    let mut reported_at = Instant::now();
    while let Some(mut lines) = next_lines(shared) {
        if reported_at.elapsed() >= DROPPED_REPORT_INTERVAL {
            reported_at = Instant::now();
            lines.extend(dropped_line(shared));
        }
        // A failure to write the log cannot be logged.
        let _ = output.write_all(&lines);
        let _ = output.flush();
        shared.lock().is_writing = false;
        shared.changed.notify_all();
    }
}

/// Waits for lines and removes a batch from the queue; `None` once the drain is dropped and the queue is empty.
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
    let lines = std::iter::from_fn(|| state.queue.pop()).take(LINES_PER_WRITE);
    Some(lines.flat_map(|line| line.bytes).collect())
}

/// A log line with the numbers of lines dropped since the last report; empty if there are none.
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
