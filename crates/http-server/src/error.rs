//! Errors of the HTTP layer.

use actix_http::StatusCode;

/// Why a request could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpServerError {
    /// The body is larger than the limit, in bytes.
    #[error("the body is larger than {limit} bytes")]
    BodyTooLarge { limit: usize },
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
            Self::BodyUnreadable(_) | Self::InvalidJson { .. } => StatusCode::BAD_REQUEST,
        }
    }
}
