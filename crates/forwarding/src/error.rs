//! Why a forwarding node cannot start.

/// Why a forwarding node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ForwardingError {
    /// A socket could not be opened.
    #[error("cannot listen on {0}")]
    Listen(String),
    /// Metrics cannot be set up.
    #[error("cannot set up metrics")]
    Metrics,
    /// Signals cannot be received.
    #[error("cannot receive signals")]
    Signals,
}
