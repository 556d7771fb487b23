//! Reading files and listing their faults.

use std::path::Path;

use dalestand_config::Faults;

/// Why a file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FileError {
    /// It cannot be read.
    #[error("{path}: {message}")]
    Unreadable { path: String, message: String },
    /// It has faults.
    #[error("{}", listing(path, faults))]
    Faulty { path: String, faults: Faults },
}

impl FileError {
    /// The faults of the file at `path`.
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

/// One fault a line, each with the file's name before it.
fn listing(path: &str, faults: &Faults) -> String {
    let lines: Vec<String> = faults
        .0
        .iter()
        .map(|fault| format!("{path}: {fault}"))
        .collect();
    lines.join("\n")
}
