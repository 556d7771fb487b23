//! Calls to what a node serves for operators.

use std::net::SocketAddr;

use awc::http::StatusCode;
use bytes::Bytes;
use getopts::Matches;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::files;
use crate::flags::optional;

const DEFAULT_NODE: ([u8; 4], u16) = ([127, 0, 0, 1], 8081);

/// Largest answer read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Why a call gave no answer that can be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum ClientError {
    /// The node could not be reached, or the connection broke.
    #[error("the node at {node} could not be asked: {message}")]
    Unreachable { node: SocketAddr, message: String },
    /// The node answered with an error.
    #[error("{status}: {message}")]
    Refused { status: StatusCode, message: String },
    /// The answer could not be understood.
    #[error("the answer could not be understood: {0}")]
    Malformed(String),
}

/// An answer with its status.
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// Asks one node.
pub(crate) struct Client {
    node: SocketAddr,
    key: Option<String>,
    http: awc::Client,
}

impl Client {
    /// The client that the flags describe.
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

    /// A client of the node at this address that needs no key.
    pub(crate) fn new(node: SocketAddr) -> Self {
        Self {
            node,
            key: None,
            http: awc::Client::default(),
        }
    }

    /// Gets a path; an answer that is no success is an error.
    pub(crate) async fn get(&self, path: &str) -> Result<Bytes, ClientError> {
        let mut request = self.http.get(self.url(path));
        if let Some(key) = &self.key {
            request = request.bearer_auth(key);
        }
        let answer = self.read(request.send().await).await?;
        if answer.status.is_success() {
            return Ok(answer.body);
        }
        let message = String::from_utf8_lossy(&answer.body).trim().to_owned();
        Err(ClientError::Refused {
            status: answer.status,
            message,
        })
    }

    /// Posts a value; the status is the caller's to judge.
    pub(crate) async fn post<B: Serialize>(
        &self,
        path: &str,
        body: &B,
    ) -> Result<Answer, ClientError> {
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
    ) -> Result<Answer, ClientError>
    where
        S: futures_util::Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
    {
        let unreachable = |message: String| ClientError::Unreachable {
            node: self.node,
            message,
        };
        let mut response = response.map_err(|error| unreachable(error.to_string()))?;
        let status = response.status();
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| unreachable(error.to_string()))?;
        Ok(Answer { status, body })
    }
}

/// Reads an answer's JSON.
pub(crate) fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, ClientError> {
    serde_json::from_slice(body).map_err(|error| ClientError::Malformed(error.to_string()))
}

/// The answer's JSON as it came, for `--json`.
pub(crate) fn print_json(body: &[u8]) {
    println!("{}", String::from_utf8_lossy(body));
}
