//! One connection to an engine.

use std::collections::VecDeque;
use std::io;
use std::iter;
use std::mem::MaybeUninit;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use actix_codec::Encoder as _;
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{Method, RequestHead, RequestHeadType, ServiceConfig};
use bytes::{Buf as _, Bytes, BytesMut};
use dalestand_clock::BootInstant;
use dalestand_request_bodies::Body;
use dalestand_tunnel::FrameDecoder;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::carried_calls::{CallKey, CarriedCalls};
use crate::connect::set_user_timeout;
use crate::error::SendError;
use crate::paths::Path;
use crate::rejections::CONTENDED_SETTLE_TIME;
use crate::response_head::{DecodedHead, MalformedResponse, decode_head};

/// Buffer space reserved for each read.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// Longest body that is copied behind its head.
const MAX_COPIED_BODY_BYTES: usize = 4 * 1024;

/// Bytes for which an engine has room though it does not read: far fewer than the usual buffers.
const MAX_UNREAD_BYTES: usize = 16 * 1024;

/// Maximum size of a response head.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Informational heads that are accepted before a response. An engine that sends more may never send a response.
const MAX_INFORMATIONAL_HEADS: usize = 16;

/// Number of connections opened by this process.
static CONNECTIONS_OPENED: AtomicU64 = AtomicU64::new(0);

/// The connection that a call was sent on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionUse {
    /// Number of the connection among those opened by this process.
    pub connection: u64,
    /// Number of the call among those on the connection, from 1.
    pub call: u64,
}

/// An open connection, which carries one exchange at a time.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    pub(crate) path: Path,
    /// Number of the connection among those opened by this process.
    number: u64,
    /// Number of calls that it has carried.
    calls: u64,
    /// Those of them by whose keys answers are recognised.
    pub(crate) carried: CarriedCalls,
    /// When it was opened.
    pub(crate) opened_at: BootInstant,
    /// Whether an exchange on it has been completed.
    pub(crate) is_kept: bool,
    /// Bytes received and not yet decoded.
    pub(crate) received: BytesMut,
    /// Method of the last call.
    method: Method,
    /// Parts of the request that were not written yet.
    unwritten: VecDeque<Bytes>,
    /// Why writing the request failed; the response may still be complete.
    write_error: Option<io::Error>,
    /// When the connection became idle.
    pub(crate) idle_since: BootInstant,
    /// When reuse must stop according to the engine's `Keep-Alive` header, if it sent one.
    pub(crate) keep_alive_until: Option<BootInstant>,
    /// Frames of the carrying node, if there is one.
    frames: FrameDecoder,
    /// Whether the time without an acknowledgement is limited.
    has_user_timeout: bool,
}

/// The head of a response that is not informational.
pub(crate) struct ReceivedHead {
    pub(crate) decoded: DecodedHead,
    /// Whether the whole request was written before the head was received.
    pub(crate) request_written: bool,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream, path: Path) -> Self {
        Self {
            stream,
            path,
            number: CONNECTIONS_OPENED.fetch_add(1, Ordering::Relaxed) + 1,
            calls: 0,
            carried: CarriedCalls::default(),
            opened_at: BootInstant::now(),
            is_kept: false,
            frames: FrameDecoder::default(),
            has_user_timeout: true,
            received: BytesMut::new(),
            method: Method::GET,
            unwritten: VecDeque::new(),
            write_error: None,
            idle_since: BootInstant::now(),
            keep_alive_until: None,
        }
    }

    /// Limits the time without an acknowledgement unless the body of the next call is longer than what its engine may have room
    /// for: sound engines may read late. The time limit of the call holds then.
    pub(crate) fn limit_unacknowledged(&mut self, body: &Body, timeout: Duration) {
        let is_limited = body.len() <= MAX_UNREAD_BYTES;
        if self.path.is_direct() && is_limited != self.has_user_timeout {
            set_user_timeout(&self.stream, is_limited.then_some(timeout));
            self.has_user_timeout = is_limited;
        }
    }

    /// The connection as used by its last call.
    pub(crate) fn last_use(&self) -> ConnectionUse {
        ConnectionUse {
            connection: self.number,
            call: self.calls,
        }
    }

    /// Whether the idle connection has received neither data nor a close.
    pub(crate) fn has_no_input(&self) -> bool {
        // Asks the kernel: the runtime learns of input only when it next waits for events.
        let peeked = SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]);
        self.received.is_empty()
            && self.frames.is_empty()
            && peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Waits until the connection has been open for `time`; returns whether it has received neither data nor a close.
    pub(crate) async fn settles(&self, time: Duration) -> bool {
        loop {
            let left = time.saturating_sub(self.opened_at.elapsed());
            // A reset makes the stream readable.
            if tokio::time::timeout(left, self.stream.readable())
                .await
                .is_err()
            {
                return self.has_no_input();
            }
            // Readiness may be spurious; a read that would block clears it.
            let read = self.stream.try_read(&mut [0]);
            if !read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock) {
                return false;
            }
        }
    }

    /// Whether a reset of the connection may be due to a lack of room at the engine.
    pub(crate) fn may_be_rejected(&self) -> bool {
        !self.is_kept && self.opened_at.elapsed() < CONTENDED_SETTLE_TIME
    }

    /// Reads more bytes of the response; 0 after the engine has ended the connection. Writes the rest of the request meanwhile,
    /// as the engine may need it to complete its response.
    pub(crate) async fn read_more(&mut self) -> io::Result<usize> {
        loop {
            let may_write = !self.unwritten.is_empty() && self.write_error.is_none();
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                written = writer.write(next_part(&self.unwritten)), if may_write => match written {
                    Ok(count) => self.record_written(count),
                    // What was received before can still be read.
                    Err(error) => self.write_error = Some(error),
                },
                read = read_response(&mut reader, self.path, &mut self.frames, &mut self.received) => return read,
            }
        }
    }

    /// Why the end of the received bytes may not be where the engine ended its response. The system reports a reset once, to a
    /// write or to a read; reads after a failed write look like an orderly end.
    pub(crate) fn abnormal_end(&self) -> Option<&io::Error> {
        // A carrying node marks the engine's orderly end.
        self.write_error.as_ref().filter(|_| self.path.is_direct())
    }

    fn record_written(&mut self, count: usize) {
        let Some(part) = self.unwritten.front_mut() else {
            return;
        };
        part.advance(count);
        if part.is_empty() {
            self.unwritten.pop_front();
        }
    }

    /// Sends the request of a call and waits for the response head. Reads while writing, since an engine may
    /// respond before it has read the whole body.
    pub(crate) async fn exchange(
        &mut self,
        config: ServiceConfig,
        call: Option<CallKey>,
        head: RequestHead,
        body: &Body,
    ) -> Result<ReceivedHead, SendError> {
        self.calls += 1;
        if let Some(call) = call {
            self.carried.record(call);
        }
        self.method = head.method.clone();
        self.unwritten = encode(&mut ClientCodec::new(config), head, body)?;
        self.receive_head(false).await
    }

    /// Waits for a response head and writes the rest of the request meanwhile.
    pub(crate) async fn receive_head(
        &mut self,
        mut any_byte_sent: bool,
    ) -> Result<ReceivedHead, SendError> {
        let mut informational_heads = 0;
        loop {
            if let Some(decoded) = decode_head(&self.method, &mut self.received)? {
                if decoded.head.status.is_informational() {
                    informational_heads += 1;
                    if informational_heads > MAX_INFORMATIONAL_HEADS {
                        return Err(MalformedResponse::TooManyInformational.into());
                    }
                    continue;
                }
                return Ok(ReceivedHead {
                    decoded,
                    request_written: self.unwritten.is_empty(),
                });
            }
            if self.received.len() > MAX_HEAD_BYTES {
                return Err(MalformedResponse::HeadTooLong.into());
            }
            let may_write = !self.unwritten.is_empty() && self.write_error.is_none();
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                written = writer.write(next_part(&self.unwritten)), if may_write => match written {
                    Ok(count) => {
                        self.record_written(count);
                        any_byte_sent |= count > 0;
                    }
                    // The engine may have responded before it closed the connection.
                    Err(error) if any_byte_sent => self.write_error = Some(error),
                    Err(error) => return Err(SendError::NotSent(error.to_string())),
                },
                read = read_response(&mut reader, self.path, &mut self.frames, &mut self.received) => match read {
                    Ok(0) => return Err(self.end_error(any_byte_sent)),
                    Ok(_) => {}
                    Err(error) => return Err(self.read_error(any_byte_sent, &error)),
                },
            }
        }
    }

    /// The error for a connection that has ended before a response.
    fn end_error(&self, any_byte_sent: bool) -> SendError {
        match &self.write_error {
            Some(error) => self.read_error(any_byte_sent, error),
            None if !self.received.is_empty() => MalformedResponse::TruncatedHead.into(),
            None => connection_error(any_byte_sent, "the engine closed the connection"),
        }
    }

    /// The error for a connection that failed before a response.
    fn read_error(&self, any_byte_sent: bool, error: &io::Error) -> SendError {
        let is_reset = matches!(
            error.kind(),
            io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe
        );
        if any_byte_sent && is_reset && self.received.is_empty() && self.may_be_rejected() {
            return SendError::ResetWhenNew(error.to_string());
        }
        connection_error(any_byte_sent, &error.to_string())
    }
}

/// Reads bytes of a response into `received`; 0 after the engine has ended the connection. A carrying node that ends is an
/// error.
async fn read_response(
    reader: &mut (impl AsyncRead + Unpin),
    path: Path,
    frames: &mut FrameDecoder,
    received: &mut BytesMut,
) -> io::Result<usize> {
    if path.is_direct() {
        received.reserve(READ_BUFFER_BYTES);
        return reader.read_buf(received).await;
    }
    let before = received.len();
    loop {
        frames.decode(received).map_err(io::Error::other)?;
        if received.len() > before || frames.has_ended() {
            return Ok(received.len() - before);
        }
        if reader.read_buf(frames.buffer()).await? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
    }
}

/// The error for a lost connection. The engine may have run the request only if part of it was sent.
fn connection_error(any_byte_sent: bool, message: &str) -> SendError {
    if any_byte_sent {
        SendError::MayHaveRun(message.to_owned())
    } else {
        SendError::NotSent(message.to_owned())
    }
}

/// The part of a request that is written next.
fn next_part(unwritten: &VecDeque<Bytes>) -> &[u8] {
    unwritten.front().map_or(&[], |part| part)
}

/// The head, and a short body with it so that both are written at once; then the segments of a long body, which are shared with
/// the request.
fn encode(
    codec: &mut ClientCodec,
    head: RequestHead,
    body: &Body,
) -> Result<VecDeque<Bytes>, SendError> {
    let bodiless = matches!(head.method, Method::GET | Method::HEAD | Method::DELETE);
    let size = if body.is_empty() && bodiless {
        BodySize::None
    } else {
        BodySize::Sized(body.len() as u64)
    };
    let mut outgoing = BytesMut::with_capacity(READ_BUFFER_BYTES);
    let not_sent = |error: io::Error| SendError::NotSent(error.to_string());
    let item = Message::Item((RequestHeadType::from(head), size));
    codec.encode(item, &mut outgoing).map_err(not_sent)?;
    if body.len() > MAX_COPIED_BODY_BYTES {
        let segments = body.segments().iter().cloned();
        return Ok(iter::once(outgoing.freeze()).chain(segments).collect());
    }
    for segment in body.segments() {
        outgoing.extend_from_slice(segment);
    }
    Ok(VecDeque::from([outgoing.freeze()]))
}
