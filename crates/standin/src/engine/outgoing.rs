//! Frames of one attempt on their way to the caller, with the faults that may befall them.

use bytes::Bytes;
use dalestand_types::{AttemptId, GenerationFrame};
use tokio::sync::mpsc;

use super::faults::{EngineFaults, take_count};

/// Text of frames that belong to another attempt: no caller may see it.
const FOREIGN_TEXT: &str = "text-of-another-request ";

/// A line that is no frame.
const MALFORMED_LINE: &[u8] = b"{\"frame\":\"token\",\"attempt\":3}\n";

/// Where one attempt's frames go.
pub(super) struct Outgoing {
    sender: mpsc::UnboundedSender<Bytes>,
    break_at: Option<u32>,
    overtaken: Option<Bytes>,
}

impl Outgoing {
    /// Sends frames to `sender`; breaks off before the token at `break_at`.
    pub(super) fn new(sender: mpsc::UnboundedSender<Bytes>, break_at: Option<u32>) -> Self {
        Self {
            sender,
            break_at,
            overtaken: None,
        }
    }

    /// Sends a frame; whether more may follow.
    pub(super) fn send(&mut self, frame: &GenerationFrame, faults: &mut EngineFaults) -> bool {
        if let (Some(break_at), GenerationFrame::Token { position, .. }) = (self.break_at, frame)
            && *position >= break_at
        {
            return false;
        }
        if take_count(&mut faults.malformed_frames) {
            self.put(Bytes::from_static(MALFORMED_LINE));
        }
        let line = line(frame);
        if faults.reorder_frames && !frame.is_last() && self.overtaken.is_none() {
            self.overtaken = Some(line);
            return true;
        }
        self.put(line.clone());
        if faults.duplicate_frames {
            self.put(line);
        }
        if let Some(overtaken) = self.overtaken.take() {
            self.put(overtaken);
        }
        if faults.foreign_frames {
            self.put(foreign_line(frame));
        }
        !frame.is_last()
    }

    fn put(&self, line: Bytes) {
        // A receiver that is gone is noticed by its guard, which removes the attempt.
        let _ = self.sender.send(line);
    }
}

fn line(frame: &GenerationFrame) -> Bytes {
    // Frames hold text and numbers, which always encode.
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
    line(&GenerationFrame::Token {
        attempt,
        position,
        text: FOREIGN_TEXT.to_owned(),
    })
}
