//! Bounded queue of log lines with two priorities.
//!
//! A high-priority line is dropped only while no low-priority line is queued, so that under load, lines of
//! successful requests never displace lines of failed ones. Dropped lines are counted by message.

use std::collections::{BTreeMap, VecDeque};

/// Priority of a log line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinePriority {
    /// Routine lines, such as those of successful requests.
    Low,
    /// Failures and changes of the process's state.
    High,
}

/// A formatted log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    pub priority: LinePriority,
    /// The event's message; dropped lines are counted by it.
    pub message: String,
    /// The line including its newline.
    pub bytes: Vec<u8>,
}

/// Limits of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineQueueLimits {
    /// Maximum number of lines.
    pub lines: usize,
    /// Maximum total size of all lines, in bytes.
    pub bytes: usize,
}

/// Queue of log lines; see the module documentation.
#[derive(Debug)]
pub struct LineQueue {
    limits: LineQueueLimits,
    high_priority: VecDeque<LogLine>,
    low_priority: VecDeque<LogLine>,
    bytes: usize,
    dropped: BTreeMap<String, u64>,
}

impl LineQueue {
    /// An empty queue.
    pub fn new(limits: LineQueueLimits) -> Self {
        Self {
            limits,
            high_priority: VecDeque::new(),
            low_priority: VecDeque::new(),
            bytes: 0,
            dropped: BTreeMap::new(),
        }
    }

    /// Adds a line or drops it. A high-priority line evicts the oldest low-priority lines if necessary.
    pub fn push(&mut self, line: LogLine) {
        while !self.has_capacity(&line) {
            let evicted = match line.priority {
                LinePriority::Low => None,
                LinePriority::High => self.low_priority.pop_front(),
            };
            let Some(evicted) = evicted else {
                self.count_dropped(line);
                return;
            };
            self.bytes -= evicted.bytes.len();
            self.count_dropped(evicted);
        }
        self.bytes += line.bytes.len();
        match line.priority {
            LinePriority::Low => self.low_priority.push_back(line),
            LinePriority::High => self.high_priority.push_back(line),
        }
    }

    /// Removes the next line to write: high priority first, in order of arrival within a priority.
    pub fn pop(&mut self) -> Option<LogLine> {
        let line = self
            .high_priority
            .pop_front()
            .or_else(|| self.low_priority.pop_front())?;
        self.bytes -= line.bytes.len();
        Some(line)
    }

    /// Numbers of lines dropped since the last call, by message.
    pub fn take_dropped(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.dropped)
    }

    /// Number of queued lines.
    pub fn len(&self) -> usize {
        self.high_priority.len() + self.low_priority.len()
    }

    /// Whether no line is queued.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn has_capacity(&self, line: &LogLine) -> bool {
        self.len() < self.limits.lines && self.bytes + line.bytes.len() <= self.limits.bytes
    }

    fn count_dropped(&mut self, line: LogLine) {
        *self.dropped.entry(line.message).or_default() += 1;
    }
}
