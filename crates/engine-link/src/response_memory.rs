//! Limit on the bytes of responses that are received whole and held at the same time.

use std::cell::Cell;

use bytes::{Bytes, BytesMut};

use crate::error::BodyError;
use crate::response::ResponseBody;

/// Limits on the bodies of responses, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseMemoryLimits {
    /// Limit on one body.
    pub response_bytes: usize,
    /// Limit on all bodies that are being received. Their buffers may take twice as much.
    pub total_bytes: usize,
}

/// Bytes of the bodies that are being received.
#[derive(Debug)]
pub struct ResponseMemory {
    limits: ResponseMemoryLimits,
    held_bytes: Cell<usize>,
}

/// The bytes of one body, until dropped.
struct HeldBody<'a> {
    memory: &'a ResponseMemory,
    bytes: usize,
}

impl ResponseMemory {
    /// Memory without responses.
    pub fn new(limits: ResponseMemoryLimits) -> Self {
        Self {
            limits,
            held_bytes: Cell::new(0),
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Those of the body, and [`BodyError::Malformed`] if it is too long or does not fit beside the others.
    pub async fn collect(&self, body: &mut ResponseBody) -> Result<Bytes, BodyError> {
        let mut held = HeldBody {
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

impl HeldBody<'_> {
    fn add(&mut self, bytes: usize) -> Result<(), BodyError> {
        let limits = self.memory.limits;
        let total = self.memory.held_bytes.get() + bytes;
        if self.bytes + bytes > limits.response_bytes || total > limits.total_bytes {
            let message = "the body exceeds the memory for responses";
            return Err(BodyError::Malformed(message.to_owned()));
        }
        self.bytes += bytes;
        self.memory.held_bytes.set(total);
        Ok(())
    }
}

impl Drop for HeldBody<'_> {
    fn drop(&mut self) {
        let held = &self.memory.held_bytes;
        held.set(held.get() - self.bytes);
    }
}
