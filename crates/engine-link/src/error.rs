//! Errors of exchanges.

/// Why no response head was received.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The request was not sent, so the engine did not run it.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection was refused, since nothing listens at the engine's address; nothing was sent.
    #[error("not sent: nothing listens: {0}")]
    NoListener(String),
    /// The limit on connections to the engine, of which this many are in use, was reached; nothing was
    /// sent.
    #[error("not sent: all {0} connections are in use")]
    ConnectionLimitReached(usize),
    /// The engine stopped being eligible for the request while the connection was opened; nothing was
    /// sent.
    #[error("not sent: the engine is no longer eligible for the request")]
    NotEligible,
    /// At least part of the request was sent and no valid response head was received, so the engine may
    /// have run it.
    #[error("no response: {0}")]
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

/// Why a response body could not be read to its end.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BodyError {
    /// The connection failed or closed before the end of the body.
    #[error("the response is incomplete: {0}")]
    Incomplete(String),
    /// The body cannot be decoded or exceeds the size limit.
    #[error("the response is malformed: {0}")]
    Malformed(String),
}
