//! Errors returned to callers.

use std::time::Duration;

use actix_http::StatusCode;
use actix_http::header::{HeaderName, HeaderValue, RETRY_AFTER};
use dalestand_http_server::{Answer, HttpServerError, json_answer};
use dalestand_types::{RequestId, RunState};

use crate::openai::{ErrorBody, ErrorDetail};

/// Header that states whether a failed request ran.
pub(crate) const RUN_STATE_HEADER: HeaderName = HeaderName::from_static("x-dalestand-run-state");

/// Retry delay of a request for whose body there was no memory. By then bodies without progress have given way.
const BODY_MEMORY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Why a request failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CallerError {
    /// The request is invalid.
    #[error("{message}")]
    Invalid {
        param: Option<String>,
        message: String,
    },
    /// The request body is too large.
    #[error("{0}")]
    TooLarge(String),
    /// The request body did not arrive in time.
    #[error("{0}")]
    TooSlow(String),
    /// The API key is missing, or no tenant has it.
    #[error("the API key is missing or unknown")]
    Unauthorized,
    /// No such path.
    #[error("no such path")]
    NotFound,
    /// The path does not support this method.
    #[error("the path does not support this method")]
    WrongMethod,
    /// No such model.
    #[error("model {0} is not served")]
    UnknownModel(String),
    /// The node cannot accept requests now.
    #[error("{message}")]
    Unavailable {
        message: String,
        retry_after: Duration,
    },
    /// No engine of the fleet can accept the request now.
    #[error("{message}")]
    Overloaded {
        message: String,
        retry_after: Duration,
    },
    /// The tenant has used up its tokens at this node.
    #[error("the tenant's token limit is exceeded")]
    OverLimit { retry_after: Duration },
    /// An at-most-once request was sent under this key, and its answer is not stored.
    #[error("request {first} was sent under this Idempotency-Key and its answer is not available")]
    AlreadyRun {
        first: RequestId,
        run_state: RunState,
    },
    /// An at-most-once request under this key is running.
    #[error("a request under this Idempotency-Key is in progress")]
    InProgress { retry_after: Duration },
    /// The key was used for a different request.
    #[error("this Idempotency-Key was used for a different request")]
    KeyReused,
    /// The stream cannot be resumed.
    #[error("{0}")]
    NotResumable(String),
    /// The request may have run and its result is unknown.
    #[error("the result is unknown: {0}")]
    ResultUnknown(String),
}

impl CallerError {
    /// What is known about whether the request ran.
    pub fn run_state(&self) -> RunState {
        match self {
            Self::ResultUnknown(_) | Self::InProgress { .. } | Self::NotResumable(_) => {
                RunState::Unknown
            }
            Self::AlreadyRun { run_state, .. } => *run_state,
            _ => RunState::NotRun,
        }
    }

    /// The error object of the answer.
    pub(crate) fn body(&self) -> ErrorBody {
        let (_, kind, code) = self.status_and_codes();
        let param = match self {
            Self::Invalid { param, .. } => param.clone(),
            Self::UnknownModel(_) => Some("model".to_owned()),
            Self::KeyReused | Self::AlreadyRun { .. } | Self::InProgress { .. } => {
                Some("idempotency-key".to_owned())
            }
            Self::NotResumable(_) => Some("last-event-id".to_owned()),
            _ => None,
        };
        let error = ErrorDetail {
            message: self.to_string(),
            kind,
            param,
            code,
        };
        ErrorBody { error }
    }

    /// The answer to the caller.
    pub fn answer(&self) -> Answer {
        let (status, _, _) = self.status_and_codes();
        let mut answer = json_answer(status, &self.body());
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
            Self::Unavailable { retry_after, .. }
            | Self::Overloaded { retry_after, .. }
            | Self::OverLimit { retry_after }
            | Self::InProgress { retry_after } => Some(*retry_after),
            _ => None,
        }
    }

    fn status_and_codes(&self) -> (StatusCode, &'static str, &'static str) {
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
            Self::TooSlow(_) => (
                StatusCode::REQUEST_TIMEOUT,
                "invalid_request_error",
                "body_too_slow",
            ),
            Self::Unauthorized => (
                StatusCode::UNAUTHORIZED,
                "authentication_error",
                "invalid_api_key",
            ),
            Self::NotFound => (StatusCode::NOT_FOUND, "invalid_request_error", "not_found"),
            Self::WrongMethod => (
                StatusCode::METHOD_NOT_ALLOWED,
                "invalid_request_error",
                "method_not_allowed",
            ),
            Self::UnknownModel(_) => (
                StatusCode::NOT_FOUND,
                "invalid_request_error",
                "model_not_found",
            ),
            Self::OverLimit { .. } => (
                StatusCode::TOO_MANY_REQUESTS,
                "rate_limit_error",
                "rate_limit_exceeded",
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
            Self::AlreadyRun { .. } => {
                (StatusCode::CONFLICT, "invalid_request_error", "already_run")
            }
            Self::InProgress { .. } => {
                (StatusCode::CONFLICT, "invalid_request_error", "in_progress")
            }
            Self::KeyReused => (
                StatusCode::UNPROCESSABLE_ENTITY,
                "invalid_request_error",
                "idempotency_key_reused",
            ),
            Self::NotResumable(_) => (
                StatusCode::CONFLICT,
                "invalid_request_error",
                "not_resumable",
            ),
            Self::ResultUnknown(_) => (StatusCode::BAD_GATEWAY, "server_error", "result_unknown"),
        }
    }
}

impl From<HttpServerError> for CallerError {
    fn from(error: HttpServerError) -> Self {
        match error {
            HttpServerError::BodyTooLarge { .. } => Self::TooLarge(error.to_string()),
            HttpServerError::BodyTooDeep { .. } => Self::Invalid {
                param: None,
                message: error.to_string(),
            },
            HttpServerError::BodyUnreadable(message) => Self::Invalid {
                param: None,
                message,
            },
            // These paths denote the body itself, not one of its fields.
            HttpServerError::InvalidJson { field, message }
                if matches!(field.as_str(), "." | "?") =>
            {
                Self::Invalid {
                    param: None,
                    message: format!("the body is not the expected JSON object: {message}"),
                }
            }
            HttpServerError::InvalidJson { field, message } => Self::Invalid {
                message: format!("{field}: {message}"),
                param: Some(field),
            },
            HttpServerError::BodyTooSlow => Self::TooSlow(error.to_string()),
            HttpServerError::NoMemory(_) | HttpServerError::Displaced(_) => Self::Unavailable {
                message: error.to_string(),
                retry_after: BODY_MEMORY_RETRY_AFTER,
            },
        }
    }
}
