//! Splits a server-sent event stream into events.

use bytes::{Bytes, BytesMut};

/// A complete event, including the empty line that ends it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its bytes, unchanged.
    pub bytes: Bytes,
    /// Its id, if that is a number.
    pub id: Option<u64>,
}

/// Incremental splitter that buffers an incomplete event.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    pending: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.pending.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let Some(end) = event_end(&self.pending, self.searched) else {
            // The end marker may span this chunk and the next one.
            self.searched = self.pending.len().saturating_sub(3);
            return None;
        };
        self.searched = 0;
        let bytes = self.pending.split_to(end).freeze();
        let id = event_id(&bytes);
        Some(StreamEvent { bytes, id })
    }

    /// Bytes of the incomplete event at the end.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }
}

/// End of the first event that ends at or after `from`.
fn event_end(bytes: &[u8], from: usize) -> Option<usize> {
    let mut place = from;
    while place < bytes.len() {
        if bytes[place..].starts_with(b"\n\n") {
            return Some(place + 2);
        }
        if bytes[place..].starts_with(b"\n\r\n") {
            return Some(place + 3);
        }
        place += 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
