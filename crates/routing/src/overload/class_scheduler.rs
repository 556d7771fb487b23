//! Who goes next when a place comes free.
//!
//! Answers a load in which urgent and less urgent requests of several tenants compete for one pool: the urgent go
//! first, and nobody waits for ever.

use std::collections::BTreeMap;

use dalestand_types::MonotonicTime;

use super::ShareStanding;

/// Least part of the releases that a class which waits gets, whatever waits of more urgent ones. With more than
/// twenty classes each gets its even part.
pub const MIN_CLASS_SHARE: f64 = 0.05;

/// A request's claim on a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// Importance; 0 is the highest.
    pub priority: u8,
    /// Whether its tenant is within its share.
    pub standing: ShareStanding,
    /// Until when a place lets it be answered in time.
    pub on_time_until: MonotonicTime,
    /// Until when a place lets it be answered at all.
    pub expires_at: MonotonicTime,
}

/// Which class goes next: the most urgent one, but for the least share of the others.
#[derive(Clone, Debug, Default)]
pub struct ClassScheduler {
    /// Releases owed to each class that waits.
    owed: BTreeMap<u8, f64>,
}

impl ClassScheduler {
    /// The class that goes next among those that wait, which come in the order of urgency.
    pub fn next(&mut self, waiting: &[u8]) -> Option<u8> {
        let first = *waiting.first()?;
        self.owed.retain(|class, _| waiting.contains(class));
        let share = MIN_CLASS_SHARE.min(1.0 / waiting.len() as f64);
        for class in waiting {
            *self.owed.entry(*class).or_default() += share;
        }
        let most_owed = waiting.iter().max_by(|one, other| {
            let owed = |class| self.owed.get(class).copied().unwrap_or_default();
            owed(*one).total_cmp(&owed(*other))
        });
        let due = most_owed.filter(|class| self.owed.get(class).is_some_and(|owed| *owed >= 1.0));
        let next = due.copied().unwrap_or(first);
        if let Some(owed) = self.owed.get_mut(&next) {
            *owed = (*owed - 1.0).max(0.0);
        }
        Some(next)
    }
}
