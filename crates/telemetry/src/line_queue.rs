//! Log lines that wait for the writer: bounded, and failures before samples.
//!
//! Promise: a finding is dropped only while no sample waits, so that under load no line of a failed
//! request is lost for the line of one that went well. What is dropped is counted by its message.

use std::collections::{BTreeMap, VecDeque};

/// How much a line matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinePriority {
    /// One of many like it, such as a request that went well.
    Low,
    /// A failure or a change of what the process believes.
    High,
}

/// A line of the log, with its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LogLine {
    /// How much it matters.
    pub priority: LinePriority,
    /// The event's message, by which dropped lines are counted.
    pub message: String,
    /// What is written.
    pub bytes: Vec<u8>,
}

/// Bounds of a queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LineQueueLimits {
    /// Most lines.
    pub lines: usize,
    /// Most bytes of all lines.
    pub bytes: usize,
}

/// The queue.
#[derive(Debug)]
pub struct LineQueue {
    limits: LineQueueLimits,
    findings: VecDeque<LogLine>,
    samples: VecDeque<LogLine>,
    bytes: usize,
    dropped: BTreeMap<String, u64>,
}

impl LineQueue {
    /// An empty queue.
    pub fn new(limits: LineQueueLimits) -> Self {
        Self {
            limits,
            findings: VecDeque::new(),
            samples: VecDeque::new(),
            bytes: 0,
            dropped: BTreeMap::new(),
        }
    }

    /// Takes a line in, or drops it. A finding takes the place of the oldest samples.
    pub fn push(&mut self, line: LogLine) {
        while !self.has_room(&line) {
            let gives_way = match line.priority {
                LinePriority::Low => None,
                LinePriority::High => self.samples.pop_front(),
            };
            let Some(sample) = gives_way else {
                self.count_dropped(line);
                return;
            };
            self.bytes -= sample.bytes.len();
            self.count_dropped(sample);
        }
        self.bytes += line.bytes.len();
        match line.priority {
            LinePriority::Low => self.samples.push_back(line),
            LinePriority::High => self.findings.push_back(line),
        }
    }

    /// The next line to be written: findings first, each kind in its order.
    pub fn pop(&mut self) -> Option<LogLine> {
        let line = self
            .findings
            .pop_front()
            .or_else(|| self.samples.pop_front())?;
        self.bytes -= line.bytes.len();
        Some(line)
    }

    /// Lines dropped since the last call, by message.
    pub fn take_dropped(&mut self) -> BTreeMap<String, u64> {
        std::mem::take(&mut self.dropped)
    }

    /// Lines that wait.
    pub fn len(&self) -> usize {
        self.findings.len() + self.samples.len()
    }

    /// Whether no line waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    fn has_room(&self, line: &LogLine) -> bool {
        self.len() < self.limits.lines && self.bytes + line.bytes.len() <= self.limits.bytes
    }

    fn count_dropped(&mut self, line: LogLine) {
        *self.dropped.entry(line.message).or_default() += 1;
    }
}
