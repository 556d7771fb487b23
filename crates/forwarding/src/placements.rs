//! Parts of prompts that were sent to engines, to be told to peers.

use dalestand_routing::staged::{EngineKey, PromptPart};

/// Parts of fewer tokens are not told: reading them again costs less than telling.
const TOLD_TOKENS: u32 = 400;

/// Most prompts kept for telling; peers that are not told read a part again, nothing worse.
const MAX_PROMPTS: usize = 64;

/// One prompt sent to one engine.
pub(crate) type Placement = (u64, Vec<(u64, u32)>);

/// Prompts that peers have not been told of.
#[derive(Clone, Debug, Default)]
pub(crate) struct Placements(Vec<Placement>);

impl Placements {
    /// Notes a prompt that is sent to an engine.
    pub(crate) fn push(&mut self, engine: EngineKey, parts: &[PromptPart]) {
        let is_long = parts.iter().any(|part| part.tokens >= TOLD_TOKENS);
        if is_long && self.0.len() < MAX_PROMPTS {
            let parts = parts.iter().map(|part| (part.id, part.tokens));
            self.0.push((engine.0, parts.collect()));
        }
    }

    /// Takes all out.
    pub(crate) fn take(&mut self) -> Vec<Placement> {
        std::mem::take(&mut self.0)
    }
}
