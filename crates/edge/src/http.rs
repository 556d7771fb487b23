//! JSON calls over HTTP, with errors mapped to [`PlatformError`].

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Method, StatusCode};
use error_stack::Report;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::PlatformError;
use crate::http_client::{HttpCall, HttpCallError, HttpClient, HttpResponse};
use crate::wire::RetryAfter;

/// Retry delay for a 429 answer whose body names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Makes JSON calls to one system at one address.
#[derive(Clone)]
pub(crate) struct JsonClient {
    client: HttpClient,
    system: &'static str,
    timeout: Duration,
    max_answer_bytes: usize,
}

/// A POST request with a JSON body.
pub(crate) fn post_json<B: Serialize>(path: &str, body: &B) -> Result<HttpCall, serde_json::Error> {
    let json = HeaderValue::from_static("application/json");
    Ok(HttpCall {
        method: Method::POST,
        path: path.to_owned(),
        headers: vec![(CONTENT_TYPE, json)],
        body: serde_json::to_vec(body)?.into(),
    })
}

impl JsonClient {
    /// Creates a client of `system` at `address`; calls time out after `timeout`, and answers of more than `max_answer_bytes`
    /// are not read.
    pub(crate) fn new(
        system: &'static str,
        address: SocketAddr,
        timeout: Duration,
        max_answer_bytes: usize,
    ) -> Self {
        Self {
            client: HttpClient::new(address),
            system,
            timeout,
            max_answer_bytes,
        }
    }

    /// Posts `body` and parses the answer.
    pub(crate) async fn post<B, A>(&self, path: &str, body: &B) -> Result<A, Report<PlatformError>>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        self.post_within(path, body, self.timeout).await
    }

    /// Posts `body` with `timeout` in place of the default time limit and parses the answer.
    pub(crate) async fn post_within<B, A>(
        &self,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<A, Report<PlatformError>>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let call = post_json(path, body).map_err(|error| {
            let message = error.to_string();
            Report::new(PlatformError::Rejected {
                system: self.system,
                message,
            })
        })?;
        let answer = self.client.call(call, timeout, self.max_answer_bytes).await;
        self.parse(answer)
    }

    /// Gets `path` and parses the answer.
    pub(crate) async fn get<A: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<A, Report<PlatformError>> {
        let call = HttpCall::get(path);
        let max_bytes = self.max_answer_bytes;
        let answer = self.client.call(call, self.timeout, max_bytes).await;
        self.parse(answer)
    }

    fn parse<A: DeserializeOwned>(
        &self,
        answer: Result<HttpResponse, HttpCallError>,
    ) -> Result<A, Report<PlatformError>> {
        let answer = answer.map_err(|error| Report::new(self.call_error(&error)))?;
        if let Some(error) = self.status_error(answer.status, &answer.body) {
            return Err(Report::new(error));
        }
        serde_json::from_slice(&answer.body).map_err(|error| {
            let message = error.to_string();
            Report::new(PlatformError::Malformed {
                system: self.system,
                message,
            })
        })
    }

    fn status_error(&self, status: StatusCode, body: &[u8]) -> Option<PlatformError> {
        let system = self.system;
        // The body of a 409 answer is a typed outcome, which is parsed like that of a success.
        if status.is_success() || status == StatusCode::CONFLICT {
            return None;
        }
        if status == StatusCode::TOO_MANY_REQUESTS {
            let retry_after = serde_json::from_slice::<RetryAfter>(body)
                .map_or(DEFAULT_RETRY_AFTER, |wait| {
                    Duration::from_millis(wait.retry_after_ms)
                });
            return Some(PlatformError::RateLimited {
                system,
                retry_after,
            });
        }
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return Some(PlatformError::OutOfService {
                system,
                retry_after: None,
            });
        }
        let message = format!("{status}: {}", String::from_utf8_lossy(body));
        if status.is_client_error() {
            return Some(PlatformError::Rejected { system, message });
        }
        Some(PlatformError::InDoubt { system, message })
    }

    fn call_error(&self, error: &HttpCallError) -> PlatformError {
        let (system, message) = (self.system, error.to_string());
        if error.is_not_sent() {
            PlatformError::Unreachable { system, message }
        } else {
            PlatformError::InDoubt { system, message }
        }
    }
}
