//! The OpenAI-compatible wire format.

use dalestand_types::Usage;
use serde::{Deserialize, Serialize};

/// Closing event of a stream.
pub(crate) const DONE_EVENT: &str = "data: [DONE]\n\n";

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct CompletionRequest {
    pub(crate) model: String,
    pub(crate) prompt: String,
    pub(crate) max_tokens: Option<u32>,
    #[serde(default)]
    pub(crate) stream: bool,
}

/// Answer to `POST /v1/completions`, whole or one chunk of it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CompletionBody<'a> {
    pub(crate) id: &'a str,
    pub(crate) object: &'static str,
    pub(crate) created: u64,
    pub(crate) model: &'a str,
    pub(crate) choices: Vec<CompletionChoice<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) usage: Option<UsageBody>,
}

/// One choice of a completion.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct CompletionChoice<'a> {
    pub(crate) text: &'a str,
    pub(crate) index: u32,
    pub(crate) finish_reason: Option<&'static str>,
}

/// Token counts.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct UsageBody {
    pub(crate) prompt_tokens: u32,
    pub(crate) completion_tokens: u32,
    pub(crate) total_tokens: u32,
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
        }
    }
}

/// Answer to `GET /v1/models`.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ModelsBody {
    pub(crate) object: &'static str,
    pub(crate) data: Vec<ModelBody>,
}

/// One model.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ModelBody {
    pub(crate) id: String,
    pub(crate) object: &'static str,
    pub(crate) created: u64,
    pub(crate) owned_by: &'static str,
}

/// The error object.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ErrorBody {
    pub(crate) error: ErrorDetail,
}

/// What went wrong.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ErrorDetail {
    pub(crate) message: String,
    #[serde(rename = "type")]
    pub(crate) kind: &'static str,
    pub(crate) param: Option<String>,
    pub(crate) code: &'static str,
}
