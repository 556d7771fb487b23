//! Frames of the bytes from an engine: a length of four bytes in network order, then so many bytes. A frame of length 0 is
//! the end of the engine's connection.

use bytes::{Buf as _, BytesMut};

/// Length of a frame's header.
pub(crate) const HEADER_BYTES: usize = 4;

/// Longest frame.
pub const MAX_FRAME_BYTES: usize = 16 * 1024;

/// A frame that no carrying node sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a frame of {length} bytes exceeds the size limit")]
pub struct FrameError {
    /// Its length.
    pub length: usize,
}

/// Takes the bytes out of the frames that carry them.
#[derive(Debug, Default)]
pub struct FrameDecoder {
    received: BytesMut,
    /// Bytes that the current frame still lacks.
    left: usize,
    has_ended: bool,
}

impl FrameDecoder {
    /// Buffer for received bytes.
    pub fn buffer(&mut self) -> &mut BytesMut {
        self.received.reserve(MAX_FRAME_BYTES);
        &mut self.received
    }

    /// Appends the carried bytes received so far to `output`.
    pub fn decode(&mut self, output: &mut BytesMut) -> Result<(), FrameError> {
        while !self.has_ended {
            if self.left == 0 {
                if self.received.len() < HEADER_BYTES {
                    return Ok(());
                }
                let length = self.received.get_u32() as usize;
                if length > MAX_FRAME_BYTES {
                    return Err(FrameError { length });
                }
                self.has_ended = length == 0;
                self.left = length;
                continue;
            }
            if self.received.is_empty() {
                return Ok(());
            }
            let taken = self.left.min(self.received.len());
            output.extend_from_slice(&self.received.split_to(taken));
            self.left -= taken;
        }
        Ok(())
    }

    /// Whether the engine has ended its connection.
    pub fn has_ended(&self) -> bool {
        self.has_ended
    }

    /// Whether nothing has been received that is not decoded.
    pub fn is_empty(&self) -> bool {
        self.received.is_empty() && self.left == 0 && !self.has_ended
    }
}
