//! Errors as callers see them.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use dalestand_http_server::{Answer, HttpServerError, json_answer};
use dalestand_types::RunState;

use crate::openai::{ErrorBody, ErrorDetail};

/// Header that says whether a failed request ran.
pub(crate) const RUN_STATE_HEADER: HeaderName = HeaderName::from_static("x-dalestand-run-state");

/// Why a request got no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallerError {
    /// The request is wrong.
    #[error("{message}")]
    Invalid {
        param: Option<String>,
        message: String,
    },
    /// The body is too large.
    #[error("{0}")]
    TooLarge(String),
    /// No tenant has this key.
    #[error("the key is missing or not known")]
    Unauthorized,
    /// No such path.
    #[error("no such path")]
    NotFound,
    /// No such model.
    #[error("model {0} is not served here")]
    UnknownModel(String),
    /// The node cannot take requests now.
    #[error("{message}")]
    Unavailable {
        message: String,
        retry_after: Duration,
    },
    /// The fleet cannot take the request now.
    #[error("{message}")]
    Overloaded {
        message: String,
        retry_after: Duration,
    },
    /// The request was sent and its result is not known.
    #[error("the result is not known: {0}")]
    Unknown(String),
}

impl CallerError {
    /// What is known of whether the request ran.
    pub fn run_state(&self) -> RunState {
        match self {
            Self::Unknown(_) => RunState::Unknown,
            _ => RunState::NotRun,
        }
    }

    /// The answer to the caller.
    pub fn answer(&self) -> Answer {
        let (status, kind, code) = self.classes();
        let param = match self {
            Self::Invalid { param, .. } => param.clone(),
            Self::UnknownModel(_) => Some("model".to_owned()),
            _ => None,
        };
        let error = ErrorDetail {
            message: self.to_string(),
            kind,
            param,
            code,
        };
        let mut answer = json_answer(status, &ErrorBody { error });
        let run_state = HeaderValue::from_static(self.run_state().as_str());
        answer.headers_mut().insert(RUN_STATE_HEADER, run_state);
        if let Some(wait) = self.retry_after() {
            let seconds = wait.as_millis().div_ceil(1_000).max(1) as u64;
            answer
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        answer
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Unavailable { retry_after, .. } | Self::Overloaded { retry_after, .. } => {
                Some(*retry_after)
            }
            _ => None,
        }
    }

    fn classes(&self) -> (StatusCode, &'static str, &'static str) {
        match self {
            Self::Invalid { .. } => (
                StatusCode::BAD_REQUEST,
                "invalid_request_error",
                "invalid_value",
            ),
            Self::TooLarge(_) => (
                StatusCode::PAYLOAD_TOO_LARGE,
                "invalid_request_error",
                "body_too_large",
            ),
            Self::Unauthorized => (
                StatusCode::UNAUTHORIZED,
                "authentication_error",
                "invalid_api_key",
            ),
            Self::NotFound => (StatusCode::NOT_FOUND, "invalid_request_error", "not_found"),
            Self::UnknownModel(_) => (
                StatusCode::NOT_FOUND,
                "invalid_request_error",
                "model_not_found",
            ),
            Self::Unavailable { .. } => (
                StatusCode::SERVICE_UNAVAILABLE,
                "service_unavailable",
                "unavailable",
            ),
            Self::Overloaded { .. } => (
                StatusCode::TOO_MANY_REQUESTS,
                "rate_limit_error",
                "overloaded",
            ),
            Self::Unknown(_) => (StatusCode::BAD_GATEWAY, "server_error", "result_unknown"),
        }
    }
}

impl From<HttpServerError> for CallerError {
    fn from(error: HttpServerError) -> Self {
        match error {
            HttpServerError::BodyTooLarge { .. } => Self::TooLarge(error.to_string()),
            HttpServerError::BodyUnreadable(message) => Self::Invalid {
                param: None,
                message,
            },
            HttpServerError::InvalidJson { field, message } => Self::Invalid {
                param: Some(field),
                message,
            },
        }
    }
}
