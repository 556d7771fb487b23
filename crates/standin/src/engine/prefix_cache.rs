//! Prefix cache of the engine stand-in: bounded, least recently used goes first. Pure.

use std::collections::{BTreeMap, HashMap, VecDeque};

use dalestand_edge::{CacheChange, CacheEvent, CacheEvents, PrefixHash};
use dalestand_types::Sequence;

/// Tokens of one block; only whole blocks are cached.
pub const BLOCK_TOKENS: u32 = 16;

/// Most events kept for readers.
const MAX_EVENTS: usize = 4_096;

/// Hashes of a prompt's leading blocks, each of the prompt up to the block's end.
pub fn prefixes(model: &str, prompt: &str) -> Vec<PrefixHash> {
    let words: Vec<&str> = prompt.split_whitespace().collect();
    let mut hasher = blake3::Hasher::new();
    hasher.update(model.as_bytes());
    let blocks = words.chunks_exact(BLOCK_TOKENS as usize);
    let hash_block = |block: &[&str]| {
        for word in block {
            hasher.update(&[0]);
            hasher.update(word.as_bytes());
        }
        let mut first = [0; 8];
        hasher.finalize_xof().fill(&mut first);
        PrefixHash(u64::from_le_bytes(first))
    };
    blocks.map(hash_block).collect()
}

/// The cache.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    used_at: HashMap<PrefixHash, u64>,
    by_use: BTreeMap<u64, PrefixHash>,
    clock: u64,
    events: VecDeque<CacheEvent>,
    last_event: u64,
}

impl PrefixCache {
    /// An empty cache of `capacity_tokens`.
    pub fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity: (capacity_tokens / u64::from(BLOCK_TOKENS)) as usize,
            used_at: HashMap::new(),
            by_use: BTreeMap::new(),
            clock: 0,
            events: VecDeque::new(),
            last_event: 0,
        }
    }

    /// Tokens held.
    pub fn tokens(&self) -> u64 {
        self.used_at.len() as u64 * u64::from(BLOCK_TOKENS)
    }

    /// Leading tokens of a prompt that are held; they count as used now.
    pub fn find(&mut self, prefixes: &[PrefixHash]) -> u32 {
        let held = prefixes
            .iter()
            .take_while(|prefix| self.used_at.contains_key(prefix))
            .count();
        // Longer prefixes are touched first, so that a shorter one outlives those it is part of.
        for prefix in prefixes[..held].iter().rev() {
            self.touch(*prefix);
        }
        held as u32 * BLOCK_TOKENS
    }

    /// Holds the blocks of a prompt that has run.
    pub fn store(&mut self, prefixes: &[PrefixHash]) {
        for (place, prefix) in prefixes.iter().enumerate().rev() {
            if !self.used_at.contains_key(prefix) {
                let tokens = (place as u32 + 1) * BLOCK_TOKENS;
                self.note(*prefix, tokens, CacheChange::Stored);
            }
            self.touch(*prefix);
        }
        while self.used_at.len() > self.capacity
            && let Some((_, oldest)) = self.by_use.pop_first()
        {
            self.used_at.remove(&oldest);
            self.note(oldest, BLOCK_TOKENS, CacheChange::Evicted);
        }
    }

    /// Number of the newest event.
    pub fn newest_event(&self) -> Sequence {
        Sequence(self.last_event)
    }

    /// Loses the newest event, as if it had never been sent.
    pub fn lose_newest_event(&mut self) {
        self.events.pop_back();
    }

    /// Events after the one numbered `after`.
    pub fn events_after(&self, after: Sequence) -> CacheEvents {
        let first_kept = self.events.front().map_or(0, |event| event.sequence.0);
        let newer = self.events.iter().filter(|event| event.sequence > after);
        CacheEvents {
            events: newer.copied().collect(),
            missed: after.0 + 1 < first_kept,
        }
    }

    fn touch(&mut self, prefix: PrefixHash) {
        self.clock += 1;
        if let Some(before) = self.used_at.insert(prefix, self.clock) {
            self.by_use.remove(&before);
        }
        self.by_use.insert(self.clock, prefix);
    }

    fn note(&mut self, prefix: PrefixHash, tokens: u32, change: CacheChange) {
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
