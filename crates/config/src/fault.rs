//! Faults of a file, all listed at once.

use std::fmt;

/// One fault of a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Line of the file, counted from 1; 0 where the fault has no single place.
    pub line: usize,
    /// Dotted path of the value.
    pub path: String,
    /// What is wrong and what would be right.
    pub message: String,
}

impl Fault {
    /// A fault at a known line.
    pub fn new(line: usize, path: impl Into<String>, message: impl Into<String>) -> Self {
        Self {
            line,
            path: path.into(),
            message: message.into(),
        }
    }
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

/// Every fault found in one file.
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

/// Line (from 1) that holds byte `offset` of `text`.
pub(crate) fn line_of(text: &str, offset: usize) -> usize {
    let end = offset.min(text.len());
    text.as_bytes()[..end]
        .iter()
        .filter(|byte| **byte == b'\n')
        .count()
        + 1
}
