//! Parts of prompts that were sent to engines, to be told to other nodes.

use dalestand_dissemination::{EngineCode, PlacedPart, Placement, PlacementState};
use dalestand_routing::staged::{EngineKey, PromptPart};

/// Parts of fewer tokens are not sent: prefilling them again costs less.
const SENT_TOKENS: u32 = 400;

/// Most prompts kept for sending; nodes that do not hear of one prefill a part again, nothing worse.
const MAX_PROMPTS: usize = 64;

/// A placement of parts that prompts may share.
pub(crate) fn placement(
    engine: EngineKey,
    state: PlacementState,
    shared: &[PromptPart],
    own_tokens: u32,
) -> Placement {
    let parts = shared.iter().map(|part| PlacedPart {
        id: part.id,
        tokens: part.tokens,
    });
    Placement {
        engine: EngineCode::of(engine),
        state,
        parts: parts.collect(),
        own_tokens,
    }
}

/// Prompts that other nodes have not heard of.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placements(Vec<Placement>);

impl Placements {
    /// Notes a prompt at an engine. Its last part belongs to the request itself or its session.
    pub(crate) fn push(&mut self, engine: EngineKey, state: PlacementState, parts: &[PromptPart]) {
        let Some((own, shared)) = parts.split_last() else {
            return;
        };
        let is_long = parts.iter().any(|part| part.tokens >= SENT_TOKENS);
        if is_long && self.0.len() < MAX_PROMPTS {
            self.0.push(placement(engine, state, shared, own.tokens));
        }
    }

    /// Notes parts that an engine keeps.
    pub(crate) fn push_kept(&mut self, engine: EngineKey, kept: &[PromptPart]) {
        self.0
            .push(placement(engine, PlacementState::Prefilled, kept, 0));
    }

    /// Takes all out.
    pub(crate) fn take(&mut self) -> Vec<Placement> {
        std::mem::take(&mut self.0)
    }
}
