//! Errors of the HTTP layer.

use actix_http::StatusCode;

/// Why a request could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpServerError {
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {limit} bytes")]
    BodyTooLarge { limit: usize },
    /// Lists and objects lie too deep within each other.
    #[error("the body is nested deeper than {limit} levels")]
    BodyTooDeep { limit: usize },
    /// The body did not come within the time allowed.
    #[error("the body came too slowly")]
    BodyTooSlow,
    /// The connection failed while the body was read.
    #[error("the body could not be read: {0}")]
    BodyUnreadable(String),
    /// The body is not what was expected; `field` is the path of the offending value.
    #[error("{field}: {message}")]
    InvalidJson { field: String, message: String },
}

impl HttpServerError {
    /// The status to answer with.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooDeep { .. } | Self::BodyUnreadable(_) | Self::InvalidJson { .. } => {
                StatusCode::BAD_REQUEST
            }
        }
    }
}
