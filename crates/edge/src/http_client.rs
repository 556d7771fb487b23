//! HTTP calls to one address, whose responses are read by the same strict reader as those of engines to callers' requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, RequestHead, StatusCode, Uri};
use bytes::Bytes;
use dalestand_engine_link::{BodyError, EngineLink, Exchange, LinkLimits, LinkTarget, SendError};

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Name of the target of all connections, as an address stands for one system here.
const TARGET: &str = "system";

/// Client for one address. Clones share its connections.
#[derive(Clone)]
pub struct HttpClient {
    link: EngineLink,
    target: LinkTarget,
}

/// A request.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Headers in addition to `Host`.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The body.
    pub body: Bytes,
}

impl HttpCall {
    /// A GET request without a body.
    pub fn get(path: impl Into<String>) -> Self {
        Self {
            method: Method::GET,
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }
}

/// A whole response.
#[derive(Debug)]
pub struct HttpResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// Why there is no whole response.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HttpCallError {
    /// The call cannot be expressed in HTTP, so that nothing was sent.
    #[error("invalid request: {0}")]
    Invalid(String),
    /// No whole head of a response was received.
    #[error(transparent)]
    Send(#[from] SendError),
    /// No whole body was received.
    #[error(transparent)]
    Body(#[from] BodyError),
    /// The time limit passed.
    #[error("timed out")]
    TimedOut,
}

impl HttpCallError {
    /// Whether it is certain that nothing was sent.
    pub fn is_not_sent(&self) -> bool {
        match self {
            Self::Invalid(_) => true,
            Self::Send(error) => error.is_not_sent(),
            Self::Body(_) | Self::TimedOut => false,
        }
    }
}

impl HttpClient {
    /// A client for `address`. Must be called within a running actix arbiter.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            link: EngineLink::new(LinkLimits {
                connect_timeout: CONNECT_TIMEOUT,
                ..LinkLimits::default()
            }),
            target: LinkTarget {
                address,
                run: Arc::from(TARGET),
            },
        }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(&self, call: HttpCall) -> Result<Exchange, HttpCallError> {
        let head = self.head(&call)?;
        // Closes connections that have been idle for too long.
        self.link.sweep(|_| Some(usize::MAX));
        let body = call.body.into();
        let sent = self.link.send(&self.target, usize::MAX, head, &body);
        Ok(sent.await?)
    }

    /// Sends a request and reads the whole response within `timeout`; fails if the body exceeds `max_bytes`.
    pub async fn call(
        &self,
        call: HttpCall,
        timeout: Duration,
        max_bytes: usize,
    ) -> Result<HttpResponse, HttpCallError> {
        let exchange = async {
            let mut exchange = self.send(call).await?;
            let body = exchange.body.collect(max_bytes).await?;
            Ok(HttpResponse {
                status: exchange.head.status,
                headers: exchange.head.headers.clone(),
                body,
            })
        };
        let response = tokio::time::timeout(timeout, exchange).await;
        response.unwrap_or(Err(HttpCallError::TimedOut))
    }

    fn head(&self, call: &HttpCall) -> Result<RequestHead, HttpCallError> {
        let uri = call.path.parse::<Uri>();
        let host = HeaderValue::from_str(&self.target.address.to_string());
        let mut head = RequestHead::default();
        head.method = call.method.clone();
        head.uri = uri.map_err(|error| HttpCallError::Invalid(error.to_string()))?;
        let host = host.map_err(|error| HttpCallError::Invalid(error.to_string()))?;
        head.headers.insert(HOST, host);
        for (name, value) in &call.headers {
            head.headers.append(name.clone(), value.clone());
        }
        Ok(head)
    }
}
