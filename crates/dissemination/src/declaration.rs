//! Transfer of the route declaration from a relay to nodes with an older one.
//!
//! A relay names the revision of its active declaration in each message. A node with an older one
//! requests the text, which is sent in parts that each fit one packet; lost parts are requested again.

use std::time::Duration;

use dalestand_types::MonotonicTime;
use serde::{Deserialize, Serialize};

use crate::membership::NodeNumber;

/// Bytes of text per part; a part fits one packet.
const PART_BYTES: usize = 1_100;

/// Longest declaration text that relays send. With 64 members and three changes per second this
/// amounts to 100 Mbit/s, half of a relay's expected link capacity.
pub const MAX_RELAYED_DECLARATION_BYTES: usize = 64 << 10;

/// Time for a node's own watch of the key-value service to deliver a change before it asks a relay.
const WATCH_GRACE: Duration = Duration::from_millis(400);

/// Delay before missing parts are requested again: a round trip plus the transmission of the longest
/// text at 10 Mbit/s.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Upper bound of the delay after repeated requests.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Asks for the text of a declaration.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DeclarationRequest {
    /// The node that asks.
    pub node: NodeNumber,
    /// The newest revision known to exist.
    pub revision: u64,
    /// Numbers of the missing parts; empty if all are.
    pub missing: Vec<u16>,
}

/// A part of a declaration's text.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DeclarationPart {
    /// Revision of the declaration.
    pub revision: u64,
    /// Index of the part.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// The text.
    pub text: String,
}

/// The parts that `request` asks for, of the active declaration with its text; all parts if `request`
/// names another revision.
pub fn declaration_parts(
    revision: u64,
    text: &str,
    request: &DeclarationRequest,
) -> Vec<DeclarationPart> {
    let texts = split_text(text);
    let parts = texts.len() as u16;
    let is_requested = |part: &DeclarationPart| {
        let has_missing_list = request.revision == revision && !request.missing.is_empty();
        !has_missing_list || request.missing.contains(&part.part)
    };
    let all = texts
        .into_iter()
        .zip(0..)
        .map(|(text, part)| DeclarationPart {
            revision,
            part,
            parts,
            text: text.to_owned(),
        });
    all.filter(is_requested).collect()
}

/// Splits the text at character boundaries into pieces of at most [`PART_BYTES`] bytes.
fn split_text(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(rest.floor_char_boundary(PART_BYTES));
        pieces.push(piece);
        rest = after;
    }
    pieces
}

/// Reassembly of a declaration that is newer than the node's own.
#[derive(Clone, Debug)]
pub struct DeclarationSync {
    revision: u64,
    parts: Vec<Option<String>>,
    next_request_at: MonotonicTime,
    retry_delay: Duration,
}

impl Default for DeclarationSync {
    fn default() -> Self {
        Self {
            revision: 0,
            parts: Vec::new(),
            next_request_at: MonotonicTime::ZERO,
            retry_delay: INITIAL_RETRY_DELAY,
        }
    }
}

impl DeclarationSync {
    /// The request to send to a relay whose active declaration is `revision`, where this node's is
    /// `own`; `None` if that is not newer or a request was sent recently. Schedules the next request.
    pub fn next_request(
        &mut self,
        now: MonotonicTime,
        node: NodeNumber,
        own: u64,
        revision: u64,
    ) -> Option<DeclarationRequest> {
        if revision <= own {
            return None;
        }
        if revision > self.revision {
            self.start_over(revision);
            self.next_request_at = now + WATCH_GRACE;
            self.retry_delay = INITIAL_RETRY_DELAY;
        }
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now + self.retry_delay;
        self.retry_delay = (self.retry_delay * 2).min(MAX_RETRY_DELAY);
        let parts = self.parts.iter().zip(0..);
        let missing = parts.filter(|(part, _)| part.is_none());
        Some(DeclarationRequest {
            node,
            revision: self.revision,
            missing: missing.map(|(_, number)| number).collect(),
        })
    }

    fn start_over(&mut self, revision: u64) {
        self.revision = revision;
        self.parts.clear();
    }

    /// Adds a part; returns the whole text once it is complete. Parts of superseded revisions are
    /// ignored.
    pub fn add_part(&mut self, part: DeclarationPart) -> Option<String> {
        let is_valid = part.part < part.parts && usize::from(part.parts) <= MAX_PARTS;
        if !is_valid || part.revision < self.revision {
            return None;
        }
        if part.revision > self.revision || self.parts.len() != usize::from(part.parts) {
            self.start_over(part.revision);
            self.parts.resize(usize::from(part.parts), None);
        }
        self.parts[usize::from(part.part)] = Some(part.text);
        if self.parts.iter().any(Option::is_none) {
            return None;
        }
        let text = self.parts.iter().flatten().map(String::as_str).collect();
        self.parts.clear();
        Some(text)
    }
}

/// Upper bound on the parts of a text; a character takes at most four bytes.
const MAX_PARTS: usize = MAX_RELAYED_DECLARATION_BYTES / (PART_BYTES - 4) + 1;
