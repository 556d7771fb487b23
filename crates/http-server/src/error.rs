//! Errors of the HTTP layer.

use actix_http::StatusCode;
use dalestand_request_bodies::{Displaced, NoMemory};

/// Why a request could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum HttpServerError {
    /// The body is larger than `limit` bytes.
    #[error("the body is larger than {limit} bytes")]
    BodyTooLarge { limit: usize },
    /// Arrays and objects in the body are nested too deeply.
    #[error("the body is nested deeper than {limit} levels")]
    BodyTooDeep { limit: usize },
    /// The body did not arrive within the time limit.
    #[error("the body did not arrive in time")]
    BodyTooSlow,
    /// There is no memory for the body.
    #[error(transparent)]
    NoMemory(#[from] NoMemory),
    /// The body gave way to others before it had been received.
    #[error(transparent)]
    Displaced(#[from] Displaced),
    /// The connection failed while the body was being read.
    #[error("the body could not be read: {0}")]
    BodyUnreadable(String),
    /// The body is not valid JSON of the expected type; `field` is the path of the invalid value.
    #[error("{field}: {message}")]
    InvalidJson { field: String, message: String },
}

impl HttpServerError {
    /// The HTTP status of the answer.
    pub fn status(&self) -> StatusCode {
        match self {
            Self::BodyTooLarge { .. } => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoMemory(_) | Self::Displaced(_) => StatusCode::SERVICE_UNAVAILABLE,
            Self::BodyTooSlow => StatusCode::REQUEST_TIMEOUT,
            Self::BodyTooDeep { .. } | Self::BodyUnreadable(_) | Self::InvalidJson { .. } => {
                StatusCode::BAD_REQUEST
            }
        }
    }
}
