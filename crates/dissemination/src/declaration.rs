//! The declaration of routes on its way from a relay to a node that has an older one.
//!
//! A relay names the revision that it has in force in each of its messages. Whoever has an older one asks
//! for the text, which comes in parts that each fit a packet; what is lost is asked for again.

use std::time::Duration;

use dalestand_types::MonotonicTime;
use serde::{Deserialize, Serialize};

use crate::membership::NodeNumber;

/// Bytes of text in one part, below what a path carries in one packet.
const PART_BYTES: usize = 1_100;

/// Longest text that relays carry. A relay sends it to each of its members at each change: with 64
/// members and three changes a second that is 100 Mbit/s, half of the links that relays are chosen for.
pub const LONGEST_CARRIED: usize = 64 << 10;

/// Time that a node gives its own watch of the key-value service before it asks a relay.
const WATCH_TIME: Duration = Duration::from_millis(400);

/// Time until what did not come is asked for again: a round trip and the time in which a link of
/// 10 Mbit/s carries the longest text.
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// Longest time until then.
const LONGEST_PAUSE: Duration = Duration::from_millis(800);

/// Asks for the text of a declaration.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DeclarationRequest {
    /// The node that asks.
    pub node: NodeNumber,
    /// The revision that it was told of.
    pub revision: u64,
    /// Numbers of the parts that it lacks; all if there are none.
    pub missing: Vec<u16>,
}

/// A part of a declaration's text.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct DeclarationPart {
    /// Revision of the declaration.
    pub revision: u64,
    /// Which part it is.
    pub part: u16,
    /// Number of parts.
    pub parts: u16,
    /// The text.
    pub text: String,
}

/// The parts that `request` asks for, of the declaration in force with its text: all of them if it is
/// another than the one asked for.
pub fn declaration_parts(
    revision: u64,
    text: &str,
    request: &DeclarationRequest,
) -> Vec<DeclarationPart> {
    let texts = cut(text);
    let parts = texts.len() as u16;
    let is_wanted = |part: &DeclarationPart| {
        let lacks_some = request.revision == revision && !request.missing.is_empty();
        !lacks_some || request.missing.contains(&part.part)
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
    all.filter(is_wanted).collect()
}

/// The text in pieces of [`PART_BYTES`] or somewhat fewer, no letter of which is cut.
fn cut(text: &str) -> Vec<&str> {
    let mut pieces = Vec::new();
    let mut rest = text;
    while !rest.is_empty() {
        let (piece, after) = rest.split_at(rest.floor_char_boundary(PART_BYTES));
        pieces.push(piece);
        rest = after;
    }
    pieces
}

/// What a node has of a declaration that is newer than its own.
#[derive(Clone, Debug)]
pub struct DeclarationSync {
    revision: u64,
    parts: Vec<Option<String>>,
    not_before: MonotonicTime,
    pause: Duration,
}

impl Default for DeclarationSync {
    fn default() -> Self {
        Self {
            revision: 0,
            parts: Vec::new(),
            not_before: MonotonicTime::ZERO,
            pause: FIRST_PAUSE,
        }
    }
}

impl DeclarationSync {
    /// What to ask a relay for that has `revision` in force, where this node has `own`; `None` if
    /// nothing is newer, or has been asked for a short time ago. Counts as asked.
    pub fn request(
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
            self.begin(revision);
            self.not_before = now + WATCH_TIME;
            self.pause = FIRST_PAUSE;
        }
        if now < self.not_before {
            return None;
        }
        self.not_before = now + self.pause;
        self.pause = (self.pause * 2).min(LONGEST_PAUSE);
        let parts = self.parts.iter().zip(0..);
        let missing = parts.filter(|(part, _)| part.is_none());
        Some(DeclarationRequest {
            node,
            revision: self.revision,
            missing: missing.map(|(_, number)| number).collect(),
        })
    }

    fn begin(&mut self, revision: u64) {
        self.revision = revision;
        self.parts.clear();
    }

    /// Takes a part in; yields the whole text once there is nothing missing. Parts of another than the
    /// newest revision change nothing.
    pub fn take(&mut self, part: DeclarationPart) -> Option<String> {
        let is_sound = part.part < part.parts && usize::from(part.parts) <= MOST_PARTS;
        if !is_sound || part.revision < self.revision {
            return None;
        }
        if part.revision > self.revision || self.parts.len() != usize::from(part.parts) {
            self.begin(part.revision);
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

/// Most parts of a text that relays carry; a letter takes four bytes at most.
const MOST_PARTS: usize = LONGEST_CARRIED / (PART_BYTES - 4) + 1;
