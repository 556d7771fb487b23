//! Decodes response bodies.

use bytes::{Buf as _, Bytes, BytesMut};
use httparse::{EMPTY_HEADER, Status};

use crate::response_head::{Framing, MAX_FIELDS, has_strict_line_ends};

/// Line end after the data of a chunk.
const CHUNK_END: &[u8] = b"\r\n";

/// What a decoder found in the received bytes.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum Decoded {
    /// Bytes of the body.
    Data(Bytes),
    /// The body has ended.
    End,
    /// More bytes have to be received.
    Incomplete,
}

/// Why bytes are not part of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum DecodeError {
    #[error("malformed chunk size")]
    ChunkSize,
    #[error("a chunk is longer than its size")]
    ChunkEnd,
    #[error("malformed trailer")]
    Trailer,
}

/// Decodes a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyDecoder {
    /// So many bytes are left.
    Length(u64),
    /// The body is chunked.
    Chunked(ChunkState),
    /// The body lasts until the connection ends.
    UntilClose,
}

/// What comes next in a chunked body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChunkState {
    Size,
    /// So many bytes of the chunk.
    Data(u64),
    DataEnd,
    Trailers,
    End,
}

impl BodyDecoder {
    pub(crate) fn new(framing: Framing) -> Self {
        match framing {
            Framing::Empty => Self::Length(0),
            Framing::Length(length) => Self::Length(length),
            Framing::Chunked => Self::Chunked(ChunkState::Size),
            Framing::UntilClose => Self::UntilClose,
        }
    }

    /// Takes the next part of the body out of `received`.
    pub(crate) fn decode(&mut self, received: &mut BytesMut) -> Result<Decoded, DecodeError> {
        match self {
            Self::Length(0) => Ok(Decoded::End),
            Self::Length(left) => Ok(take(received, left)),
            Self::Chunked(state) => state.decode(received),
            Self::UntilClose if received.is_empty() => Ok(Decoded::Incomplete),
            Self::UntilClose => Ok(Decoded::Data(received.split().freeze())),
        }
    }
}

impl ChunkState {
    fn decode(&mut self, received: &mut BytesMut) -> Result<Decoded, DecodeError> {
        loop {
            match self {
                Self::Size => {
                    // The parser takes a line without a digit for a size of 0.
                    if received
                        .first()
                        .is_some_and(|byte| !byte.is_ascii_hexdigit())
                    {
                        return Err(DecodeError::ChunkSize);
                    }
                    let parsed = httparse::parse_chunk_size(received);
                    let Status::Complete((length, size)) =
                        parsed.map_err(|_| DecodeError::ChunkSize)?
                    else {
                        return Ok(Decoded::Incomplete);
                    };
                    received.advance(length);
                    *self = match size {
                        0 => Self::Trailers,
                        size => Self::Data(size),
                    };
                }
                Self::Data(0) => *self = Self::DataEnd,
                Self::Data(left) => return Ok(take(received, left)),
                Self::DataEnd => {
                    let end = &received[..received.len().min(CHUNK_END.len())];
                    if !CHUNK_END.starts_with(end) {
                        return Err(DecodeError::ChunkEnd);
                    }
                    if end.len() < CHUNK_END.len() {
                        return Ok(Decoded::Incomplete);
                    }
                    received.advance(CHUNK_END.len());
                    *self = Self::Size;
                }
                Self::Trailers => {
                    let mut fields = [EMPTY_HEADER; MAX_FIELDS];
                    let parsed = httparse::parse_headers(received, &mut fields);
                    let Status::Complete((length, _)) = parsed.map_err(|_| DecodeError::Trailer)?
                    else {
                        return Ok(Decoded::Incomplete);
                    };
                    if !has_strict_line_ends(&received[..length]) {
                        return Err(DecodeError::Trailer);
                    }
                    received.advance(length);
                    *self = Self::End;
                }
                Self::End => return Ok(Decoded::End),
            }
        }
    }
}

/// Takes up to `left` bytes.
fn take(received: &mut BytesMut, left: &mut u64) -> Decoded {
    let length = usize::try_from(*left).map_or(received.len(), |left| left.min(received.len()));
    if length == 0 {
        return Decoded::Incomplete;
    }
    *left -= length as u64;
    Decoded::Data(received.split_to(length).freeze())
}
