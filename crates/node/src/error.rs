//! Errors of a node.

/// Why a node could not go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum NodeError {
    /// A listener could not be opened.
    #[error("could not listen on {0}")]
    Listen(String),
    /// Metrics could not be set up.
    #[error("metrics could not be set up")]
    Metrics,
    /// A signal handler could not be set up.
    #[error("signals could not be watched")]
    Signals,
    /// The arbiter of the callers' half ended.
    #[error("the callers' half ended")]
    CallersEnded,
}

/// Why a configuration was not applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ApplyError {
    /// The file has faults.
    #[error("the file has faults:\n{0}")]
    Faulty(String),
    /// Another configuration came first.
    #[error("another configuration came first")]
    Conflict,
    /// The key-value service could not be used; nothing was applied.
    #[error("the key-value service could not be used; nothing was applied")]
    Unavailable,
    /// The write's answer was lost and it could not be found out whether it took effect.
    #[error("it is not known whether the configuration was applied")]
    InDoubt,
}
