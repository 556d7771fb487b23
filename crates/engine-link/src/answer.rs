//! An engine's answer, read piece by piece.

use std::time::Duration;

use actix_codec::Decoder as _;
use actix_http::h1::{ClientPayloadCodec, MessageType};
use actix_http::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use actix_http::{ResponseHead, StatusCode};
use bytes::Bytes;
use dalestand_clock::BootInstant;
use tokio::io::AsyncReadExt as _;

use crate::connection::{AnswerHead, Connection};
use crate::error::BodyError;
use crate::pool::PooledConnection;

/// Room made for each read.
const READ_BYTES: usize = 8 * 1024;

/// A connection is given up this long before the engine would close it.
const KEPT_MARGIN: Duration = Duration::from_millis(700);

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// An answer whose head has come.
pub struct Exchange {
    /// The head.
    pub head: ResponseHead,
    /// The body.
    pub body: ResponseBody,
}

impl Exchange {
    pub(crate) fn new(connection: PooledConnection, answer: AnswerHead) -> Self {
        let AnswerHead {
            head,
            codec,
            request_written,
        } = answer;
        // The codec takes an answer without a length for one without a body.
        let until_close = lacks_length(&head);
        let has_body = until_close || codec.message_type() != MessageType::None;
        let says_close = says_close(&head.headers);
        let reusable = request_written && !until_close && !says_close && codec.keep_alive();
        let mut body = ResponseBody {
            connection: Some(connection),
            codec: codec.into_payload_codec(),
            until_close,
            reusable,
            kept_for: kept_for(&head.headers),
            length: content_length(&head.headers),
            ended: false,
        };
        if !has_body {
            body.finish();
        }
        Self { head, body }
    }
}

/// The body of an answer. Dropped before its end, it ends the connection, which tells the engine
/// that nobody waits any more.
pub struct ResponseBody {
    connection: Option<PooledConnection>,
    codec: ClientPayloadCodec,
    until_close: bool,
    reusable: bool,
    kept_for: Option<Duration>,
    length: Option<u64>,
    ended: bool,
}

impl ResponseBody {
    /// Ends the exchange before its end.
    pub fn abort(&mut self) {
        self.ended = true;
        self.connection = None;
    }

    /// Its length in bytes, where the head tells it.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Whether it says where it ends, by a length or by chunks; if not, it ends with its connection.
    pub fn is_self_delimited(&self) -> bool {
        !self.until_close
    }

    /// The next bytes; `None` after the end of a whole body.
    pub async fn next(&mut self) -> Option<Result<Bytes, BodyError>> {
        if self.ended {
            return None;
        }
        loop {
            match self.decode() {
                Ok(Some(Some(chunk))) if chunk.is_empty() => continue,
                Ok(Some(Some(chunk))) => return Some(Ok(chunk)),
                Ok(Some(None)) => {
                    self.finish();
                    return None;
                }
                Ok(None) => {}
                Err(error) => return Some(Err(self.fail(error))),
            }
            let connection: &mut Connection = self.connection.as_mut()?;
            connection.received.reserve(READ_BYTES);
            match connection.stream.read_buf(&mut connection.received).await {
                Ok(0) if self.until_close => {
                    self.finish();
                    return None;
                }
                Ok(0) => {
                    let error = BodyError::BrokenOff("the connection ended".to_owned());
                    return Some(Err(self.fail(error)));
                }
                Ok(_) => {}
                Err(error) => {
                    let error = BodyError::BrokenOff(error.to_string());
                    return Some(Err(self.fail(error)));
                }
            }
        }
    }

    /// The whole body, if it is no longer than `limit` bytes.
    pub async fn collect(&mut self, limit: usize) -> Result<Bytes, BodyError> {
        let mut collected = bytes::BytesMut::new();
        while let Some(chunk) = self.next().await {
            let chunk = chunk?;
            if collected.len() + chunk.len() > limit {
                return Err(BodyError::Malformed("the body is too long".to_owned()));
            }
            collected.extend_from_slice(&chunk);
        }
        Ok(collected.freeze())
    }

    fn decode(&mut self) -> Result<Option<Option<Bytes>>, BodyError> {
        let Some(connection) = self.connection.as_mut() else {
            return Ok(None);
        };
        if self.until_close {
            let received = connection.received.split().freeze();
            return Ok((!received.is_empty()).then_some(Some(received)));
        }
        let decoded = self.codec.decode(&mut connection.received);
        decoded.map_err(|error| BodyError::Malformed(error.to_string()))
    }

    fn fail(&mut self, error: BodyError) -> BodyError {
        self.ended = true;
        self.connection = None;
        error
    }

    /// Keeps the connection, if nothing is left open on it.
    fn finish(&mut self) {
        self.ended = true;
        let Some(mut connection) = self.connection.take() else {
            return;
        };
        if !self.reusable || !connection.received.is_empty() {
            return;
        }
        let now = BootInstant::now();
        connection.idle_since = now;
        connection.kept_until = self
            .kept_for
            .map(|kept_for| now + kept_for.saturating_sub(KEPT_MARGIN));
        connection.keep();
    }
}

/// Whether a body ends where its connection does, as it does where nothing tells its length.
fn lacks_length(head: &ResponseHead) -> bool {
    let bodiless = matches!(
        head.status,
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let headers = &head.headers;
    !bodiless && !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
}

fn says_close(headers: &HeaderMap) -> bool {
    let mut values = headers.get_all(CONNECTION);
    values.any(|value| {
        let text = value.to_str().unwrap_or_default();
        text.split(',')
            .any(|option| option.trim().eq_ignore_ascii_case("close"))
    })
}

/// For how long the engine keeps an idle connection, as `Keep-Alive: timeout=SECONDS` tells.
fn kept_for(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| {
        let part = part.trim();
        part.strip_prefix("timeout=").unwrap_or(part).parse().ok()
    })?;
    Some(Duration::from_secs(seconds))
}

fn content_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}
