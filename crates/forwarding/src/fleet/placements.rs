//! Prompts placed on engines, to be sent to other nodes.

use dalestand_dissemination::{EngineCode, PlacedPart, Placement, PlacementState};
use dalestand_routing::staged::{EngineKey, PromptPart};

/// Shorter parts are not sent: prefilling them again costs less.
const MIN_SENT_TOKENS: u32 = 400;

/// Limit on queued prompts. Nodes that miss one prefill a part again.
const MAX_QUEUED_PROMPTS: usize = 64;

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

/// Placements that have not been sent to other nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placements(Vec<Placement>);

impl Placements {
    /// Adds a prompt and its progress at an engine. Its last part is specific to the request or its session.
    pub(crate) fn push(&mut self, engine: EngineKey, state: PlacementState, parts: &[PromptPart]) {
        let Some((own, shared)) = parts.split_last() else {
            return;
        };
        let is_long = parts.iter().any(|part| part.tokens >= MIN_SENT_TOKENS);
        if is_long && self.0.len() < MAX_QUEUED_PROMPTS {
            self.0.push(placement(engine, state, shared, own.tokens));
        }
    }

    /// Adds parts cached by an engine.
    pub(crate) fn push_cached(&mut self, engine: EngineKey, cached: &[PromptPart]) {
        self.0
            .push(placement(engine, PlacementState::Prefilled, cached, 0));
    }

    /// Takes all placements.
    pub(crate) fn take(&mut self) -> Vec<Placement> {
        std::mem::take(&mut self.0)
    }
}
