//! Parts of prompts that were sent to engines, to be told to peers.

use dalestand_routing::staged::{EngineKey, PromptPart};
use serde::{Deserialize, Serialize};

/// Parts of fewer tokens are not told: reading them again costs less than telling.
const TOLD_TOKENS: u32 = 400;

/// Most prompts kept for telling; peers that are not told read a part again, nothing worse.
const MAX_PROMPTS: usize = 64;

/// How far a prompt is at its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) enum PlacementState {
    /// It was sent.
    Sent,
    /// The engine has read it.
    Read,
    /// The engine will not read it.
    NotRead,
}

/// One prompt at one engine.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub(crate) struct Placement {
    /// Number of the engine.
    pub(crate) engine: u64,
    /// How far it is.
    pub(crate) state: PlacementState,
    /// Its parts with their tokens.
    pub(crate) parts: Vec<(u64, u32)>,
}

impl Placement {
    /// Parts at an engine.
    pub(crate) fn new(engine: EngineKey, state: PlacementState, parts: &[PromptPart]) -> Self {
        let parts = parts.iter().map(|part| (part.id, part.tokens));
        Self {
            engine: engine.0,
            state,
            parts: parts.collect(),
        }
    }
}

/// Prompts that peers have not been told of.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placements(Vec<Placement>);

impl Placements {
    /// Notes a prompt at an engine.
    pub(crate) fn push(&mut self, engine: EngineKey, state: PlacementState, parts: &[PromptPart]) {
        let is_long = parts.iter().any(|part| part.tokens >= TOLD_TOKENS);
        if is_long && self.0.len() < MAX_PROMPTS {
            self.0.push(Placement::new(engine, state, parts));
        }
    }

    /// Takes all out.
    pub(crate) fn take(&mut self) -> Vec<Placement> {
        std::mem::take(&mut self.0)
    }
}
