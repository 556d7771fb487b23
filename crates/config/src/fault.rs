//! Faults found in a file, collected so that they are reported together.

use std::collections::BTreeMap;
use std::fmt;

/// A fault in a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line of the fault, counted from 1; 0 if it has no single location.
    pub line: usize,
    /// Path of the value, such as `pool[1].models`.
    pub path: String,
    /// The problem and how to correct it.
    pub message: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.line > 0 {
            write!(formatter, "line {}: ", self.line)?;
        }
        if !self.path.is_empty() {
            write!(formatter, "{}: ", self.path)?;
        }
        formatter.write_str(&self.message)
    }
}

/// All faults found in a file, sorted by line.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.listing())]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// The faults as text, one per line.
    pub fn listing(&self) -> String {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }
}

/// Collects faults and records the line of each value in the file.
#[derive(Debug, Default)]
pub(crate) struct FaultCollector {
    faults: Vec<Fault>,
    lines_by_path: BTreeMap<String, usize>,
}

impl FaultCollector {
    /// Records that the value at `path` is on `line`.
    pub(crate) fn record_line(&mut self, path: String, line: usize) {
        self.lines_by_path.insert(path, line);
    }

    /// Whether the file has a value at `path`.
    pub(crate) fn has_value(&self, path: &str) -> bool {
        self.lines_by_path.contains_key(path)
    }

    /// Adds a fault of the value at `path`, located at the value or else at its nearest enclosing value.
    pub(crate) fn add(&mut self, path: impl Into<String>, message: impl Into<String>) {
        let path = path.into();
        let line = self.line_of(&path);
        self.faults.push(Fault {
            line,
            path,
            message: message.into(),
        });
    }

    /// Adds a fault on a known line.
    pub(crate) fn add_at(&mut self, line: usize, path: String, message: String) {
        self.faults.push(Fault {
            line,
            path,
            message,
        });
    }

    /// Returns `value` if there are no faults, otherwise the faults sorted by line.
    pub(crate) fn finish<T>(mut self, value: T) -> Result<T, Faults> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(Faults(self.faults))
    }

    fn line_of(&self, path: &str) -> usize {
        let mut enclosing = path;
        loop {
            if let Some(line) = self.lines_by_path.get(enclosing) {
                return *line;
            }
            match enclosing.rfind(['.', '[']) {
                Some(end) => enclosing = &enclosing[..end],
                None => return 0,
            }
        }
    }
}
