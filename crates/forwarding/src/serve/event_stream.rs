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

    /// Whether a complete event has been received.
    pub fn has_event(&mut self) -> bool {
        let has_event = event_end(&self.pending, self.searched).is_some();
        if !has_event {
            self.searched = self.pending.len().saturating_sub(3);
        }
        has_event
    }

    /// Bytes received after the last complete event.
    pub fn pending(&self) -> &[u8] {
        &self.pending
    }

    /// Whether some of an event has been received whose end has not. Line ends alone are not an event.
    pub fn is_inside_event(&self) -> bool {
        let mut pending = self.pending.iter();
        pending.any(|byte| !matches!(byte, b'\r' | b'\n'))
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
        if bytes[place..].starts_with(b"\r\r") {
            return Some(place + 2);
        }
        place += 1;
    }
    None
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| matches!(byte, b'\n' | b'\r'));
    let value = lines.find_map(|line| line.strip_prefix(b"id:"))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
