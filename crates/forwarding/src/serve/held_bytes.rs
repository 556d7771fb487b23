//! Bytes of whole answers that wait for callers to read them, and their bound.
//!
//! Answers are gathered so that a broken one can be replaced before the caller has seen any of it. A caller that
//! reads slowly has its answer held; one that finds no room is passed on as it comes instead, at the caller's pace,
//! which the engine then feels.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::stream::{self, Stream};

use crate::serve::relay_error::RelayError;

/// Most bytes that are held for all callers: a quarter of the 64 MB that a node may take for all its work.
const MOST_HELD: usize = 16 << 20;

/// Part of an answer that is handed to a connection at once: what the connection holds beside.
const PIECE_BYTES: usize = 16 << 10;

/// Bytes held by one node.
#[derive(Clone, Debug, Default)]
pub(crate) struct HeldBytes(Rc<Cell<usize>>);

/// Room for one answer, until dropped.
#[derive(Debug)]
pub(crate) struct HeldRoom {
    held: HeldBytes,
    bytes: usize,
}

impl HeldBytes {
    /// Room for so many bytes; `None` if there is none.
    pub(crate) fn reserve(&self, bytes: usize) -> Option<HeldRoom> {
        let held = self.0.get() + bytes;
        if held > MOST_HELD {
            return None;
        }
        self.0.set(held);
        Some(HeldRoom {
            held: self.clone(),
            bytes,
        })
    }

    /// Bytes held now.
    pub(crate) fn get(&self) -> usize {
        self.0.get()
    }
}

impl HeldRoom {
    /// Notes how many bytes the answer takes.
    pub(crate) fn resize(&mut self, bytes: usize) {
        let others = self.held.0.get() - self.bytes;
        self.held.0.set(others + bytes);
        self.bytes = bytes;
    }
}

impl Drop for HeldRoom {
    fn drop(&mut self) {
        self.held.0.set(self.held.0.get() - self.bytes);
    }
}

/// A held answer in pieces, as the caller reads. Its room is given back with the last one.
pub(crate) fn in_pieces(
    body: Bytes,
    room: HeldRoom,
) -> impl Stream<Item = Result<Bytes, RelayError>> {
    stream::unfold((body, room), |(mut body, room)| async move {
        if body.is_empty() {
            return None;
        }
        let piece = body.split_to(body.len().min(PIECE_BYTES));
        Some((Ok(piece), (body, room)))
    })
}
