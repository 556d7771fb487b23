//! Errors of exchanges.

use crate::response_head::MalformedResponse;

/// Why no response head was received.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// The request was not sent, so the engine did not run it.
    #[error("not sent: {0}")]
    NotSent(String),
    /// The connection was refused, since nothing listens at the engine's address; nothing was sent.
    #[error("not sent: nothing listens: {0}")]
    NoListener(String),
    /// The connection was refused, which no other node confirms: this node may be cut off. Nothing was sent.
    #[error("not sent: refused, which no other node confirms: {0}")]
    Refused(String),
    /// No further connection to the engine may be opened beside this many in use, by the limit or since the engine resets
    /// new ones; nothing was sent.
    #[error("not sent: no connection beside {0} in use")]
    ConnectionLimitReached(usize),
    /// The engine stopped being eligible for the request while the connection was opened; nothing was
    /// sent.
    #[error("not sent: the engine is no longer eligible for the request")]
    NotEligible,
    /// The engine reset a new connection, as it does with those that it has no room for. At least part of the request was
    /// sent, so it may have run.
    #[error("the new connection was reset: {0}")]
    ResetWhenNew(String),
    /// A response to another call came in the place of this one's, and could not be skipped. The engine may have run the request.
    #[error("no response: {0}")]
    StrayResponse(String),
    /// What came in the place of a response is not one, and nothing of it is used. The engine may have run the request.
    #[error("no response: {0}")]
    Malformed(#[from] MalformedResponse),
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
                | Self::Refused(_)
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
