//! Why an exchange failed.

/// Why no answer's head came.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request went out: the engine did not run it.
    #[error("not sent: {0}")]
    NotSent(String),
    /// Nothing listens at the engine's address: nothing went out.
    #[error("not sent: nothing listens: {0}")]
    NoListener(String),
    /// As many connections to the engine are open as this node may have: nothing went out.
    #[error("not sent: all {0} connections are in use")]
    ConnectionLimitReached(usize),
    /// The engine was closed to the request while a connection to it was being made: nothing went out.
    #[error("not sent: the engine takes no requests any more")]
    NotEligible,
    /// Bytes went out and no answer came: the engine may have run it.
    #[error("no answer: {0}")]
    MayHaveRun(String),
}

impl SendError {
    /// Whether it is certain that the engine did not run the request.
    pub fn is_not_sent(&self) -> bool {
        matches!(
            self,
            Self::NotSent(_)
                | Self::NoListener(_)
                | Self::ConnectionLimitReached(_)
                | Self::NotEligible
        )
    }
}

/// Why an answer's body is not whole.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection ended before the body did.
    #[error("the answer broke off: {0}")]
    BrokenOff(String),
    /// The bytes are no body.
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
}
