//! Faults of a file, all listed at once.

use std::collections::BTreeMap;
use std::fmt;

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line of the file, counted from 1; 0 where the fault has no single place.
    pub line: usize,
    /// Path of the value, such as `pool[1].models`.
    pub path: String,
    /// What is wrong and what would be right.
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

/// Every fault found in one file, by line.
#[derive(Clone, Debug, Default, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.listing())]
pub struct Faults(pub Vec<Fault>);

impl Faults {
    /// One fault a line.
    pub fn listing(&self) -> String {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        lines.join("\n")
    }
}

/// Collects faults and knows on which line each value of the file stands.
#[derive(Debug, Default)]
pub(crate) struct FaultCollector {
    faults: Vec<Fault>,
    places: BTreeMap<String, usize>,
}

impl FaultCollector {
    /// Notes that the value at `path` stands on `line`.
    pub(crate) fn note_place(&mut self, path: String, line: usize) {
        self.places.insert(path, line);
    }

    /// Whether a value stands at `path`.
    pub(crate) fn has_place(&self, path: &str) -> bool {
        self.places.contains_key(path)
    }

    /// Adds a fault of the value at `path`, or of the nearest value around it that has a place.
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

    /// The value if there was no fault, else all faults in the order of the file.
    pub(crate) fn conclude<T>(mut self, value: T) -> Result<T, Faults> {
        if self.faults.is_empty() {
            return Ok(value);
        }
        self.faults.sort_by_key(|fault| fault.line);
        Err(Faults(self.faults))
    }

    fn line_of(&self, path: &str) -> usize {
        let mut around = path;
        loop {
            if let Some(line) = self.places.get(around) {
                return *line;
            }
            match around.rfind(['.', '[']) {
                Some(end) => around = &around[..end],
                None => return 0,
            }
        }
    }
}
