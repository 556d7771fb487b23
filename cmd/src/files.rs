//! Reads files and formats their faults.

use std::path::Path;

use dalestand_config::Faults;

/// A file could not be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileError {
    /// The file could not be read.
    #[error("{path}: {message}")]
    Unreadable { path: String, message: String },
    /// The file has faults.
    #[error("{}", listing(path, faults))]
    Faulty { path: String, faults: Faults },
}

impl FileError {
    /// An error with the faults of the file at `path`.
    pub fn faulty(path: &str, faults: Faults) -> Self {
        Self::Faulty {
            path: path.to_owned(),
            faults,
        }
    }
}

/// Reads a whole text file.
pub fn read(path: &str) -> Result<String, FileError> {
    std::fs::read_to_string(Path::new(path)).map_err(|error| FileError::Unreadable {
        path: path.to_owned(),
        message: error.to_string(),
    })
}

/// One fault per line, each prefixed with the file's path.
fn listing(path: &str, faults: &Faults) -> String {
    let lines: Vec<String> = faults
        .0
        .iter()
        .map(|fault| format!("{path}: {fault}"))
        .collect();
    lines.join("\n")
}
