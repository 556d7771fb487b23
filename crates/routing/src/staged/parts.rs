//! Which engine was sent which parts of prompts.
//!
//! An engine keeps parts until its memory is needed and then gives up those unused for the longest.
//! The directory counts along: it is a guess that costs no message, and a wrong guess costs one
//! reading. It is indexed by part as well, so that a choice asks for the holders of a prompt's parts
//! and not every engine for the parts.

use std::collections::{BTreeMap, HashMap};

use super::{EngineKey, PromptPart};

/// Share of an engine's memory that kept parts are taken to have; requests that run hold the rest.
const KEPT_SHARE: f64 = 0.95;

/// Parts remembered of all engines: some 250 bytes each with their places in the indexes, 16 MB in all,
/// a quarter of what a node may use. Those unused for the longest are forgotten first; each costs one
/// reading if it is asked for again.
const MOST_PARTS: usize = 65_536;

/// Holders of one part that a choice looks at, those that used it last first. Any of them saves the
/// reading; which one matters little.
const HOLDERS_COMPARED: usize = 16;

/// Leading tokens from which it is worth to look for an engine that keeps them. Reading fewer takes a
/// decode engine under 10 ms; one of the parts shorter than this is at thousands of engines.
const HELD_FROM_TOKENS: u32 = 400;

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
    /// Parts by their last use.
    by_use: BTreeMap<u64, u64>,
    tokens: u64,
}

/// Parts by engine.
///
/// Invariant: `holders` and `by_use` name exactly the parts that `engines` has, by their last use.
#[derive(Clone, Debug, Default)]
pub struct PartDirectory {
    engines: HashMap<EngineKey, EngineParts>,
    /// Engines that keep a part, by its last use there.
    holders: HashMap<u64, BTreeMap<u64, EngineKey>>,
    /// All parts at all engines, by their last use.
    by_use: BTreeMap<u64, (EngineKey, u64)>,
    uses: u64,
}

impl PartDirectory {
    /// Notes that an engine of `memory_tokens` was sent a prompt.
    pub fn record_sent(&mut self, engine: EngineKey, memory_tokens: u64, parts: &[PromptPart]) {
        for part in parts {
            self.use_part(engine, *part);
        }
        let limit = (memory_tokens as f64 * KEPT_SHARE) as u64;
        while let Some(oldest) = self.oldest_beyond(engine, limit) {
            self.forget_part(engine, oldest);
        }
        while self.by_use.len() > MOST_PARTS
            && let Some((_, (engine, part))) = self.by_use.pop_first()
        {
            self.forget_part(engine, part);
        }
    }

    fn use_part(&mut self, engine: EngineKey, part: PromptPart) {
        let former = self.forget_part(engine, part.id);
        self.uses += 1;
        let used = self.uses;
        let kept = Kept {
            tokens: part.tokens,
            used,
            read: former.is_some_and(|kept| kept.read),
        };
        let known = self.engines.entry(engine).or_default();
        known.kept.insert(part.id, kept);
        known.by_use.insert(used, part.id);
        known.tokens += u64::from(part.tokens);
        let holders = self.holders.entry(part.id).or_default();
        holders.insert(used, engine);
        self.by_use.insert(used, (engine, part.id));
    }

    /// The part unused for the longest at an engine that is taken to keep more than `limit` tokens.
    fn oldest_beyond(&self, engine: EngineKey, limit: u64) -> Option<u64> {
        let known = self.engines.get(&engine)?;
        let oldest = known.by_use.first_key_value()?;
        (known.tokens > limit).then_some(*oldest.1)
    }

    fn forget_part(&mut self, engine: EngineKey, part: u64) -> Option<Kept> {
        let known = self.engines.get_mut(&engine)?;
        let kept = known.kept.remove(&part)?;
        known.by_use.remove(&kept.used);
        known.tokens -= u64::from(kept.tokens);
        if known.kept.is_empty() {
            self.engines.remove(&engine);
        }
        self.by_use.remove(&kept.used);
        if let Some(holders) = self.holders.get_mut(&part) {
            holders.remove(&kept.used);
            if holders.is_empty() {
                self.holders.remove(&part);
            }
        }
        Some(kept)
    }

    /// Leading tokens of the prompt that the engine is taken to keep. A part counts only if every
    /// part before it is kept.
    pub fn cached_tokens(&self, engine: EngineKey, parts: &[PromptPart]) -> u32 {
        let Some(known) = self.engines.get(&engine) else {
            return 0;
        };
        let kept = parts.iter().map(|part| known.kept.get(&part.id));
        let kept = kept.map_while(|kept| kept.map(|kept| kept.tokens));
        kept.sum()
    }

    /// Notes that the engine has read a prompt that it was sent; whether that was not known of a
    /// part which other prompts may share: any but the last.
    pub fn confirm_cached(&mut self, engine: EngineKey, parts: &[PromptPart]) -> bool {
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
    pub fn remove_unconfirmed(&mut self, engine: EngineKey, parts: &[PromptPart]) -> bool {
        let mut is_news = false;
        for (place, part) in parts.iter().enumerate() {
            if self.kept(engine, part.id).is_some_and(|kept| !kept.read) {
                self.forget_part(engine, part.id);
                is_news |= place + 1 < parts.len();
            }
        }
        is_news
    }

    fn kept(&self, engine: EngineKey, part: u64) -> Option<&Kept> {
        self.engines.get(&engine)?.kept.get(&part)
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

    /// Engines that keep the deepest parts of the prompt which any engine keeps, deepest first.
    pub fn holders(&self, parts: &[PromptPart]) -> Vec<EngineKey> {
        let mut found = Vec::new();
        for (part, depth_tokens) in deepest_first(parts) {
            if depth_tokens < HELD_FROM_TOKENS || found.len() >= HOLDERS_COMPARED {
                break;
            }
            for engine in self.last_holders(part.id) {
                if !found.contains(&engine) {
                    found.push(engine);
                }
            }
        }
        found.truncate(HOLDERS_COMPARED);
        found
    }

    /// Engines that keep a part, those that used it last first.
    fn last_holders(&self, part: u64) -> impl Iterator<Item = EngineKey> {
        let holders = self.holders.get(&part).into_iter().flatten();
        let last = holders.rev().map(|(_, engine)| *engine);
        last.take(HOLDERS_COMPARED)
    }

    /// The engine that has read and keeps most of the prompt's leading tokens, among those that
    /// `may_give` names, with the tokens.
    pub fn best_holder(
        &self,
        parts: &[PromptPart],
        may_give: impl Fn(EngineKey) -> bool,
    ) -> Option<(EngineKey, u32)> {
        for (part, depth_tokens) in deepest_first(parts) {
            let able = self.last_holders(part.id).filter(|key| may_give(*key));
            let held = able.map(|engine| (engine, self.read_tokens(engine, parts)));
            let whole = held.filter(|(_, tokens)| *tokens > 0 && *tokens >= depth_tokens);
            let best = whole.max_by_key(|(engine, tokens)| (*tokens, *engine));
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// Parts of `least_tokens` or more that engines have read and are taken to keep, those used last
    /// first.
    pub fn recently_confirmed(
        &self,
        least_tokens: u32,
    ) -> impl Iterator<Item = (EngineKey, PromptPart)> {
        let last = self.by_use.values().rev();
        last.filter_map(move |(engine, id)| {
            let kept = self.kept(*engine, *id)?;
            let tokens = kept.tokens;
            let part = PromptPart { id: *id, tokens };
            (kept.read && tokens >= least_tokens).then_some((*engine, part))
        })
    }

    /// Number of parts remembered, of all engines.
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    /// Whether no part is remembered.
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }

    /// Forgets an engine.
    pub fn forget_engine(&mut self, engine: EngineKey) {
        let known = self.engines.get(&engine);
        let parts = known.map(|known| known.kept.keys().copied().collect::<Vec<_>>());
        for part in parts.into_iter().flatten() {
            self.forget_part(engine, part);
        }
    }
}

/// The parts of a prompt from the last to the first, each with the tokens up to its end.
fn deepest_first(parts: &[PromptPart]) -> impl Iterator<Item = (&PromptPart, u32)> {
    let all = parts.iter().map(|part| part.tokens);
    let mut depth_tokens = all.fold(0, u32::saturating_add);
    parts.iter().rev().map(move |part| {
        let up_to_end = depth_tokens;
        depth_tokens = depth_tokens.saturating_sub(part.tokens);
        (part, up_to_end)
    })
}
