//! HTTP client of a node's operator API.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue};
use actix_http::{Method, StatusCode};
use bytes::Bytes;
use dalestand_edge::{HttpCall, HttpClient};
use getopts::Matches;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::files;
use crate::flags::optional;

const DEFAULT_NODE: ([u8; 4], u16) = ([127, 0, 0, 1], 8081);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// Time limit of a call. Longer than those of the calls that a node makes for it.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);

/// A call to a node failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ClientError {
    /// The node was unreachable or the connection broke.
    #[error("the node at {node} could not be asked: {message}")]
    Unreachable { node: SocketAddr, message: String },
    /// The node responded with an error status.
    #[error("{status}: {message}")]
    Refused { status: StatusCode, message: String },
    /// The response could not be parsed.
    #[error("the response could not be parsed: {0}")]
    Malformed(String),
}

/// A response with any status.
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// Client of one node.
pub(crate) struct Client {
    node: SocketAddr,
    key: Option<String>,
}

impl Client {
    /// Creates a client from the `--node` and `--key-file` flags.
    pub(crate) fn from_flags(matches: &Matches) -> Result<Self, String> {
        let node = optional(matches, "node").map_err(|error| error.to_string())?;
        let key = match matches.opt_str("key-file") {
            Some(path) => Some(files::read(&path).map_err(|error| error.to_string())?),
            None => None,
        };
        let node = node.unwrap_or_else(|| SocketAddr::from(DEFAULT_NODE));
        Ok(Self {
            key: key.map(|key| key.trim().to_owned()),
            ..Self::new(node)
        })
    }

    /// Creates a client without a key.
    pub(crate) fn new(node: SocketAddr) -> Self {
        Self { node, key: None }
    }

    /// Sends a GET request; a response without a success status is an error.
    pub(crate) async fn get(&self, path: &str) -> Result<Bytes, ClientError> {
        let response = self.call(HttpCall::get(path)).await?;
        if response.status.is_success() {
            return Ok(response.body);
        }
        let message = String::from_utf8_lossy(&response.body).trim().to_owned();
        Err(ClientError::Refused {
            status: response.status,
            message,
        })
    }

    /// Sends a POST request with a JSON body; the caller must check the response's status.
    pub(crate) async fn post<B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Response, ClientError> {
        let body = serde_json::to_vec(body).map_err(|error| self.unreachable(&error))?;
        let json = HeaderValue::from_static("application/json");
        let call = HttpCall {
            method: Method::POST,
            headers: vec![(CONTENT_TYPE, json)],
            body: body.into(),
            ..HttpCall::get(path)
        };
        self.call(call).await
    }

    async fn call(&self, mut call: HttpCall) -> Result<Response, ClientError> {
        if let Some(key) = &self.key {
            let value = HeaderValue::from_str(&format!("Bearer {key}"));
            let value = value.map_err(|error| self.unreachable(&error))?;
            call.headers.push((AUTHORIZATION, value));
        }
        let client = HttpClient::new(self.node);
        let response = client.call(call, CALL_TIMEOUT, MAX_RESPONSE_BYTES).await;
        let response = response.map_err(|error| self.unreachable(&error))?;
        Ok(Response {
            status: response.status,
            body: response.body,
        })
    }

    fn unreachable(&self, error: &impl ToString) -> ClientError {
        ClientError::Unreachable {
            node: self.node,
            message: error.to_string(),
        }
    }
}

/// Parses the JSON in a response body.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|error| ClientError::Malformed(error.to_string()))
}

/// Prints a response body as received, for `--json`.
pub(crate) fn print_json(body: &[u8]) {
    println!("{}", String::from_utf8_lossy(body));
}
