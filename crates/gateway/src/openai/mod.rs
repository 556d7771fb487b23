//! The OpenAI-compatible wire format of requests and answers.

mod answer;
mod events;
mod request;

pub(crate) use answer::{AnswerHead, ErrorBody, ErrorDetail, ModelBody, ModelsBody, whole_body};
pub(crate) use events::EventWriter;
pub(crate) use request::{CallerRequest, ChatBody, CompletionBody};

/// The endpoint that a request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Endpoint {
    /// `POST /v1/completions`.
    Completion,
    /// `POST /v1/chat/completions`.
    Chat,
}

impl Endpoint {
    /// Prefix of the answer's identifier.
    pub(crate) fn id_prefix(self) -> &'static str {
        match self {
            Self::Completion => "cmpl-",
            Self::Chat => "chatcmpl-",
        }
    }

    /// The `object` field of a non-streamed answer.
    fn whole_object(self) -> &'static str {
        match self {
            Self::Completion => "text_completion",
            Self::Chat => "chat.completion",
        }
    }

    /// The `object` field of a chunk of a streamed answer.
    fn chunk_object(self) -> &'static str {
        match self {
            Self::Completion => "text_completion",
            Self::Chat => "chat.completion.chunk",
        }
    }
}
