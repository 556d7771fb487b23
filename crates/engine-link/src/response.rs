//! An engine's response, whose body is read chunk by chunk.

use std::time::Duration;

use actix_http::ResponseHead;
use actix_http::header::{HeaderMap, HeaderName};
use bytes::{Bytes, BytesMut};
use dalestand_clock::BootInstant;

use crate::body_decoder::{BodyDecoder, Decoded};
use crate::connection::{Connection, ConnectionUse, ReceivedHead};
use crate::connection_pool::PooledConnection;
use crate::error::BodyError;
use crate::paths::{DirectCall, Path};
use crate::response_head::{DecodedHead, Framing};

/// A connection is no longer reused this long before the engine's keep-alive timeout, so that a request
/// does not race with the engine's close.
const KEEP_ALIVE_MARGIN: Duration = Duration::from_millis(700);

/// Bytes that may come between two chunks of a body, or after the last one, as extensions or trailers.
const MAX_FRAMING_BYTES: usize = 64 << 10;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By its length.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection, so that a truncated body may look complete.
    ConnectionClose,
}

impl BodyFraming {
    /// Name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Length => "length",
            Self::Chunked => "chunked",
            Self::ConnectionClose => "connection close",
        }
    }
}

/// An HTTP exchange whose response head has been received.
pub struct Exchange {
    /// The response head.
    pub head: ResponseHead,
    /// The response body.
    pub body: ResponseBody,
    /// How the connection reaches the engine.
    pub path: Path,
    /// The connection.
    pub connection: ConnectionUse,
    /// Number of responses to other calls that were skipped before this one.
    pub skipped_responses: usize,
}

impl Exchange {
    pub(crate) fn new(
        connection: PooledConnection,
        received: ReceivedHead,
        skipped_responses: usize,
        direct_call: Option<DirectCall>,
    ) -> Self {
        let ReceivedHead {
            decoded,
            request_written,
        } = received;
        let DecodedHead {
            head,
            framing,
            keeps_alive,
        } = decoded;
        let (path, last_use) = (connection.path, connection.last_use());
        let mut body = ResponseBody {
            direct_call,
            connection: Some(connection),
            decoder: BodyDecoder::new(framing),
            framing,
            reusable: request_written && keeps_alive,
            keep_alive_timeout: keep_alive_timeout(&head.headers),
            ended: false,
            framing_bytes: 0,
            put_back: None,
        };
        if body.length() == Some(0) {
            body.finish();
        }
        Self {
            head,
            body,
            path,
            connection: last_use,
            skipped_responses,
        }
    }
}

/// The body of a response. If it is dropped before its end, the connection is closed, so that the
/// engine can cancel the request.
pub struct ResponseBody {
    connection: Option<PooledConnection>,
    decoder: BodyDecoder,
    framing: Framing,
    reusable: bool,
    keep_alive_timeout: Option<Duration>,
    ended: bool,
    /// Bytes received since the last chunk.
    framing_bytes: usize,
    /// Bytes that were read and are to be returned again.
    put_back: Option<Bytes>,
    /// The call, if its connection is direct and observed.
    direct_call: Option<DirectCall>,
}

impl ResponseBody {
    /// Closes the connection and ends the body early.
    pub fn abort(&mut self) {
        self.ended = true;
        self.put_back = None;
        self.direct_call = None;
        self.connection = None;
    }

    /// Length of the body, if the head tells it.
    pub fn length(&self) -> Option<u64> {
        match self.framing {
            Framing::Empty => Some(0),
            Framing::Length(length) => Some(length),
            Framing::Chunked | Framing::UntilClose => None,
        }
    }

    /// How the end of the body is marked.
    pub fn framing(&self) -> BodyFraming {
        match self.framing {
            Framing::Empty | Framing::Length(_) => BodyFraming::Length,
            Framing::Chunked => BodyFraming::Chunked,
            Framing::UntilClose => BodyFraming::ConnectionClose,
        }
    }

    /// The next chunk; `None` after the end of the body or after an error.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if let Some(bytes) = self.put_back.take() {
            return Some(Ok(bytes));
        }
        if self.ended {
            return None;
        }
        loop {
            let connection: &mut Connection = self.connection.as_mut()?;
            match self.decoder.decode(&mut connection.received) {
                Ok(Decoded::Data(chunk)) => {
                    self.framing_bytes = 0;
                    return Some(Ok(chunk));
                }
                Ok(Decoded::End) => {
                    self.finish();
                    return None;
                }
                Ok(Decoded::Incomplete) if self.framing_bytes > MAX_FRAMING_BYTES => {
                    let message = "too many bytes between chunks or after the last one";
                    let error = BodyError::Malformed(message.to_owned());
                    return Some(Err(self.fail(error)));
                }
                Ok(Decoded::Incomplete) => {}
                Err(error) => {
                    let error = BodyError::Malformed(error.to_string());
                    return Some(Err(self.fail(error)));
                }
            }
            match connection.read_more().await {
                Ok(0) => match connection.abnormal_end() {
                    None if self.framing == Framing::UntilClose => {
                        self.finish();
                        return None;
                    }
                    cause => {
                        let message = cause.map_or_else(
                            || "the engine closed the connection".to_owned(),
                            |error| format!("the request could not be written: {error}"),
                        );
                        return Some(Err(self.fail(BodyError::Incomplete(message))));
                    }
                },
                Ok(count) => {
                    self.framing_bytes += count;
                    if let Some(call) = &mut self.direct_call {
                        call.record_bytes();
                    }
                }
                Err(error) => {
                    let error = BodyError::Incomplete(error.to_string());
                    return Some(Err(self.fail(error)));
                }
            }
        }
    }

    /// Reads the whole body; fails if it exceeds `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        let collected = self.collect_if_short(limit).await?;
        collected.ok_or_else(|| BodyError::Malformed("the body exceeds the size limit".to_owned()))
    }

    /// Reads the whole body if it has at most `limit` bytes. If it is longer, returns `None`, and [`next`](Self::next) starts again
    /// with what was read.
    pub async fn collect_if_short(&mut self, limit: usize) -> Result<Option<Bytes>, BodyError> {
        // A buffer that grows may hold twice the bytes that it was given.
        let expected = self.length().and_then(|length| length.try_into().ok());
        let expected = expected.map_or(0, |length: usize| length.min(limit));
        let mut collected = BytesMut::with_capacity(expected);
        while let Some(chunk) = self.next().await {
            collected.extend_from_slice(&chunk?);
            if collected.len() > limit {
                self.put_back = Some(collected.freeze());
                return Ok(None);
            }
        }
        Ok(Some(collected.freeze()))
    }

    fn fail(&mut self, error: BodyError) -> BodyError {
        self.ended = true;
        if let Some(mut call) = self.direct_call.take()
            && matches!(error, BodyError::Incomplete(_))
        {
            call.record_broken();
        }
        if let Some(connection) = self.connection.take() {
            connection.discard();
        }
        error
    }

    /// Returns the connection to the pool if the exchange on it is complete.
    fn finish(&mut self) {
        self.ended = true;
        self.direct_call = None;
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        if !self.reusable || !connection.received.is_empty() {
            return;
        }
        let now = BootInstant::now();
        connection.idle_since = now;
        connection.is_kept = true;
        connection.keep_alive_until = self
            .keep_alive_timeout
            .map(|timeout| now + timeout.saturating_sub(KEEP_ALIVE_MARGIN));
        connection.return_to_pool();
    }
}

/// The engine's timeout for idle connections, from `Keep-Alive: timeout=SECONDS`.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| {
        let part = part.trim();
        part.strip_prefix("timeout=").unwrap_or(part).parse().ok()
    })?;
    Some(Duration::from_secs(seconds))
}
