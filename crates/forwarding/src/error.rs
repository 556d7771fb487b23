//! Startup errors.

/// Why a forwarding node cannot start.
#[derive(Debug, thiserror::Error)]
pub enum ForwardingError {
    /// A socket cannot be bound; carries its address.
    #[error("cannot listen on {0}")]
    Listen(String),
    /// The metrics cannot be registered.
    #[error("cannot set up metrics")]
    Metrics,
    /// A signal handler cannot be installed.
    #[error("cannot receive signals")]
    Signals,
}
