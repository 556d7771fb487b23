//! Bodies of non-streamed answers, model lists and errors.

use dalestand_types::{FinishReason, Usage};
use serde::Serialize;

use super::Endpoint;

/// Fields common to a non-streamed answer and to every chunk of a streamed one.
#[derive(Clone, Debug)]
pub(crate) struct AnswerHead {
    /// Endpoint of the request.
    pub(crate) endpoint: Endpoint,
    /// Identifier of the answer.
    pub(crate) id: String,
    /// Creation time, in seconds since the Unix epoch.
    pub(crate) created: u64,
    /// Model name as sent by the caller.
    pub(crate) model: String,
}

#[derive(Serialize)]
struct WholeBody<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [WholeChoice<'a>; 1],
    usage: UsageBody,
}

#[derive(Serialize)]
struct WholeChoice<'a> {
    index: u32,
    #[serde(flatten)]
    content: WholeContent<'a>,
    logprobs: Option<()>,
    finish_reason: &'static str,
}

#[derive(Serialize)]
#[serde(rename_all = "lowercase")]
enum WholeContent<'a> {
    Text(&'a str),
    Message(MessageBody<'a>),
}

#[derive(Serialize)]
struct MessageBody<'a> {
    role: &'static str,
    content: &'a str,
    refusal: Option<()>,
}

/// Token counts.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct UsageBody {
    prompt_tokens: u32,
    completion_tokens: u32,
    total_tokens: u32,
    prompt_tokens_details: PromptTokensDetails,
}

/// Breakdown of the prompt's tokens.
#[derive(Clone, Copy, Debug, Serialize)]
struct PromptTokensDetails {
    cached_tokens: u32,
}

impl From<Usage> for UsageBody {
    fn from(usage: Usage) -> Self {
        Self {
            prompt_tokens: usage.prompt_tokens,
            completion_tokens: usage.completion_tokens,
            total_tokens: usage.prompt_tokens + usage.completion_tokens,
            prompt_tokens_details: PromptTokensDetails {
                cached_tokens: usage.cached_tokens,
            },
        }
    }
}

/// The body of a non-streamed answer.
pub(crate) fn whole_body<'a>(
    head: &'a AnswerHead,
    text: &'a str,
    reason: FinishReason,
    usage: Usage,
) -> impl Serialize + use<'a> {
    let content = match head.endpoint {
        Endpoint::Completion => WholeContent::Text(text),
        Endpoint::Chat => WholeContent::Message(MessageBody {
            role: "assistant",
            content: text,
            refusal: None,
        }),
    };
    WholeBody {
        id: &head.id,
        object: head.endpoint.whole_object(),
        created: head.created,
        model: &head.model,
        choices: [WholeChoice {
            index: 0,
            content,
            logprobs: None,
            finish_reason: finish_reason_text(reason),
        }],
        usage: usage.into(),
    }
}

/// The `finish_reason` on the wire.
pub(crate) fn finish_reason_text(reason: FinishReason) -> &'static str {
    match reason {
        FinishReason::Stop => "stop",
        FinishReason::Length => "length",
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

/// The content of an error object.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ErrorDetail {
    pub(crate) message: String,
    #[serde(rename = "type")]
    pub(crate) kind: &'static str,
    pub(crate) param: Option<String>,
    pub(crate) code: &'static str,
}
