//! Errors of a node.

/// Why a node failed to start or stopped.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NodeError {
    /// A listener could not be opened.
    #[error("could not listen on {0}")]
    Listen(String),
    /// The metrics registry could not be set up.
    #[error("could not set up metrics")]
    Metrics,
    /// A signal handler could not be set up.
    #[error("could not install signal handlers")]
    Signals,
    #[error("the caller server ended")]
    CallerServerEnded,
}

/// Why a configuration was not applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    #[error("the deployment file is invalid:\n{0}")]
    Faulty(String),
    /// The current configuration is not the one that was expected to be replaced.
    #[error("another configuration was applied first")]
    Conflict,
    #[error("the key-value service failed; nothing was applied")]
    Unavailable,
    /// The answer to the write was lost, and it could not be determined whether it took effect.
    #[error("it is not known whether the configuration was applied")]
    InDoubt,
}

/// Why a drain mark was not set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DrainError {
    #[error("the key-value service failed; nothing was changed")]
    Unavailable,
    /// The answer to the write was lost; setting the mark again is safe.
    #[error("it is not known whether the mark was set; setting it again is safe")]
    InDoubt,
    /// Every attempt conflicted with another write; nothing was changed.
    #[error("conflicting changes by others; nothing was changed")]
    Contended,
    /// The stored record of all marks is malformed.
    #[error("the stored record of drain marks is malformed")]
    Unreadable,
}
