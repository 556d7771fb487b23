//! Bounded prefix cache of an engine, with LRU eviction.

use std::collections::BTreeMap;

/// An LRU cache of prompt prefixes.
#[derive(Clone, Debug)]
pub(crate) struct PrefixCache {
    capacity_tokens: u64,
    cached_tokens: u64,
    use_counter: u64,
    by_key: BTreeMap<u64, Entry>,
    lru_order: BTreeMap<u64, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    last_used: u64,
}

impl PrefixCache {
    /// Creates an empty cache.
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            cached_tokens: 0,
            use_counter: 0,
            by_key: BTreeMap::new(),
            lru_order: BTreeMap::new(),
        }
    }

    /// Cached tokens of the prefix, 0 if it is not cached; marks it as used.
    pub(crate) fn find(&mut self, key: u64) -> u32 {
        self.use_counter += 1;
        let Some(entry) = self.by_key.get_mut(&key) else {
            return 0;
        };
        self.lru_order.remove(&entry.last_used);
        entry.last_used = self.use_counter;
        self.lru_order.insert(self.use_counter, key);
        entry.tokens
    }

    /// Stores a prefix unless it is cached already or exceeds the capacity.
    pub(crate) fn store(&mut self, key: u64, tokens: u32) {
        if self.find(key) > 0 || u64::from(tokens) > self.capacity_tokens {
            return;
        }
        let last_used = self.use_counter;
        self.by_key.insert(key, Entry { tokens, last_used });
        self.lru_order.insert(last_used, key);
        self.cached_tokens += u64::from(tokens);
        while self.cached_tokens > self.capacity_tokens {
            self.evict_oldest();
        }
    }

    /// Removes all prefixes.
    pub(crate) fn clear(&mut self) {
        *self = Self::new(self.capacity_tokens);
    }

    fn evict_oldest(&mut self) {
        if let Some((_, key)) = self.lru_order.pop_first()
            && let Some(entry) = self.by_key.remove(&key)
        {
            self.cached_tokens -= u64::from(entry.tokens);
        }
    }
}
