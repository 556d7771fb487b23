//! Server-sent events of a streamed answer.
//!
//! All of a token's event but its text is the same for the whole stream, so it is written once.

use bytes::Bytes;
use dalestand_types::{FinishReason, Usage};
use serde::Serialize;

use super::Surface;
use super::answer::{AnswerHead, ErrorBody, UsageBody, finish_word};

const DATA: &str = "data: ";
const ID: &str = "id: ";
const EVENT_END: &str = "\n\n";
const DONE: &str = "data: [DONE]\n\n";

/// Writes the events of one stream.
#[derive(Clone, Debug)]
pub(crate) struct EventWriter {
    surface: Surface,
    include_usage: bool,
    /// Begin of every chunk, up to its choices.
    head: String,
    /// A token's event between the event's id and the text.
    token_head: String,
    /// A token's event after the text.
    token_tail: String,
}

impl EventWriter {
    /// A writer of the stream with that head.
    pub(crate) fn new(head: &AnswerHead, include_usage: bool) -> Self {
        let object = head.surface.chunk_object();
        let start = format!(
            "{{\"id\":{},\"object\":\"{object}\",\"created\":{},\"model\":{},",
            json(&head.id),
            head.created,
            json(&head.model),
        );
        let content = match head.surface {
            Surface::Completion => "\"text\":",
            Surface::Chat => "\"delta\":{\"content\":",
        };
        let content_end = match head.surface {
            Surface::Completion => "",
            Surface::Chat => "}",
        };
        let no_usage = no_usage(include_usage);
        let token_head = format!("{DATA}{start}\"choices\":[{{\"index\":0,{content}");
        let token_tail = format!(
            "{content_end},\"logprobs\":null,\"finish_reason\":null}}]{no_usage}}}{EVENT_END}"
        );
        Self {
            surface: head.surface,
            include_usage,
            head: start,
            token_head,
            token_tail,
        }
    }

    /// The first event of a stream, where the path has one.
    pub(crate) fn first(&self) -> Option<Bytes> {
        if self.surface != Surface::Chat {
            return None;
        }
        let delta = "\"delta\":{\"role\":\"assistant\",\"content\":\"\"}";
        Some(Bytes::from(self.chunk(delta, "null")))
    }

    /// The event of a token, with the id by which the stream is resumed after it.
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
        // Writing text to memory cannot fail.
        let _ = serde_json::to_writer(&mut event, text);
        event.extend_from_slice(self.token_tail.as_bytes());
        Bytes::from(event)
    }

    /// The events that end a whole answer.
    pub(crate) fn end(&self, reason: FinishReason, usage: Usage) -> Bytes {
        let delta = match self.surface {
            Surface::Completion => "\"text\":\"\"",
            Surface::Chat => "\"delta\":{}",
        };
        let reason = format!("\"{}\"", finish_word(reason));
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

    /// The event that ends a broken answer. No closing event follows it.
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

/// Chunks before the one with token counts say that theirs are null.
fn no_usage(include_usage: bool) -> &'static str {
    if include_usage { ",\"usage\":null" } else { "" }
}

/// Values here are text and numbers, which always encode.
fn json<T: Serialize + ?Sized>(value: &T) -> String {
    serde_json::to_string(value).unwrap_or_default()
}
