//! Reads one line of an engine's answer into a frame.
//!
//! The derived reader of the tagged enum keeps every field in memory until it knows the tag, which
//! costs several allocations a token; this one reads the fields of all kinds in one pass.

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

/// Reads a line.
pub(crate) fn parse_frame(line: &[u8]) -> Result<GenerationFrame, AttemptError> {
    let fields: FrameFields = serde_json::from_slice(line)
        .map_err(|error| AttemptError::MalformedFrame(error.to_string()))?;
    let attempt = fields.attempt;
    let frame = match fields.frame {
        FrameKind::Token => GenerationFrame::Token {
            attempt,
            position: present(fields.position, "position")?,
            text: present(fields.text, "text")?,
        },
        FrameKind::Prefilled => GenerationFrame::Prefilled {
            attempt,
            usage: present(fields.usage, "usage")?,
        },
        FrameKind::Finished => GenerationFrame::Finished {
            attempt,
            tokens: present(fields.tokens, "tokens")?,
            reason: present(fields.reason, "reason")?,
            usage: present(fields.usage, "usage")?,
        },
        FrameKind::Failed => GenerationFrame::Failed {
            attempt,
            message: present(fields.message, "message")?,
        },
    };
    Ok(frame)
}

fn present<T>(field: Option<T>, name: &str) -> Result<T, AttemptError> {
    field.ok_or_else(|| AttemptError::MalformedFrame(format!("field {name} is missing")))
}
