//! JSON calls over HTTP, with errors mapped to [`PlatformError`].

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use awc::Client;
use awc::error::{ConnectError, SendRequestError};
use error_stack::Report;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::PlatformError;
use crate::wire::RetryAfter;

/// Largest answer accepted from an external system, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Retry delay for a 429 answer whose body names none.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Makes JSON calls to one system at one address.
#[derive(Clone)]
pub(crate) struct JsonClient {
    client: Client,
    address: SocketAddr,
    system: &'static str,
}

impl JsonClient {
    /// Creates a client of `system` at `address`; calls time out after `timeout`.
    pub(crate) fn new(system: &'static str, address: SocketAddr, timeout: Duration) -> Self {
        let client = Client::builder()
            .timeout(timeout)
            .disable_redirects()
            .finish();
        Self {
            client,
            address,
            system,
        }
    }

    /// Posts `body` and parses the answer.
    pub(crate) async fn post<B, A>(&self, path: &str, body: &B) -> Result<A, Report<PlatformError>>
    where
        B: Serialize,
        A: DeserializeOwned,
    {
        let url = format!("http://{}{path}", self.address);
        let response = self.client.post(url).send_json(body).await;
        self.parse(response).await
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
        let url = format!("http://{}{path}", self.address);
        let response = self.client.post(url).timeout(timeout).send_json(body).await;
        self.parse(response).await
    }

    /// Gets `path` and parses the answer.
    pub(crate) async fn get<A: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<A, Report<PlatformError>> {
        let url = format!("http://{}{path}", self.address);
        let response = self.client.get(url).send().await;
        self.parse(response).await
    }

    async fn parse<A, S>(
        &self,
        response: Result<awc::ClientResponse<S>, SendRequestError>,
    ) -> Result<A, Report<PlatformError>>
    where
        A: DeserializeOwned,
        S: futures_util::Stream<Item = Result<bytes::Bytes, awc::error::PayloadError>> + Unpin,
    {
        let mut response = response.map_err(|error| Report::new(self.send_error(&error)))?;
        let status = response.status();
        let body = response
            .body()
            .limit(MAX_ANSWER_BYTES)
            .await
            .map_err(|error| Report::new(self.in_doubt(error.to_string())))?;
        if let Some(error) = self.status_error(status, &body) {
            return Err(Report::new(error));
        }
        serde_json::from_slice(&body).map_err(|error| {
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

    fn send_error(&self, error: &SendRequestError) -> PlatformError {
        if proves_nothing_sent(error) {
            let message = error.to_string();
            return PlatformError::Unreachable {
                system: self.system,
                message,
            };
        }
        self.in_doubt(error.to_string())
    }

    fn in_doubt(&self, message: String) -> PlatformError {
        PlatformError::InDoubt {
            system: self.system,
            message,
        }
    }
}

/// Whether a failed send proves that no byte of the request left this process.
///
/// `Disconnected` does not: the client library also returns it when a connection closes after the
/// request was written and before the head of the answer arrived.
pub(crate) fn proves_nothing_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(error) => !matches!(error, ConnectError::Disconnected),
        _ => false,
    }
}
