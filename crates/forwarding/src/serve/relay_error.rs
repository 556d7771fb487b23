//! Why the body of an answer ends before it is whole.

/// Why a body ends before it is whole. It ends the caller's connection, so that the answer does not
/// look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum RelayError {
    /// The engine's answer broke off.
    #[error("the engine's answer broke off")]
    BrokenOff,
    /// The time of the request is over.
    #[error("the time of the request is over")]
    TimeOver,
}
