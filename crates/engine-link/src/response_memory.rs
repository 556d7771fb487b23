//! Limit on the bytes of responses that are being received from one service.

use std::cell::Cell;

use bytes::{Bytes, BytesMut};
use dalestand_engine_link::{BodyError, ResponseBody};

/// Limit on the body of a response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Limit on the bodies of all responses together. Their buffers may take twice as much.
const MAX_TOTAL_BYTES: usize = 24 << 20;

/// Bytes that are being received.
#[derive(Debug, Default)]
pub(crate) struct ResponseMemory {
    held: Cell<usize>,
}

/// The bytes of one response, until dropped.
struct HeldResponse<'a> {
    memory: &'a ResponseMemory,
    bytes: usize,
}

impl ResponseMemory {
    /// Reads a whole body; fails if it is too long, or if there is no memory beside the others.
    pub(crate) async fn collect(&self, body: &mut ResponseBody) -> Result<Bytes, BodyError> {
        let mut held = HeldResponse {
            memory: self,
            bytes: 0,
        };
        let mut collected = BytesMut::new();
        while let Some(chunk) = body.next().await {
            let chunk = chunk?;
            held.add(chunk.len())?;
            collected.extend_from_slice(&chunk);
        }
        Ok(collected.freeze())
    }
}

impl HeldResponse<'_> {
    fn add(&mut self, bytes: usize) -> Result<(), BodyError> {
        let total = self.memory.held.get() + bytes;
        if self.bytes + bytes > MAX_RESPONSE_BYTES || total > MAX_TOTAL_BYTES {
            let message = "the body exceeds the memory for responses";
            return Err(BodyError::Malformed(message.to_owned()));
        }
        self.bytes += bytes;
        self.memory.held.set(total);
        Ok(())
    }
}

impl Drop for HeldResponse<'_> {
    fn drop(&mut self) {
        let held = &self.memory.held;
        held.set(held.get() - self.bytes);
    }
}
