//! HTTP client of an engine.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::StatusCode;
use async_trait::async_trait;
use bytes::BytesMut;
use dalestand_engine_link::ResponseBody;
use dalestand_types::{
    AttemptId, EngineLoad, EngineOrders, Epoch, GenerationFrame, GenerationRequest, Order,
    OrderOutcome, Refusal, Sequence,
};
use error_stack::Report;
use futures_util::stream;

use crate::frame_line::parse_frame;
use crate::http::{JsonClient, post_json};
use crate::http_client::{HttpCallError, HttpClient};
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

/// Largest answer accepted from an engine to a call other than `generate`, in bytes.
const MAX_ANSWER_BYTES: usize = 1 << 20;

/// HTTP client of one engine.
///
/// Connections are reused, except for at-most-once requests, each of which gets a new connection: if
/// the engine closes a reused connection while the request is being written, it is unknown whether
/// the request ran.
pub struct HttpEngine {
    json_client: JsonClient,
    pooled: HttpClient,
    address: SocketAddr,
}

impl HttpEngine {
    /// Creates a client of the engine at `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            json_client: JsonClient::new("engine", address, CALL_TIMEOUT, MAX_ANSWER_BYTES),
            pooled: HttpClient::new(address),
            address,
        }
    }
}

#[async_trait(?Send)]
impl Engine for HttpEngine {
    async fn generate(&self, request: &GenerationRequest) -> Result<FrameStream, AttemptError> {
        let client = match request.once_key {
            Some(_) => HttpClient::new(self.address),
            None => self.pooled.clone(),
        };
        let call = post_json(GENERATE, request)
            .map_err(|error| AttemptError::NotSent(error.to_string()))?;
        let mut response = client.send(call).await.map_err(attempt_error)?;
        let status = response.head.status;
        if status == StatusCode::OK {
            return Ok(frames(response.body));
        }
        let body = response.body.collect(MAX_REFUSAL_BYTES).await;
        let body = body.map_err(|error| AttemptError::BrokenOff(error.to_string()))?;
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

fn attempt_error(error: HttpCallError) -> AttemptError {
    if error.is_not_sent() {
        AttemptError::NotSent(error.to_string())
    } else {
        AttemptError::BrokenOff(error.to_string())
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
fn frames(body: ResponseBody) -> FrameStream {
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

struct FrameReader {
    body: ResponseBody,
    buffer: BytesMut,
    ended: bool,
}

impl FrameReader {
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
