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
    CallerServerEnded,
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

/// Why a drain mark was not set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DrainError {
    /// The key-value service could not be used; nothing was changed.
    #[error("the key-value service could not be used; nothing was changed")]
    Unavailable,
    /// The write's answer was lost; setting the mark again is safe.
    #[error("it is not known whether the mark was set; setting it again is safe")]
    InDoubt,
    /// Other writes came first again and again; nothing was changed.
    #[error("other changes came first; nothing was changed")]
    Contended,
    /// The record of all marks cannot be read or written.
    #[error("the record of drain marks is unreadable")]
    Unreadable,
}
