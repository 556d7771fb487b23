//! KV caches kept for export to other engines.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::{AttemptId, MonotonicTime};

/// How long a cache is kept.
const LIFETIME: Duration = Duration::from_secs(30);

/// Maximum number of caches; the oldest is dropped first.
const MAX_EXPORTS: usize = 1_024;

struct Export {
    prompt_tokens: u32,
    expires_at: MonotonicTime,
}

/// KV caches by the attempt that prefilled the prompt.
#[derive(Default)]
pub struct CacheExports {
    caches: HashMap<AttemptId, Export>,
    insertion_order: VecDeque<AttemptId>,
}

impl CacheExports {
    /// Adds the cache of a prompt.
    pub fn insert(&mut self, now: MonotonicTime, attempt: AttemptId, prompt_tokens: u32) {
        let expires_at = now + LIFETIME;
        self.caches.insert(
            attempt,
            Export {
                prompt_tokens,
                expires_at,
            },
        );
        self.insertion_order.push_back(attempt);
        while self.insertion_order.len() > MAX_EXPORTS
            && let Some(oldest) = self.insertion_order.pop_front()
        {
            self.caches.remove(&oldest);
        }
    }

    /// Prompt tokens of the attempt's cache; `None` if it is unknown or expired.
    pub fn find(&self, now: MonotonicTime, attempt: AttemptId) -> Option<u32> {
        let export = self.caches.get(&attempt)?;
        (now < export.expires_at).then_some(export.prompt_tokens)
    }

    /// Tokens of all caches that have not expired.
    pub fn tokens(&self, now: MonotonicTime) -> u64 {
        let caches = self
            .caches
            .values()
            .filter(|export| now < export.expires_at);
        caches.map(|export| u64::from(export.prompt_tokens)).sum()
    }
}
