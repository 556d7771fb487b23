//! Errors that end the body of an answer early.

/// Why a body ended early. The caller's connection is closed, so that the answer does not look
/// complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AnswerStreamError {
    /// The engine's answer broke off.
    #[error("the engine's answer broke off")]
    BrokenOff,
    /// The time limit of the request was reached.
    #[error("the time limit of the request was reached")]
    TimeOver,
}
