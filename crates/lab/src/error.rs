//! Errors of experiments.

/// Why an experiment could not be run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LabError {
    /// A flag or a file is wrong; nothing was run.
    #[error("{0}")]
    Usage(String),
    /// The experiment could not be carried out.
    #[error("{0}")]
    Failed(String),
}
