//! Errors of calls to the outside systems.

use std::time::Duration;

/// Why a call failed, by what is known of its effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum PlatformError {
    /// Nothing was sent: the call had no effect.
    #[error("{system} could not be reached: {message}")]
    Unreachable {
        system: &'static str,
        message: String,
    },
    /// The system refused the call for now: it had no effect.
    #[error("{system} refused the call; retry after {retry_after:?}")]
    RateLimited {
        system: &'static str,
        retry_after: Duration,
    },
    /// The system is out of service and said so: the call had no effect.
    #[error("{system} is out of service")]
    OutOfService {
        system: &'static str,
        /// When it may be called again, where it says so.
        retry_after: Option<Duration>,
    },
    /// The system rejected the call as wrong: it had no effect.
    #[error("{system} rejected the call: {message}")]
    Rejected {
        system: &'static str,
        message: String,
    },
    /// The call was sent and no answer came: a write may or may not have taken effect.
    #[error("{system} gave no answer; the effect of the call is in doubt: {message}")]
    InDoubt {
        system: &'static str,
        message: String,
    },
    /// The answer could not be understood: a write may have taken effect.
    #[error("{system} gave an answer that cannot be understood: {message}")]
    Malformed {
        system: &'static str,
        message: String,
    },
}

impl PlatformError {
    /// Whether a write under this error may have taken effect.
    pub fn is_in_doubt(&self) -> bool {
        matches!(self, Self::InDoubt { .. } | Self::Malformed { .. })
    }
}
