//! Prefix cache of the simulated engine: bounded, with LRU eviction.

use std::collections::{BTreeMap, HashMap, VecDeque};

use dalestand_edge::{CacheChange, CacheEvent, CacheEvents, PrefixHash};
use dalestand_types::Sequence;

/// Tokens per block; only complete blocks are cached.
pub const BLOCK_TOKENS: u32 = 16;

/// Maximum number of events kept for readers.
const MAX_EVENTS: usize = 4_096;

/// Hashes of a prompt's complete blocks, in order; each covers the model and the prompt up to the
/// end of its block.
pub fn prefix_hashes(model: &str, prompt: &str) -> Vec<PrefixHash> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let blocks = words.chunks_exact(BLOCK_TOKENS as usize);
    let hash_block = |block: &[&str]| {
        for word in block {
            hasher.update(&[0]);
            hasher.update(word.as_bytes());
        }
        let mut bytes = [0; 8];
        hasher.finalize_xof().fill(&mut bytes);
        PrefixHash(u64::from_le_bytes(bytes))
    };
    blocks.map(hash_block).collect()
}

/// An LRU cache of prompt blocks, which reports its changes as events.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    used_at: HashMap<PrefixHash, u64>,
    lru_order: BTreeMap<u64, PrefixHash>,
    use_counter: u64,
    events: VecDeque<CacheEvent>,
    last_event: u64,
}

impl PrefixCache {
    /// Creates an empty cache of `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity: (capacity_tokens / u64::from(BLOCK_TOKENS)) as usize,
            used_at: HashMap::new(),
            lru_order: BTreeMap::new(),
            use_counter: 0,
            events: VecDeque::new(),
            last_event: 0,
        }
    }

    /// Tokens in the cache.
    pub fn tokens(&self) -> u64 {
        self.used_at.len() as u64 * u64::from(BLOCK_TOKENS)
    }

    /// Number of leading prompt tokens in the cache; marks their blocks as used.
    pub fn find(&mut self, prefixes: &[PrefixHash]) -> u32 {
        let cached = prefixes
            .iter()
            .take_while(|prefix| self.used_at.contains_key(prefix))
            .count();
        // Longer prefixes are marked first, so that they are evicted before the shorter ones they
        // extend.
        for prefix in prefixes[..cached].iter().rev() {
            self.touch(*prefix);
        }
        cached as u32 * BLOCK_TOKENS
    }

    /// Stores the blocks of a prefilled prompt.
    pub fn store(&mut self, prefixes: &[PrefixHash]) {
        for (index, prefix) in prefixes.iter().enumerate().rev() {
            if !self.used_at.contains_key(prefix) {
                let tokens = (index as u32 + 1) * BLOCK_TOKENS;
                self.record_event(*prefix, tokens, CacheChange::Stored);
            }
            self.touch(*prefix);
        }
        while self.used_at.len() > self.capacity
            && let Some((_, oldest)) = self.lru_order.pop_first()
        {
            self.used_at.remove(&oldest);
            self.record_event(oldest, BLOCK_TOKENS, CacheChange::Evicted);
        }
    }

    /// Sequence number of the newest event.
    pub fn newest_event(&self) -> Sequence {
        Sequence(self.last_event)
    }

    /// Drops the newest event to simulate its loss; its sequence number stays used.
    pub fn lose_newest_event(&mut self) {
        self.events.pop_back();
    }

    /// Events after the sequence number `after`; `missed` is set if older ones are no longer kept.
    pub fn events_after(&self, after: Sequence) -> CacheEvents {
        let first_kept = self.events.front().map_or(0, |event| event.sequence.0);
        let newer = self.events.iter().filter(|event| event.sequence > after);
        CacheEvents {
            events: newer.copied().collect(),
            missed: after.0 + 1 < first_kept,
        }
    }

    fn touch(&mut self, prefix: PrefixHash) {
        self.use_counter += 1;
        if let Some(previous) = self.used_at.insert(prefix, self.use_counter) {
            self.lru_order.remove(&previous);
        }
        self.lru_order.insert(self.use_counter, prefix);
    }

    fn record_event(&mut self, prefix: PrefixHash, tokens: u32, change: CacheChange) {
        self.last_event += 1;
        self.events.push_back(CacheEvent {
            sequence: Sequence(self.last_event),
            prefix,
            tokens,
            change,
        });
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
