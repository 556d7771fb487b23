//! Sends the frames of one attempt, with injected faults.

use bytes::Bytes;
use dalestand_types::{AttemptId, GenerationFrame};
use tokio::sync::mpsc;

use super::faults::{EngineFaults, consume_one};

/// Text of injected frames of another attempt, which must not reach a caller.
const FOREIGN_TEXT: &str = "text-of-another-request ";

/// A line that does not decode as a frame.
const MALFORMED_LINE: &[u8] = b"{\"frame\":\"token\",\"attempt\":3}\n";

/// Sender of one attempt's frames.
pub(super) struct FrameSender {
    sender: mpsc::UnboundedSender<Bytes>,
    break_at: Option<u32>,
    held_back: Option<Bytes>,
}

impl FrameSender {
    /// Creates a sender that stops before the token at position `break_at`.
    pub(super) fn new(sender: mpsc::UnboundedSender<Bytes>, break_at: Option<u32>) -> Self {
        Self {
            sender,
            break_at,
            held_back: None,
        }
    }

    /// Sends a frame; returns whether the stream stays open.
    pub(super) fn send(&mut self, frame: &GenerationFrame, faults: &mut EngineFaults) -> bool {
        if let (Some(break_at), GenerationFrame::Token { position, .. }) = (self.break_at, frame)
            && *position >= break_at
        {
            return false;
        }
        if consume_one(&mut faults.malformed_frames) {
            self.push(Bytes::from_static(MALFORMED_LINE));
        }
        let line = encode_line(frame);
        if faults.reorder_frames && !frame.is_last() && self.held_back.is_none() {
            self.held_back = Some(line);
            return true;
        }
        self.push(line.clone());
        if faults.duplicate_frames {
            self.push(line);
        }
        if let Some(held_back) = self.held_back.take() {
            self.push(held_back);
        }
        if faults.foreign_frames {
            self.push(foreign_line(frame));
        }
        !frame.is_last()
    }

    fn push(&self, line: Bytes) {
        // If the receiver is gone, its `AttemptGuard` removes the attempt.
        let _ = self.sender.send(line);
    }
}

fn encode_line(frame: &GenerationFrame) -> Bytes {
    // Frames contain only text and numbers, so encoding cannot fail.
    let mut line = serde_json::to_vec(frame).unwrap_or_default();
    line.push(b'\n');
    Bytes::from(line)
}

fn foreign_line(frame: &GenerationFrame) -> Bytes {
    let attempt = AttemptId(!frame.attempt().0);
    let position = match frame {
        GenerationFrame::Token { position, .. } => position + 1,
        _ => 0,
    };
    encode_line(&GenerationFrame::Token {
        attempt,
        position,
        text: FOREIGN_TEXT.to_owned(),
    })
}
