//! Limit on the bytes of buffered answers that callers have yet to read.
//!
//! Answers are buffered so that a broken one can be replaced before the caller has seen any of it.
//! A slow caller keeps its answer in memory; once the limit is reached, further answers are
//! streamed instead, with backpressure on the engine.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::{self, Stream};

use crate::serve::answer_stream_error::AnswerStreamError;

/// Bytes of an answer that are handed to the connection at a time.
const CHUNK_BYTES: usize = 16 << 10;

/// Bytes held by one node.
#[derive(Clone, Debug)]
pub(crate) struct HeldBytes {
    held: Rc<Cell<usize>>,
    limit: usize,
}

/// A reservation for one answer, until dropped.
#[derive(Debug)]
pub(crate) struct HeldReservation {
    held: HeldBytes,
    bytes: usize,
}

impl HeldBytes {
    /// No bytes, of at most `limit` for all callers.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            held: Rc::default(),
            limit,
        }
    }

    /// Reserves a number of bytes; `None` if that would exceed the limit.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<HeldReservation> {
        let held = self.held.get() + bytes;
        if held > self.limit {
            return None;
        }
        self.held.set(held);
        Some(HeldReservation {
            held: self.clone(),
            bytes,
        })
    }

    /// Bytes held now.
    pub(crate) fn get(&self) -> usize {
        self.held.get()
    }
}

impl HeldReservation {
    /// Extends the reservation to `bytes` unless that would exceed the limit; returns whether it did.
    pub(crate) fn extend(&mut self, bytes: usize) -> bool {
        let others = self.held.get() - self.bytes;
        let is_within = others + bytes <= self.held.limit;
        if is_within {
            self.resize(bytes);
        }
        is_within
    }

    /// Adjusts the reservation to the actual length of the answer.
    pub(crate) fn resize(&mut self, bytes: usize) {
        let others = self.held.get() - self.bytes;
        self.held.held.set(others + bytes);
        self.bytes = bytes;
    }
}

impl Drop for HeldReservation {
    fn drop(&mut self) {
        self.held.held.set(self.held.get() - self.bytes);
    }
}

/// Streams a buffered answer in chunks as the caller reads. The reservation is kept until the last
/// chunk.
pub(crate) fn in_chunks(
    body: Bytes,
    reservation: HeldReservation,
) -> impl Stream<Item = Result<Bytes, AnswerStreamError>> {
    stream::unfold((body, reservation), |(mut body, reservation)| async move {
        if body.is_empty() {
            return None;
        }
        let chunk = body.split_to(body.len().min(CHUNK_BYTES));
        Some((Ok(chunk), (body, reservation)))
    })
}
