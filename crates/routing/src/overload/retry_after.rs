//! Spreads the retries of refused callers over time, so that they do not all come back at once to queues that are still
//! full.
//!
//! Each refused caller gets a retry slot of its own. Slots are spaced at a fraction of the rate at which places become
//! free.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Fraction of the places that become free that is planned for retries.
pub const RETRY_SHARE: f64 = 0.25;

/// Lowest assumed rate of places that become free, per second, so that the interval between slots stays finite.
const MIN_FREED_PER_S: f64 = 0.2;

/// When a refused caller may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterSlot {
    /// A slot is reserved for it after this delay.
    After(Duration),
    /// No slot is reserved, because the next one, after this delay, is later than the caller can wait.
    NoneWithin(Duration),
}

impl RetryAfterSlot {
    /// The delay to report to the caller.
    pub fn delay(self) -> Duration {
        match self {
            Self::After(time) | Self::NoneWithin(time) => time,
        }
    }
}

/// Bounds of a retry delay.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterBounds {
    /// Shortest delay.
    pub shortest: Duration,
    /// Delay from which the caller gives up, or could no longer be served.
    pub longest: Duration,
}

/// Assigns retry slots, separately for each key: the resource that callers compete for.
#[derive(Clone, Debug)]
pub struct RetryAfterSchedule<K> {
    /// Time of the next free slot by priority.
    next: HashMap<K, BTreeMap<u8, MonotonicTime>>,
}

impl<K> Default for RetryAfterSchedule<K> {
    fn default() -> Self {
        Self {
            next: HashMap::new(),
        }
    }
}

impl<K: Clone + Eq + Hash> RetryAfterSchedule<K> {
    /// Assigns a slot to a refused caller. `priority` 0 is the most urgent and delays the slots of the others;
    /// `freed_per_s` is the rate at which places become free. A caller that cannot wait for its slot reserves none.
    pub fn assign(
        &mut self,
        now: MonotonicTime,
        key: &K,
        priority: u8,
        freed_per_s: f64,
        bounds: RetryAfterBounds,
    ) -> RetryAfterSlot {
        let rate = freed_per_s.max(MIN_FREED_PER_S) * RETRY_SHARE;
        let next = self.next.entry(key.clone()).or_default();
        let taken_until = next.range(..=priority).map(|(_, slot)| *slot).max();
        let slot = taken_until.unwrap_or_default().max(now + bounds.shortest);
        let delay = slot.since(now);
        if delay >= bounds.longest {
            return RetryAfterSlot::NoneWithin(delay);
        }
        let interval = Duration::from_secs_f64(1.0 / rate);
        next.insert(priority, slot + interval);
        for (_, less_urgent) in next.range_mut(priority.saturating_add(1)..) {
            *less_urgent = *less_urgent + interval;
        }
        next.retain(|_, slot| *slot > now);
        RetryAfterSlot::After(delay)
    }
}
