//! The OpenAI-compatible wire format: what callers send and what they get.

mod answer;
mod events;
mod request;

pub(crate) use answer::{AnswerHead, ErrorBody, ErrorDetail, ModelBody, ModelsBody, whole_body};
pub(crate) use events::EventWriter;
pub(crate) use request::{ChatBody, CompletionBody, Wish};

/// Which path a request came in by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(crate) enum Surface {
    /// `POST /v1/completions`.
    Completion,
    /// `POST /v1/chat/completions`.
    Chat,
}

impl Surface {
    /// Begin of the answer's identifier.
    pub(crate) fn id_prefix(self) -> &'static str {
        match self {
            Self::Completion => "cmpl-",
            Self::Chat => "chatcmpl-",
        }
    }

    fn whole_object(self) -> &'static str {
        match self {
            Self::Completion => "text_completion",
            Self::Chat => "chat.completion",
        }
    }

    fn chunk_object(self) -> &'static str {
        match self {
            Self::Completion => "text_completion",
            Self::Chat => "chat.completion.chunk",
        }
    }
}
