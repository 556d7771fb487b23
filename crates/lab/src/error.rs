//! Errors of the commands.

/// Error of a `dalestand-lab` command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LabError {
    /// A flag or a scenario file is invalid; nothing was run.
    #[error("{0}")]
    Usage(String),
    /// The command failed while it ran.
    #[error("{0}")]
    Failed(String),
}
