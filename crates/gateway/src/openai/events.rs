//! Server-sent events of a streamed answer.
//!
//! The events of all tokens differ only in id and text, so the rest is formatted once per stream.

use bytes::Bytes;
use dalestand_types::{FinishReason, Usage};
use serde::Serialize;

use super::Endpoint;
use super::answer::{AnswerHead, ErrorBody, UsageBody, finish_reason_text};

const DATA: &str = "data: ";
const ID: &str = "id: ";
const EVENT_END: &str = "\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// Writes the events of one stream.
#[derive(Clone, Debug)]
pub(crate) struct EventWriter {
    endpoint: Endpoint,
    include_usage: bool,
    /// Start of every chunk, up to its `choices`.
    head: String,
    /// Part of a token's event between the event id and the text.
    token_head: String,
    /// Part of a token's event after the text.
    token_tail: String,
}

impl EventWriter {
    /// Creates a writer for the answer with this head.
    pub(crate) fn new(head: &AnswerHead, include_usage: bool) -> Self {
        let object = head.endpoint.chunk_object();
        let start = format!(
            "{{\"id\":{},\"object\":\"{object}\",\"created\":{},\"model\":{},",
            json(&head.id),
            head.created,
            json(&head.model),
        );
        let content = match head.endpoint {
            Endpoint::Completion => "\"text\":",
            Endpoint::Chat => "\"delta\":{\"content\":",
        };
        let content_end = match head.endpoint {
            Endpoint::Completion => "",
            Endpoint::Chat => "}",
        };
        let no_usage = no_usage(include_usage);
        let token_head = format!("{DATA}{start}\"choices\":[{{\"index\":0,{content}");
        let token_tail = format!(
            "{content_end},\"logprobs\":null,\"finish_reason\":null}}]{no_usage}}}{EVENT_END}"
        );
        Self {
            endpoint: head.endpoint,
            include_usage,
            head: start,
            token_head,
            token_tail,
        }
    }

    /// The first event of a stream, if the endpoint has one.
    pub(crate) fn first(&self) -> Option<Bytes> {
        if self.endpoint != Endpoint::Chat {
            return None;
        }
        let delta = "\"delta\":{\"role\":\"assistant\",\"content\":\"\"}";
        Some(Bytes::from(self.chunk(delta, "null")))
    }

    /// The event of a token. `id` is the event id from which the stream can be resumed.
    pub(crate) fn token(&self, text: &str, id: Option<&str>) -> Bytes {
        let fixed = self.token_head.len() + self.token_tail.len() + ID.len();
        let varying = text.len() * 2 + id.map_or(0, str::len) + 3;
        let mut event = Vec::with_capacity(fixed + varying);
        if let Some(id) = id {
            event.extend_from_slice(ID.as_bytes());
            event.extend_from_slice(id.as_bytes());
            event.push(b'\n');
        }
        event.extend_from_slice(self.token_head.as_bytes());
        // Serializing text into a buffer cannot fail.
        let _ = serde_json::to_writer(&mut event, text);
        event.extend_from_slice(self.token_tail.as_bytes());
        Bytes::from(event)
    }

    /// The events that end a complete answer.
    pub(crate) fn end(&self, reason: FinishReason, usage: Usage) -> Bytes {
        let delta = match self.endpoint {
            Endpoint::Completion => "\"text\":\"\"",
            Endpoint::Chat => "\"delta\":{}",
        };
        let reason = format!("\"{}\"", finish_reason_text(reason));
        let mut events = self.chunk(delta, &reason);
        if self.include_usage {
            let usage = json(&UsageBody::from(usage));
            let head = &self.head;
            events.push_str(&format!(
                "{DATA}{head}\"choices\":[],\"usage\":{usage}}}{EVENT_END}"
            ));
        }
        events.push_str(DONE);
        Bytes::from(events)
    }

    /// The event that ends an incomplete answer. No `[DONE]` event follows it.
    pub(crate) fn error(&self, body: &ErrorBody) -> Bytes {
        Bytes::from(format!("{DATA}{}{EVENT_END}", json(body)))
    }

    fn chunk(&self, content: &str, finish_reason: &str) -> String {
        let head = &self.head;
        let no_usage = no_usage(self.include_usage);
        format!(
            "{DATA}{head}\"choices\":[{{\"index\":0,{content},\"logprobs\":null,\
             \"finish_reason\":{finish_reason}}}]{no_usage}}}{EVENT_END}"
        )
    }
}

/// Field of every chunk before the one with token counts: the API requires a null there.
fn no_usage(include_usage: bool) -> &'static str {
    if include_usage { ",\"usage\":null" } else { "" }
}

/// Serializes a value of text and numbers, which cannot fail.
fn json<T: Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
