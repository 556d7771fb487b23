//! HTTP client of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use async_trait::async_trait;
use awc::{Client, Connector};
use bytes::{Bytes, BytesMut};
use dalestand_types::{
    AttemptId, EngineLoad, EngineOrders, Epoch, GenerationFrame, GenerationRequest, Order,
    OrderOutcome, Refusal, Sequence,
};
use error_stack::Report;
use futures_util::{Stream, StreamExt as _, stream};

use crate::frame_line::parse_frame;
use crate::http::{JsonClient, proves_nothing_sent};
use crate::wire::Empty;
use crate::wire::engine::{
    CACHE_EVENTS, CACHE_EVENTS_AFTER, CANCEL, CancelRequest, EPOCH, GENERATE, LOAD, ORDERS,
    RaiseEpochRequest,
};
use crate::{AttemptError, CacheEvents, Engine, FrameStream, PlatformError};

/// Time limit of each call other than `generate`.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest frame accepted from an engine, in bytes.
const MAX_FRAME_BYTES: usize = 64 << 10;

/// Largest body of an error answer accepted from an engine, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 << 10;

/// How long an idle connection is kept; well below the engines' own limit, so that a request is
/// rarely sent on a connection that the engine is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Age at which a connection is no longer reused.
const CONNECTION_LIFETIME: Duration = Duration::from_secs(600);

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// HTTP client of one engine.
///
/// Connections are reused, except for at-most-once requests, each of which gets a new connection: if
/// the engine closes a reused connection while the request is being written, it is unknown whether
/// the request ran.
pub struct HttpEngine {
    json_client: JsonClient,
    pooled: Client,
    unpooled: Client,
    address: SocketAddr,
}

impl HttpEngine {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            json_client: JsonClient::new("engine", address, CALL_TIMEOUT),
            pooled: client(IDLE_TIMEOUT),
            unpooled: client(Duration::ZERO),
            address,
        }
    }
}

fn client(idle_timeout: Duration) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_TIMEOUT)
        .conn_keep_alive(idle_timeout)
        .conn_lifetime(CONNECTION_LIFETIME)
        // No limit here: the node limits its requests in flight.
        .limit(0);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

#[async_trait(?Send)]
impl Engine for HttpEngine {
    async fn generate(&self, request: &GenerationRequest) -> Result<FrameStream, AttemptError> {
        let url = format!("http://{}{GENERATE}", self.address);
        let client = match request.once_key {
            Some(_) => &self.unpooled,
            None => &self.pooled,
        };
        let mut response = client.post(url).send_json(request).await.map_err(|error| {
            if proves_nothing_sent(&error) {
                AttemptError::NotSent(error.to_string())
            } else {
                AttemptError::BrokenOff(error.to_string())
            }
        })?;
        if response.status() == StatusCode::OK {
            return Ok(frames(response));
        }
        let status = response.status();
        let body = response
            .body()
            .limit(MAX_REFUSAL_BYTES)
            .await
            .map_err(|error| AttemptError::BrokenOff(error.to_string()))?;
        Err(response_error(status, &body))
    }

    async fn cancel(&self, attempt: AttemptId) -> Result<(), Report<PlatformError>> {
        let _: Empty = self
            .json_client
            .post(CANCEL, &CancelRequest { attempt })
            .await?;
        Ok(())
    }

    async fn raise_epoch(&self, epoch: Epoch) -> Result<OrderOutcome, Report<PlatformError>> {
        self.json_client
            .post(EPOCH, &RaiseEpochRequest { epoch })
            .await
    }

    async fn order(&self, order: &Order) -> Result<OrderOutcome, Report<PlatformError>> {
        self.json_client.post(ORDERS, order).await
    }

    async fn orders(&self) -> Result<EngineOrders, Report<PlatformError>> {
        self.json_client.get(ORDERS).await
    }

    async fn load(&self) -> Result<EngineLoad, Report<PlatformError>> {
        self.json_client.get(LOAD).await
    }

    async fn cache_events(&self, after: Sequence) -> Result<CacheEvents, Report<PlatformError>> {
        let path = format!("{CACHE_EVENTS}?{CACHE_EVENTS_AFTER}={after}");
        self.json_client.get(&path).await
    }
}

fn response_error(status: StatusCode, body: &[u8]) -> AttemptError {
    let text = String::from_utf8_lossy(body);
    if matches!(status, StatusCode::CONFLICT | StatusCode::TOO_MANY_REQUESTS) {
        return match serde_json::from_slice::<Refusal>(body) {
            Ok(refusal) => AttemptError::Refused(refusal),
            Err(error) => AttemptError::BrokenOff(format!("{status}, {error}: {text}")),
        };
    }
    if status.is_client_error() {
        return AttemptError::Rejected(format!("{status}: {text}"));
    }
    AttemptError::BrokenOff(format!("{status}: {text}"))
}

/// Splits the body of an answer into lines and parses each line into a frame.
fn frames<S>(body: S) -> FrameStream
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    // Boxed, because `unfold` moves the state for each frame.
    let reader = Box::new(FrameReader {
        body,
        buffer: BytesMut::new(),
        ended: false,
    });
    Box::pin(stream::unfold(reader, |mut reader| async move {
        let item = reader.next_frame().await?;
        reader.ended |= item.is_err();
        Some((item, reader))
    }))
}

struct FrameReader<S> {
    body: S,
    buffer: BytesMut,
    ended: bool,
}

impl<S> FrameReader<S>
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin,
{
    async fn next_frame(&mut self) -> Option<Result<GenerationFrame, AttemptError>> {
        loop {
            if self.ended {
                return None;
            }
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1);
                return Some(parse_frame(&line[..end]));
            }
            if self.buffer.len() > MAX_FRAME_BYTES {
                let message = format!("the frame is longer than {MAX_FRAME_BYTES} bytes");
                return Some(Err(AttemptError::MalformedFrame(message)));
            }
            match self.body.next().await {
                Some(Ok(chunk)) => self.buffer.extend_from_slice(&chunk),
                Some(Err(error)) => return Some(Err(AttemptError::BrokenOff(error.to_string()))),
                None if self.buffer.is_empty() => return None,
                None => {
                    let message = "the connection closed within a frame".to_owned();
                    return Some(Err(AttemptError::BrokenOff(message)));
                }
            }
        }
    }
}
