//! Parses one line of an engine's answer into a frame.
//!
//! The deserializer that serde derives for the tagged enum buffers every field until it has read the
//! tag, which costs several allocations per token. [`parse_frame`] reads the fields of all kinds into
//! one struct instead.

use dalestand_types::{AttemptId, FinishReason, GenerationFrame, Usage};
use serde::Deserialize;

use crate::AttemptError;

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "snake_case")]
enum FrameKind {
    Token,
    Prefilled,
    Finished,
    Failed,
}

#[derive(Deserialize)]
struct FrameFields {
    frame: FrameKind,
    attempt: AttemptId,
    position: Option<u32>,
    text: Option<String>,
    tokens: Option<u32>,
    reason: Option<FinishReason>,
    usage: Option<Usage>,
    message: Option<String>,
}

pub(crate) fn parse_frame(line: &[u8]) -> Result<GenerationFrame, AttemptError> {
    let fields: FrameFields = serde_json::from_slice(line)
        .map_err(|error| AttemptError::MalformedFrame(error.to_string()))?;
    let attempt = fields.attempt;
    let frame = match fields.frame {
        FrameKind::Token => GenerationFrame::Token {
            attempt,
            position: required(fields.position, "position")?,
            text: required(fields.text, "text")?,
        },
        FrameKind::Prefilled => GenerationFrame::Prefilled {
            attempt,
            usage: required(fields.usage, "usage")?,
        },
        FrameKind::Finished => GenerationFrame::Finished {
            attempt,
            tokens: required(fields.tokens, "tokens")?,
            reason: required(fields.reason, "reason")?,
            usage: required(fields.usage, "usage")?,
        },
        FrameKind::Failed => GenerationFrame::Failed {
            attempt,
            message: required(fields.message, "message")?,
        },
    };
    Ok(frame)
}

fn required<T>(field: Option<T>, name: &str) -> Result<T, AttemptError> {
    field.ok_or_else(|| AttemptError::MalformedFrame(format!("field {name} is missing")))
}
