//! Request bodies. Unknown fields are ignored, since client libraries send many.

use serde::Deserialize;

use crate::error::CallerError;

use super::Endpoint;

/// Maximum number of stop sequences in a request.
const MAX_STOP_SEQUENCES: usize = 4;

/// A request to either endpoint, checked independently of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerRequest {
    /// Endpoint of the request.
    pub(crate) endpoint: Endpoint,
    /// Model name, with the adapter if one is given.
    pub(crate) model: String,
    /// Text of the prompt.
    pub(crate) prompt: String,
    /// Maximum number of output tokens, if given.
    pub(crate) max_tokens: Option<u32>,
    /// Whether the answer is streamed.
    pub(crate) stream: bool,
    /// Whether a stream ends with token counts.
    pub(crate) include_usage: bool,
    /// Stop sequences.
    pub(crate) stop: Vec<String>,
}

/// Text, or a list of texts.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, expecting = "must be a string or a list of strings")]
enum TextOrList {
    Text(String),
    List(Vec<String>),
}

/// Options of a stream.
#[derive(Clone, Debug, Default, Deserialize)]
struct StreamOptions {
    #[serde(default)]
    include_usage: bool,
}

/// Fields common to both endpoints.
#[derive(Clone, Debug, Deserialize)]
struct CommonFields {
    model: String,
    max_tokens: Option<u32>,
    n: Option<u32>,
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
    stop: Option<TextOrList>,
}

/// Body of `POST /v1/completions`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct CompletionBody {
    model: String,
    prompt: TextOrList,
    max_tokens: Option<u32>,
    n: Option<u32>,
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
    stop: Option<TextOrList>,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Clone, Debug, Deserialize)]
pub(crate) struct ChatBody {
    model: String,
    messages: Vec<Message>,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    n: Option<u32>,
    stream: Option<bool>,
    stream_options: Option<StreamOptions>,
    stop: Option<TextOrList>,
}

/// One message of a chat.
#[derive(Clone, Debug, Deserialize)]
struct Message {
    role: String,
    content: Option<Content>,
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize)]
#[serde(untagged, expecting = "must be a string or a list of text parts")]
enum Content {
    Text(String),
    Parts(Vec<Part>),
}

/// One part of a message's content.
#[derive(Clone, Debug, Deserialize)]
struct Part {
    #[serde(rename = "type")]
    kind: String,
    text: Option<String>,
}

impl CompletionBody {
    /// Checks the fields.
    pub(crate) fn into_request(self) -> Result<CallerRequest, CallerError> {
        let prompt = match self.prompt {
            TextOrList::Text(text) => text,
            TextOrList::List(mut list) if list.len() == 1 => list.remove(0),
            TextOrList::List(_) => return Err(invalid("prompt", "must be a single prompt")),
        };
        let fields = CommonFields {
            model: self.model,
            max_tokens: self.max_tokens,
            n: self.n,
            stream: self.stream,
            stream_options: self.stream_options,
            stop: self.stop,
        };
        fields.into_request(Endpoint::Completion, prompt)
    }
}

impl ChatBody {
    /// Checks the fields and joins the messages into one prompt, each as `role: text` on its own line.
    pub(crate) fn into_request(self) -> Result<CallerRequest, CallerError> {
        if self.messages.is_empty() {
            return Err(invalid("messages", "must contain at least one message"));
        }
        let mut lines = Vec::with_capacity(self.messages.len());
        for (index, message) in self.messages.into_iter().enumerate() {
            let role = message.role;
            let text = content_text(index, message.content)?;
            lines.push(format!("{role}: {text}"));
        }
        let fields = CommonFields {
            model: self.model,
            max_tokens: self.max_completion_tokens.or(self.max_tokens),
            n: self.n,
            stream: self.stream,
            stream_options: self.stream_options,
            stop: self.stop,
        };
        fields.into_request(Endpoint::Chat, lines.join("\n"))
    }
}

impl CommonFields {
    fn into_request(
        self,
        endpoint: Endpoint,
        prompt: String,
    ) -> Result<CallerRequest, CallerError> {
        if self.n.is_some_and(|answers| answers != 1) {
            return Err(invalid("n", "must be 1"));
        }
        let stop = match self.stop {
            None => Vec::new(),
            Some(TextOrList::Text(text)) => vec![text],
            Some(TextOrList::List(list)) => list,
        };
        if stop.len() > MAX_STOP_SEQUENCES {
            let message = format!("must contain at most {MAX_STOP_SEQUENCES} strings");
            return Err(invalid("stop", &message));
        }
        if stop.iter().any(String::is_empty) {
            return Err(invalid("stop", "must not contain an empty string"));
        }
        let options = self.stream_options.unwrap_or_default();
        Ok(CallerRequest {
            endpoint,
            model: self.model,
            prompt,
            max_tokens: self.max_tokens,
            stream: self.stream.unwrap_or(false),
            include_usage: options.include_usage,
            stop,
        })
    }
}

fn content_text(index: usize, content: Option<Content>) -> Result<String, CallerError> {
    let parts = match content {
        None => return Ok(String::new()),
        Some(Content::Text(text)) => return Ok(text),
        Some(Content::Parts(parts)) => parts,
    };
    let mut texts = Vec::with_capacity(parts.len());
    for part in parts {
        match (part.kind.as_str(), part.text) {
            ("text", Some(text)) => texts.push(text),
            _ => {
                let field = format!("messages[{index}].content");
                return Err(invalid(&field, "must contain only parts of type text"));
            }
        }
    }
    Ok(texts.join("\n"))
}

fn invalid(field: &str, problem: &str) -> CallerError {
    CallerError::Invalid {
        param: Some(field.to_owned()),
        message: format!("{field}: {problem}"),
    }
}
