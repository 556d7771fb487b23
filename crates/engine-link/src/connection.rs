//! One connection to an engine.

use std::io;

use actix_codec::{Decoder as _, Encoder as _};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message};
use actix_http::{Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig};
use bytes::{Bytes, BytesMut};
use dalestand_clock::BootInstant;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::error::SendError;

/// Room made for each read.
const READ_BYTES: usize = 8 * 1024;

/// Longest head of an answer.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// An open connection that carries at most one exchange.
pub(crate) struct Connection {
    pub(crate) stream: TcpStream,
    /// Bytes read and not yet taken.
    pub(crate) received: BytesMut,
    /// When its last exchange ended.
    pub(crate) idle_since: BootInstant,
    /// Until when the engine keeps it open without an exchange, as far as it said.
    pub(crate) kept_until: Option<BootInstant>,
}

/// An answer's head, with the codec that reads its body.
pub(crate) struct AnswerHead {
    pub(crate) head: ResponseHead,
    pub(crate) codec: ClientCodec,
    /// Whether the whole request went out before the answer began.
    pub(crate) request_written: bool,
}

impl Connection {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: BytesMut::new(),
            idle_since: BootInstant::now(),
            kept_until: None,
        }
    }

    /// Whether nothing came on the idle connection: neither bytes nor its end.
    pub(crate) fn is_quiet(&self) -> bool {
        let mut probe = [0_u8; 1];
        let read = self.stream.try_read(&mut probe);
        self.received.is_empty()
            && read.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request and waits for the head of its answer. An engine may answer before it has
    /// read a long body, so both directions are looked at until the head is there.
    pub(crate) async fn exchange(
        &mut self,
        config: ServiceConfig,
        head: RequestHead,
        body: &Bytes,
    ) -> Result<AnswerHead, SendError> {
        let mut codec = ClientCodec::new(config);
        let mut outgoing = encode(&mut codec, head, body)?;
        let mut sent_any = false;
        loop {
            if let Some(head) = decode(&mut codec, &mut self.received)? {
                if head.status.is_informational() {
                    continue;
                }
                return Ok(AnswerHead {
                    head,
                    codec,
                    request_written: outgoing.is_empty(),
                });
            }
            if self.received.len() > MAX_HEAD_BYTES {
                return Err(SendError::MayHaveRun("the head is too long".to_owned()));
            }
            self.received.reserve(READ_BYTES);
            let (mut reader, mut writer) = self.stream.split();
            tokio::select! {
                written = writer.write(&outgoing), if !outgoing.is_empty() => {
                    match written {
                        Ok(count) => {
                            let _ = outgoing.split_to(count);
                            sent_any |= count > 0;
                        }
                        // The answer may have been sent before the connection ended.
                        Err(error) if sent_any => {
                            return self.answer_before_end(codec, &error).await;
                        }
                        Err(error) => return Err(SendError::NotSent(error.to_string())),
                    }
                }
                read = reader.read_buf(&mut self.received) => match read {
                    Ok(0) => return Err(ended(sent_any, "the connection ended")),
                    Ok(_) => {}
                    Err(error) => return Err(ended(sent_any, &error.to_string())),
                },
            }
        }
    }

    /// Looks for an answer that came before the connection refused more of the request.
    async fn answer_before_end(
        &mut self,
        mut codec: ClientCodec,
        error: &io::Error,
    ) -> Result<AnswerHead, SendError> {
        let _ = self.stream.try_read_buf(&mut self.received);
        match decode(&mut codec, &mut self.received)? {
            Some(head) => Ok(AnswerHead {
                head,
                codec,
                request_written: false,
            }),
            None => Err(SendError::MayHaveRun(error.to_string())),
        }
    }
}

fn ended(sent_any: bool, message: &str) -> SendError {
    if sent_any {
        SendError::MayHaveRun(message.to_owned())
    } else {
        SendError::NotSent(message.to_owned())
    }
}

fn encode(codec: &mut ClientCodec, head: RequestHead, body: &Bytes) -> Result<BytesMut, SendError> {
    let bodiless = matches!(head.method, Method::GET | Method::HEAD | Method::DELETE);
    let size = if body.is_empty() && bodiless {
        BodySize::None
    } else {
        BodySize::Sized(body.len() as u64)
    };
    let mut outgoing = BytesMut::with_capacity(READ_BYTES + body.len());
    let not_sent = |error: io::Error| SendError::NotSent(error.to_string());
    let item = Message::Item((RequestHeadType::from(head), size));
    codec.encode(item, &mut outgoing).map_err(not_sent)?;
    if !body.is_empty() {
        let chunk = Message::Chunk(Some(body.clone()));
        codec.encode(chunk, &mut outgoing).map_err(not_sent)?;
    }
    Ok(outgoing)
}

fn decode(
    codec: &mut ClientCodec,
    received: &mut BytesMut,
) -> Result<Option<ResponseHead>, SendError> {
    if received.is_empty() {
        return Ok(None);
    }
    let decoded = codec.decode(received);
    decoded.map_err(|error| SendError::MayHaveRun(error.to_string()))
}
