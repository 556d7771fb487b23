//! HTTP client of a node's operator API.

use std::net::SocketAddr;

use awc::http::StatusCode;
use bytes::Bytes;
use getopts::Matches;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::files;
use crate::flags::optional;

const DEFAULT_NODE: ([u8; 4], u16) = ([127, 0, 0, 1], 8081);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

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
    http: awc::Client,
}

impl Client {
    /// Creates a client from the `--node` and `--key-file` flags.
    pub(crate) fn from_flags(matches: &Matches) -> Result<Self, String> {
        let node = optional(matches, "node").map_err(|error| error.to_string())?;
        let key = match matches.opt_str("key-file") {
            Some(path) => Some(files::read(&path).map_err(|error| error.to_string())?),
            None => None,
        };
        Ok(Self {
            node: node.unwrap_or_else(|| SocketAddr::from(DEFAULT_NODE)),
            key: key.map(|key| key.trim().to_owned()),
            http: awc::Client::default(),
        })
    }

    /// Creates a client without a key.
    pub(crate) fn new(node: SocketAddr) -> Self {
        Self {
            node,
            key: None,
            http: awc::Client::default(),
        }
    }

    /// Sends a GET request; a response without a success status is an error.
    pub(crate) async fn get(&self, path: &str) -> Result<Bytes, ClientError> {
        let mut request = self.http.get(self.url(path));
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        let response = self.read(request.send().await).await?;
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
        let mut request = self.http.post(self.url(path));
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        self.read(request.send_json(body).await).await
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.node)
    }

    async fn read<S>(
        &self,
        response: Result<awc::ClientResponse<S>, awc::error::SendRequestError>,
    ) -> Result<Response, ClientError>
    where
        S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let unreachable = |message: String| ClientError::Unreachable {
            node: self.node,
            message,
        };
        let mut response = response.map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        let body = response.body().limit(MAX_RESPONSE_BYTES).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        Ok(Response { status, body })
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
