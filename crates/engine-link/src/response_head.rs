//! Decodes response heads.
//!
//! A head that breaks the rules of HTTP/1.1 does not tell where its response ends, so it is refused as a whole: a lenient reading
//! could take a part of a body for the whole of it.

use actix_http::header::{
    CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use actix_http::{Method, ResponseHead, StatusCode, Version};
use bytes::{Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Status};

/// Maximum number of fields in a head or in the trailers of a body.
pub(crate) const MAX_FIELDS: usize = 96;

/// First digits of defined statuses.
const STATUS_CLASSES: std::ops::RangeInclusive<u16> = 1..=5;

/// Why the bytes of a response are not one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum MalformedResponse {
    /// The first line is not a status line.
    #[error("malformed status line")]
    StatusLine,
    /// The status has no defined class, or switches to a protocol that was not asked for.
    #[error("invalid status")]
    Status,
    /// A line of the head is not a field.
    #[error("malformed field")]
    Field,
    /// There are too many fields.
    #[error("too many fields")]
    TooManyFields,
    /// `Content-Length` is not a number, or there are two different ones.
    #[error("invalid length")]
    Length,
    /// `Transfer-Encoding` is not `chunked`, or is used where it must not be.
    #[error("invalid transfer coding")]
    TransferCoding,
    /// The status does not allow a body, but the fields announce one.
    #[error("a body where none is allowed")]
    UnexpectedBody,
    /// The engine ended the connection within the head.
    #[error("truncated head")]
    TruncatedHead,
    /// The head is too long.
    #[error("head too long")]
    HeadTooLong,
    /// There are too many informational responses before the final one.
    #[error("too many informational responses")]
    TooManyInformational,
}

impl MalformedResponse {
    /// Name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::StatusLine => "status line",
            Self::Status => "status",
            Self::Field => "field",
            Self::TooManyFields => "too many fields",
            Self::Length => "length",
            Self::TransferCoding => "transfer coding",
            Self::UnexpectedBody => "unexpected body",
            Self::TruncatedHead => "truncated head",
            Self::HeadTooLong => "head too long",
            Self::TooManyInformational => "too many informational responses",
        }
    }
}

/// How the end of a body is marked, as a head tells.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    /// There is no body.
    Empty,
    /// By its length in bytes.
    Length(u64),
    /// By a last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// A decoded head.
#[derive(Debug)]
pub(crate) struct DecodedHead {
    pub(crate) head: ResponseHead,
    pub(crate) framing: Framing,
    /// Whether the connection stays open after the response.
    pub(crate) keeps_alive: bool,
}

/// Decodes the head at the start of `received` and removes it; `None` while it is incomplete. `method` is that of the request.
pub(crate) fn decode_head(
    method: &Method,
    received: &mut BytesMut,
) -> Result<Option<DecodedHead>, MalformedResponse> {
    // The parser skips empty lines before a head.
    if matches!(received.first(), Some(b'\r' | b'\n')) {
        return Err(MalformedResponse::StatusLine);
    }
    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
    let mut parsed = httparse::Response::new(&mut fields);
    let length = match parsed.parse(received).map_err(parse_error)? {
        Status::Complete(length) => length,
        Status::Partial => return Ok(None),
    };
    if !has_strict_line_ends(&received[..length]) {
        return Err(MalformedResponse::Field);
    }
    let start = received.as_ptr() as usize;
    let positions = parsed.headers.iter().map(|field| {
        let position = |part: &[u8]| {
            let offset = part.as_ptr() as usize - start;
            offset..offset + part.len()
        };
        (position(field.name.as_bytes()), position(field.value))
    });
    let positions: smallvec::SmallVec<[_; 16]> = positions.collect();
    let (code, version) = (parsed.code.unwrap_or_default(), parsed.version);
    let bytes = received.split_to(length).freeze();
    let mut head = ResponseHead::new(decode_status(code)?);
    head.version = match version {
        Some(1) => Version::HTTP_11,
        _ => Version::HTTP_10,
    };
    for (name, value) in positions {
        let (name, value) = decode_field(&bytes[name], bytes.slice(value))?;
        head.headers.append(name, value);
    }
    let framing = framing(method, &head)?;
    let keeps_alive = keeps_alive(&head) && framing != Framing::UntilClose;
    Ok(Some(DecodedHead {
        head,
        framing,
        keeps_alive,
    }))
}

/// Whether all lines end in a carriage return and a line feed. The parser accepts a line feed alone, so that one that is out of
/// place could end a head early.
pub(crate) fn has_strict_line_ends(lines: &[u8]) -> bool {
    let mut previous = 0;
    lines.iter().all(|byte| {
        let is_strict = *byte != b'\n' || previous == b'\r';
        previous = *byte;
        is_strict
    })
}

fn parse_error(error: httparse::Error) -> MalformedResponse {
    match error {
        httparse::Error::HeaderName | httparse::Error::HeaderValue | httparse::Error::NewLine => {
            MalformedResponse::Field
        }
        httparse::Error::TooManyHeaders => MalformedResponse::TooManyFields,
        httparse::Error::Token | httparse::Error::Version | httparse::Error::Status => {
            MalformedResponse::StatusLine
        }
    }
}

fn decode_status(code: u16) -> Result<StatusCode, MalformedResponse> {
    let status = StatusCode::from_u16(code).map_err(|_| MalformedResponse::Status)?;
    let is_defined = STATUS_CLASSES.contains(&(code / 100));
    if !is_defined || status == StatusCode::SWITCHING_PROTOCOLS {
        return Err(MalformedResponse::Status);
    }
    Ok(status)
}

fn decode_field(name: &[u8], value: Bytes) -> Result<(HeaderName, HeaderValue), MalformedResponse> {
    let name = HeaderName::from_bytes(name).map_err(|_| MalformedResponse::Field)?;
    let value = HeaderValue::from_maybe_shared(value).map_err(|_| MalformedResponse::Field)?;
    Ok((name, value))
}

/// How the end of the body is marked (RFC 9112, section 6.3).
fn framing(method: &Method, head: &ResponseHead) -> Result<Framing, MalformedResponse> {
    let length = content_length(&head.headers)?;
    let is_chunked = is_chunked(head)?;
    if is_chunked && length.is_some() {
        return Err(MalformedResponse::TransferCoding);
    }
    let announces_body = is_chunked || length.is_some_and(|length| length > 0);
    if head.status.is_informational() || head.status == StatusCode::NO_CONTENT {
        return if announces_body {
            Err(MalformedResponse::UnexpectedBody)
        } else {
            Ok(Framing::Empty)
        };
    }
    // The fields tell what the response to a GET would be.
    if *method == Method::HEAD || head.status == StatusCode::NOT_MODIFIED {
        return Ok(Framing::Empty);
    }
    Ok(match length {
        Some(length) => Framing::Length(length),
        None if is_chunked => Framing::Chunked,
        None => Framing::UntilClose,
    })
}

/// The length that the fields name; several must be equal.
fn content_length(headers: &HeaderMap) -> Result<Option<u64>, MalformedResponse> {
    let mut length = None;
    for value in headers.get_all(CONTENT_LENGTH) {
        let text = value.to_str().map_err(|_| MalformedResponse::Length)?;
        for item in text.split(',') {
            let item = parse_length(item.trim()).ok_or(MalformedResponse::Length)?;
            if length.is_some_and(|length| length != item) {
                return Err(MalformedResponse::Length);
            }
            length = Some(item);
        }
    }
    Ok(length)
}

fn parse_length(text: &str) -> Option<u64> {
    let is_number = !text.is_empty() && text.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| text.parse().ok())?
}

/// Whether the body is chunked. No other transfer coding is accepted, as none was asked for.
fn is_chunked(head: &ResponseHead) -> Result<bool, MalformedResponse> {
    let mut codings = head.headers.get_all(TRANSFER_ENCODING);
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    let is_chunked = coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    // HTTP/1.0 has no transfer codings, so that the end of such a body is in doubt.
    if !is_chunked || codings.next().is_some() || head.version != Version::HTTP_11 {
        return Err(MalformedResponse::TransferCoding);
    }
    Ok(true)
}

fn keeps_alive(head: &ResponseHead) -> bool {
    let has_option = |option: &str| {
        head.headers.get_all(CONNECTION).any(|value| {
            let options = value.to_str().unwrap_or_default().split(',');
            let mut options = options.map(str::trim);
            options.any(|other| other.eq_ignore_ascii_case(option))
        })
    };
    match head.version {
        Version::HTTP_11 => !has_option("close"),
        _ => has_option("keep-alive") && !has_option("close"),
    }
}
