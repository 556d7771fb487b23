//! Errors that end the body of an answer early.

/// Why a body ended early. The caller's connection is closed, so that the answer does not look
/// complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum AnswerStreamError {
    /// The engine's answer broke off.
    #[error("the engine's answer broke off")]
    BrokenOff,
    /// The engine's answer ended with its connection, inside an event.
    #[error("the engine's answer ended with its connection, {pending_bytes} bytes into an event")]
    InsideEvent {
        /// Bytes received of that event.
        pending_bytes: usize,
    },
    /// An event exceeds the size limit, or there is no memory for it.
    #[error("an event of the engine's answer exceeds the size limit or the memory for answers")]
    EventTooLong,
    /// The node's shutdown ended.
    #[error("the node has shut down")]
    ShutDown,
    /// The time limit of the request was reached.
    #[error("the time limit of the request was reached")]
    TimeOver,
}
