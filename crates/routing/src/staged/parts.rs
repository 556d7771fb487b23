//! Which engine was sent which parts of prompts.
//!
//! An engine keeps parts until its memory is needed and then gives up those unused for the longest.
//! The directory counts along: it is a guess that costs no message, and a wrong guess costs one
//! reading.

use std::collections::{HashMap, VecDeque};

use super::{EngineKey, PromptPart};

/// Share of an engine's memory that kept parts are taken to have; requests that run hold the rest.
const KEPT_SHARE: f64 = 0.95;

#[derive(Clone, Copy, Debug)]
struct Kept {
    tokens: u32,
    used: u64,
    /// Whether the engine has read it; until then only a prompt that follows at the same engine
    /// finds it.
    read: bool,
}

#[derive(Clone, Debug, Default)]
struct EngineParts {
    kept: HashMap<u64, Kept>,
    /// Parts by use, oldest first; an entry counts only if its use is the part's last.
    order: VecDeque<(u64, u64)>,
    tokens: u64,
}

/// Parts by engine.
#[derive(Clone, Debug, Default)]
pub struct PartDirectory {
    engines: HashMap<EngineKey, EngineParts>,
    uses: u64,
}

impl PartDirectory {
    /// Notes that an engine of `memory_tokens` was sent a prompt.
    pub fn sent(&mut self, engine: EngineKey, memory_tokens: u64, parts: &[PromptPart]) {
        let limit = (memory_tokens as f64 * KEPT_SHARE) as u64;
        let known = self.engines.entry(engine).or_default();
        for part in parts {
            self.uses += 1;
            known.sent(*part, self.uses);
        }
        while known.tokens > limit {
            let Some((id, used)) = known.order.pop_front() else {
                break;
            };
            known.forget_if_unused_since(id, used);
        }
    }

    /// Leading tokens of the prompt that the engine is taken to keep. A part counts only if every
    /// part before it is kept.
    pub fn kept_tokens(&self, engine: EngineKey, parts: &[PromptPart]) -> u32 {
        let Some(known) = self.engines.get(&engine) else {
            return 0;
        };
        let kept = parts.iter().map(|part| known.kept.get(&part.id));
        let kept = kept.map_while(|kept| kept.map(|kept| kept.tokens));
        kept.sum()
    }

    /// Notes that the engine has read a prompt that it was sent; whether that was not known of a
    /// part which other prompts may share: any but the last.
    pub fn read(&mut self, engine: EngineKey, parts: &[PromptPart]) -> bool {
        let Some(known) = self.engines.get_mut(&engine) else {
            return false;
        };
        let mut is_news = false;
        for (place, part) in parts.iter().enumerate() {
            if let Some(kept) = known.kept.get_mut(&part.id) {
                let was_read = std::mem::replace(&mut kept.read, true);
                is_news |= !was_read && place + 1 < parts.len();
            }
        }
        is_news
    }

    /// Notes that a prompt which the engine was sent was not read there; whether that takes back a
    /// part which other prompts may share: any but the last.
    pub fn not_read(&mut self, engine: EngineKey, parts: &[PromptPart]) -> bool {
        let Some(known) = self.engines.get_mut(&engine) else {
            return false;
        };
        let mut is_news = false;
        for (place, part) in parts.iter().enumerate() {
            if known.kept.get(&part.id).is_some_and(|kept| !kept.read) {
                known.forget(part.id);
                is_news |= place + 1 < parts.len();
            }
        }
        is_news
    }

    /// Leading tokens of the prompt that the engine has read and is taken to keep.
    fn read_tokens(&self, engine: EngineKey, parts: &[PromptPart]) -> u32 {
        let Some(known) = self.engines.get(&engine) else {
            return 0;
        };
        let kept = parts.iter().map(|part| known.kept.get(&part.id));
        let read = kept.map_while(|kept| kept.filter(|kept| kept.read));
        read.map(|kept| kept.tokens).sum()
    }

    /// The engine that has read and keeps most of the prompt's leading tokens, among those that
    /// `may_give` names, with the tokens.
    pub fn best_holder(
        &self,
        parts: &[PromptPart],
        may_give: impl Fn(EngineKey) -> bool,
    ) -> Option<(EngineKey, u32)> {
        let engines = self.engines.keys().filter(|engine| may_give(**engine));
        let held = engines.map(|engine| (*engine, self.read_tokens(*engine, parts)));
        held.filter(|(_, tokens)| *tokens > 0)
            .max_by_key(|(engine, tokens)| (*tokens, *engine))
    }

    /// Parts that an engine has read and is taken to keep.
    pub fn read_parts(&self, engine: EngineKey) -> Vec<PromptPart> {
        let known = self.engines.get(&engine);
        let kept = known.into_iter().flat_map(|known| known.kept.iter());
        kept.filter(|(_, kept)| kept.read)
            .map(|(id, kept)| PromptPart {
                id: *id,
                tokens: kept.tokens,
            })
            .collect()
    }

    /// Forgets engines that `keep` does not name.
    pub fn retain(&mut self, keep: impl Fn(EngineKey) -> bool) {
        self.engines.retain(|engine, _| keep(*engine));
    }
}

impl EngineParts {
    fn sent(&mut self, part: PromptPart, used: u64) {
        let tokens = part.tokens;
        let read = self.kept.get(&part.id).is_some_and(|kept| kept.read);
        let kept = Kept { tokens, used, read };
        let former = self.kept.insert(part.id, kept);
        let former_tokens = former.map_or(0, |kept| u64::from(kept.tokens));
        self.tokens = self.tokens + u64::from(tokens) - former_tokens;
        self.order.push_back((part.id, used));
    }

    fn forget_if_unused_since(&mut self, id: u64, used: u64) {
        let unused = self.kept.get(&id).is_some_and(|kept| kept.used == used);
        if unused {
            self.forget(id);
        }
    }

    fn forget(&mut self, id: u64) {
        if let Some(kept) = self.kept.remove(&id) {
            self.tokens -= u64::from(kept.tokens);
        }
    }
}
