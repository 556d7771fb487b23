//! When refused callers are told to come back.
//!
//! Answers a load in which all refused callers would come back together, to queues that new callers keep as long: each
//! gets a slot of its own, and slots follow each other at a part of the rate at which places come free. Both serving
//! paths use it.

use std::collections::{BTreeMap, HashMap};
use std::hash::Hash;
use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Part of the places that come free which is kept for callers who come back.
pub const RETURN_SHARE: f64 = 0.25;

/// Lowest rate of places assumed, a second: there is a slot at some time.
const LOWEST_RATE: f64 = 0.2;

/// When a refused caller may come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryAfterSlot {
    /// It has a slot after this time.
    After(Duration),
    /// There is none that it can wait for; the next one would be after this time.
    NoneWithin(Duration),
}

impl RetryAfterSlot {
    /// The time that the caller is told.
    pub fn delay(self) -> Duration {
        match self {
            Self::After(time) | Self::NoneWithin(time) => time,
        }
    }
}

/// For how long a caller can be asked to stay away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryAfterBounds {
    /// No sooner.
    pub shortest: Duration,
    /// No later: it will not wait, or not be served, after that.
    pub longest: Duration,
}

/// Slots of refused callers, by what they compete for.
#[derive(Clone, Debug)]
pub struct RetryAfterSchedule<K> {
    /// Earliest next slot by priority.
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
    /// Gives a refused caller of this priority (0 is the most urgent) a slot, where places come free at `freed_per_s`.
    /// It takes none away from others if it cannot wait for it.
    pub fn assign(
        &mut self,
        now: MonotonicTime,
        key: &K,
        priority: u8,
        freed_per_s: f64,
        bounds: RetryAfterBounds,
    ) -> RetryAfterSlot {
        let rate = freed_per_s.max(LOWEST_RATE) * RETURN_SHARE;
        let next = self.next.entry(key.clone()).or_default();
        let urgent = next.range(..=priority).map(|(_, slot)| *slot).max();
        let slot = urgent.unwrap_or_default().max(now + bounds.shortest);
        let wait = slot.since(now);
        if wait >= bounds.longest {
            return RetryAfterSlot::NoneWithin(wait);
        }
        let gap = Duration::from_secs_f64(1.0 / rate);
        next.insert(priority, slot + gap);
        for (_, behind) in next.range_mut(priority.saturating_add(1)..) {
            *behind = *behind + gap;
        }
        next.retain(|_, slot| *slot > now);
        RetryAfterSlot::After(wait)
    }
}
