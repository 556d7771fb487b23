//! KV caches that are held for export to other engines. Pure.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::{AttemptId, MonotonicTime};

/// How long a cache is held.
const LIFETIME: Duration = Duration::from_secs(30);

/// Most caches held; the oldest goes first.
const MAX_HELD: usize = 1_024;

struct Export {
    prompt_tokens: u32,
    expires: MonotonicTime,
}

/// The caches held, by the attempt that ran the prompt.
#[derive(Default)]
pub struct Exports {
    held: HashMap<AttemptId, Export>,
    order: VecDeque<AttemptId>,
}

impl Exports {
    /// Holds the cache of a prompt.
    pub fn hold(&mut self, now: MonotonicTime, attempt: AttemptId, prompt_tokens: u32) {
        let expires = now + LIFETIME;
        self.held.insert(
            attempt,
            Export {
                prompt_tokens,
                expires,
            },
        );
        self.order.push_back(attempt);
        while self.order.len() > MAX_HELD
            && let Some(oldest) = self.order.pop_front()
        {
            self.held.remove(&oldest);
        }
    }

    /// Prompt tokens of a cache that is still held.
    pub fn find(&self, now: MonotonicTime, attempt: AttemptId) -> Option<u32> {
        let export = self.held.get(&attempt)?;
        (now < export.expires).then_some(export.prompt_tokens)
    }

    /// Tokens of all caches held.
    pub fn tokens(&self, now: MonotonicTime) -> u64 {
        let held = self.held.values().filter(|export| now < export.expires);
        held.map(|export| u64::from(export.prompt_tokens)).sum()
    }
}
