//! A directory of the prompt parts that each engine caches.
//!
//! Engines evict parts in least-recently-used order. The directory simulates their caches from the prompts
//! sent to them, without any message from the engines; a wrong entry costs one extra prefill. It is also
//! indexed by part, so that a lookup of a part's holders does not visit all engines.

use std::collections::{BTreeMap, HashMap};

use super::{EngineKey, PromptPart};

/// Share of an engine's KV cache assumed to hold cached parts; running requests use the rest.
const CACHED_SHARE: f64 = 0.95;

/// Maximum number of entries over all engines; beyond it the least recently used ones are removed.
/// At some 250 bytes each, the directory and its indexes take up to 16 MB. That is a quarter of the
/// memory of a node; a removed entry costs one prefill if its part is used again.
const MAX_ENTRIES: usize = 65_536;

/// Maximum number of holders of a prompt's parts considered in one choice, most recently used first.
const MAX_HOLDERS: usize = 16;

/// Holders of fewer leading tokens than this are not looked up: prefilling them takes little time, and
/// short parts may be cached by thousands of engines.
const MIN_HELD_TOKENS: u32 = 400;

#[derive(Clone, Copy, Debug)]
struct CachedPart {
    tokens: u32,
    /// Sequence number of the last use.
    last_use: u64,
    /// Whether the engine has prefilled it. Until then, only later prompts sent to the same engine can use it.
    confirmed: bool,
}

/// The assumed contents of one engine's cache.
#[derive(Clone, Debug, Default)]
struct EngineCache {
    parts: HashMap<u64, CachedPart>,
    /// Part ids by last use.
    by_use: BTreeMap<u64, u64>,
    /// Sum of the lengths of all parts.
    tokens: u64,
}

/// The parts that engines are assumed to cache.
///
/// Invariant: `holders` and `by_use` contain exactly the parts of `engines`, keyed by last use.
#[derive(Clone, Debug, Default)]
pub struct PartDirectory {
    engines: HashMap<EngineKey, EngineCache>,
    /// Engines that cache a part, by its last use there.
    holders: HashMap<u64, BTreeMap<u64, EngineKey>>,
    /// All entries of all engines, by last use.
    by_use: BTreeMap<u64, (EngineKey, u64)>,
    /// Number of uses so far; the next sequence number minus one.
    uses: u64,
}

impl PartDirectory {
    /// Records that a prompt was sent to an engine whose KV cache holds `kv_cache_tokens`.
    pub fn record_sent(&mut self, engine: EngineKey, kv_cache_tokens: u64, parts: &[PromptPart]) {
        for part in parts {
            self.use_part(engine, *part);
        }
        let capacity = (kv_cache_tokens as f64 * CACHED_SHARE) as u64;
        while let Some(evicted) = self.part_to_evict(engine, capacity) {
            self.forget_part(engine, evicted);
        }
        while self.by_use.len() > MAX_ENTRIES
            && let Some((_, (engine, part))) = self.by_use.pop_first()
        {
            self.forget_part(engine, part);
        }
    }

    fn use_part(&mut self, engine: EngineKey, part: PromptPart) {
        let previous = self.forget_part(engine, part.id);
        self.uses += 1;
        let last_use = self.uses;
        let cached = CachedPart {
            tokens: part.tokens,
            last_use,
            confirmed: previous.is_some_and(|part| part.confirmed),
        };
        let cache = self.engines.entry(engine).or_default();
        cache.parts.insert(part.id, cached);
        cache.by_use.insert(last_use, part.id);
        cache.tokens += u64::from(part.tokens);
        let holders = self.holders.entry(part.id).or_default();
        holders.insert(last_use, engine);
        self.by_use.insert(last_use, (engine, part.id));
    }

    /// The least recently used part of an engine with more than `capacity` cached tokens.
    fn part_to_evict(&self, engine: EngineKey, capacity: u64) -> Option<u64> {
        let cache = self.engines.get(&engine)?;
        let least_recent = cache.by_use.first_key_value()?;
        (cache.tokens > capacity).then_some(*least_recent.1)
    }

    fn forget_part(&mut self, engine: EngineKey, part: u64) -> Option<CachedPart> {
        let cache = self.engines.get_mut(&engine)?;
        let cached = cache.parts.remove(&part)?;
        cache.by_use.remove(&cached.last_use);
        cache.tokens -= u64::from(cached.tokens);
        if cache.parts.is_empty() {
            self.engines.remove(&engine);
        }
        self.by_use.remove(&cached.last_use);
        if let Some(holders) = self.holders.get_mut(&part) {
            holders.remove(&cached.last_use);
            if holders.is_empty() {
                self.holders.remove(&part);
            }
        }
        Some(cached)
    }

    /// Number of leading tokens of the prompt that the engine is assumed to cache. A part counts only if
    /// all parts before it are cached.
    pub fn cached_tokens(&self, engine: EngineKey, parts: &[PromptPart]) -> u32 {
        let Some(cache) = self.engines.get(&engine) else {
            return 0;
        };
        let cached = parts.iter().map(|part| cache.parts.get(&part.id));
        let cached = cached.map_while(|part| part.map(|part| part.tokens));
        cached.sum()
    }

    /// Marks the parts of a prompt as prefilled by the engine. Returns whether that is new for a part that
    /// other prompts may share, which is any but the last.
    pub fn confirm_cached(&mut self, engine: EngineKey, parts: &[PromptPart]) -> bool {
        let Some(cache) = self.engines.get_mut(&engine) else {
            return false;
        };
        let mut is_new = false;
        for (index, part) in parts.iter().enumerate() {
            if let Some(cached) = cache.parts.get_mut(&part.id) {
                let was_confirmed = std::mem::replace(&mut cached.confirmed, true);
                is_new |= !was_confirmed && index + 1 < parts.len();
            }
        }
        is_new
    }

    /// Removes the parts of a prompt that the engine was sent but did not prefill. Returns whether a part
    /// was removed that other prompts may share, which is any but the last.
    pub fn remove_unconfirmed(&mut self, engine: EngineKey, parts: &[PromptPart]) -> bool {
        let mut is_new = false;
        for (index, part) in parts.iter().enumerate() {
            if self
                .cached(engine, part.id)
                .is_some_and(|cached| !cached.confirmed)
            {
                self.forget_part(engine, part.id);
                is_new |= index + 1 < parts.len();
            }
        }
        is_new
    }

    fn cached(&self, engine: EngineKey, part: u64) -> Option<&CachedPart> {
        self.engines.get(&engine)?.parts.get(&part)
    }

    /// Like [`Self::cached_tokens`], but only for parts that the engine has prefilled.
    fn confirmed_tokens(&self, engine: EngineKey, parts: &[PromptPart]) -> u32 {
        let Some(cache) = self.engines.get(&engine) else {
            return 0;
        };
        let cached = parts.iter().map(|part| cache.parts.get(&part.id));
        let confirmed = cached.map_while(|part| part.filter(|part| part.confirmed));
        confirmed.map(|part| part.tokens).sum()
    }

    /// Engines that cache parts of the prompt, up to [`MAX_HOLDERS`]. Engines that cache later parts come
    /// first.
    pub fn holders(&self, parts: &[PromptPart]) -> Vec<EngineKey> {
        let mut found = Vec::new();
        for (part, prefix_tokens) in parts_with_prefix(parts) {
            if prefix_tokens < MIN_HELD_TOKENS || found.len() >= MAX_HOLDERS {
                break;
            }
            for engine in self.recent_holders(part.id) {
                if !found.contains(&engine) {
                    found.push(engine);
                }
            }
        }
        found.truncate(MAX_HOLDERS);
        found
    }

    /// Engines that cache a part, most recently used first.
    fn recent_holders(&self, part: u64) -> impl Iterator<Item = EngineKey> {
        let holders = self.holders.get(&part).into_iter().flatten();
        let recent = holders.rev().map(|(_, engine)| *engine);
        recent.take(MAX_HOLDERS)
    }

    /// The engine that has prefilled and caches most of the prompt's leading tokens, with their number,
    /// among the engines that `may_serve` selects.
    pub fn best_holder(
        &self,
        parts: &[PromptPart],
        may_serve: impl Fn(EngineKey) -> bool,
    ) -> Option<(EngineKey, u32)> {
        for (part, prefix_tokens) in parts_with_prefix(parts) {
            let eligible = self.recent_holders(part.id).filter(|key| may_serve(*key));
            let held = eligible.map(|engine| (engine, self.confirmed_tokens(engine, parts)));
            let whole = held.filter(|(_, tokens)| *tokens > 0 && *tokens >= prefix_tokens);
            let best = whole.max_by_key(|(engine, tokens)| (*tokens, *engine));
            if best.is_some() {
                return best;
            }
        }
        None
    }

    /// Parts of at least `min_tokens` that engines have prefilled and are assumed to cache, most recently
    /// used first.
    pub fn recently_confirmed(
        &self,
        min_tokens: u32,
    ) -> impl Iterator<Item = (EngineKey, PromptPart)> {
        let recent = self.by_use.values().rev();
        recent.filter_map(move |(engine, id)| {
            let cached = self.cached(*engine, *id)?;
            let tokens = cached.tokens;
            let part = PromptPart { id: *id, tokens };
            (cached.confirmed && tokens >= min_tokens).then_some((*engine, part))
        })
    }

    /// Number of entries over all engines.
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    /// Whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }

    /// Removes all entries of an engine.
    pub fn forget_engine(&mut self, engine: EngineKey) {
        let cache = self.engines.get(&engine);
        let parts = cache.map(|cache| cache.parts.keys().copied().collect::<Vec<_>>());
        for part in parts.into_iter().flatten() {
            self.forget_part(engine, part);
        }
    }
}

/// The parts of a prompt from last to first, each with the number of tokens up to its end.
fn parts_with_prefix(parts: &[PromptPart]) -> impl Iterator<Item = (&PromptPart, u32)> {
    let all = parts.iter().map(|part| part.tokens);
    let mut prefix_tokens = all.fold(0, u32::saturating_add);
    parts.iter().rev().map(move |part| {
        let up_to_end = prefix_tokens;
        prefix_tokens = prefix_tokens.saturating_sub(part.tokens);
        (part, up_to_end)
    })
}
