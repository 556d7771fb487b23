//! An engine's bounded cache of prompt prefixes; the least recently used go first.

use std::collections::BTreeMap;

/// Prefixes by last use.
#[derive(Clone, Debug)]
pub(crate) struct PrefixCache {
    capacity_tokens: u64,
    held_tokens: u64,
    clock: u64,
    by_key: BTreeMap<u64, Entry>,
    by_use: BTreeMap<u64, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    tokens: u32,
    used: u64,
}

impl PrefixCache {
    /// An empty cache.
    pub(crate) fn new(capacity_tokens: u64) -> Self {
        Self {
            capacity_tokens,
            held_tokens: 0,
            clock: 0,
            by_key: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Tokens of the prefix that are held; counts as a use.
    pub(crate) fn find(&mut self, key: u64) -> u32 {
        self.clock += 1;
        let Some(entry) = self.by_key.get_mut(&key) else {
            return 0;
        };
        self.by_use.remove(&entry.used);
        entry.used = self.clock;
        self.by_use.insert(self.clock, key);
        entry.tokens
    }

    /// Keeps a prefix that has just been run.
    pub(crate) fn keep(&mut self, key: u64, tokens: u32) {
        if self.find(key) > 0 || u64::from(tokens) > self.capacity_tokens {
            return;
        }
        let used = self.clock;
        self.by_key.insert(key, Entry { tokens, used });
        self.by_use.insert(used, key);
        self.held_tokens += u64::from(tokens);
        while self.held_tokens > self.capacity_tokens {
            self.drop_oldest();
        }
    }

    /// Forgets everything.
    pub(crate) fn clear(&mut self) {
        *self = Self::new(self.capacity_tokens);
    }

    fn drop_oldest(&mut self) {
        if let Some((_, key)) = self.by_use.pop_first()
            && let Some(entry) = self.by_key.remove(&key)
        {
            self.held_tokens -= u64::from(entry.tokens);
        }
    }
}
