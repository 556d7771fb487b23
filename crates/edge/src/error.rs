//! Errors of calls to external systems.

use std::time::Duration;

/// Why a call failed. The variants differ in what is known about the effect of the call.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// Nothing was sent, so the call had no effect.
    #[error("{system} could not be reached: {message}")]
    Unreachable {
        system: &'static str,
        message: String,
    },
    /// The system rate-limited the call, which had no effect.
    #[error("{system} refused the call; retry after {retry_after:?}")]
    RateLimited {
        system: &'static str,
        retry_after: Duration,
    },
    /// The system reported that it is out of service; the call had no effect.
    #[error("{system} is out of service")]
    OutOfService {
        system: &'static str,
        /// Time to wait before the next call, if the system gave one.
        retry_after: Option<Duration>,
    },
    /// The system rejected the call as invalid; it had no effect.
    #[error("{system} rejected the call: {message}")]
    Rejected {
        system: &'static str,
        message: String,
    },
    /// The call was sent and no usable answer came: a write may or may not have taken effect.
    #[error("the effect of the call to {system} is not known: {message}")]
    InDoubt {
        system: &'static str,
        message: String,
    },
    /// The answer could not be parsed: a write may have taken effect.
    #[error("{system} sent a malformed answer: {message}")]
    Malformed {
        system: &'static str,
        message: String,
    },
}

impl PlatformError {
    /// Whether a write that failed with this error may have taken effect.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self, Self::InDoubt { .. } | Self::Malformed { .. })
    }
}
