//! Picks the priority class that is served next when a place becomes free: the most urgent one, with a guaranteed
//! minimum for the others so that none starves.

use std::collections::BTreeMap;

use dalestand_types::MonotonicTime;

use super::ShareStanding;

/// Minimum fraction of the places that a waiting class gets, regardless of more urgent ones. With more than
/// twenty classes waiting, each gets an equal fraction.
pub const MIN_CLASS_SHARE: f64 = 0.05;

/// A request that waits for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueEntry {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request lies within its tenant's share.
    pub standing: ShareStanding,
    /// Latest time at which a place still lets it meet its objective.
    pub on_time_until: MonotonicTime,
    /// Time from which it can no longer be answered before its deadline.
    pub expires_at: MonotonicTime,
}

/// Strict priority scheduler with a guaranteed minimum ([`MIN_CLASS_SHARE`]) for each waiting class.
#[derive(Clone, Debug, Default)]
pub struct ClassScheduler {
    /// Credit of each waiting class, in places. The class with the highest credit is served next if it has at least one.
    credits: BTreeMap<u8, f64>,
}

impl ClassScheduler {
    /// Picks the class to serve next. `waiting` lists the waiting classes, most urgent first.
    pub fn next(&mut self, waiting: &[u8]) -> Option<u8> {
        let first = *waiting.first()?;
        self.credits.retain(|class, _| waiting.contains(class));
        let share = MIN_CLASS_SHARE.min(1.0 / waiting.len() as f64);
        for class in waiting {
            *self.credits.entry(*class).or_default() += share;
        }
        let highest = waiting.iter().max_by(|one, other| {
            let credit = |class| self.credits.get(class).copied().unwrap_or_default();
            credit(*one).total_cmp(&credit(*other))
        });
        let due =
            highest.filter(|class| self.credits.get(class).is_some_and(|credit| *credit >= 1.0));
        let next = due.copied().unwrap_or(first);
        if let Some(credit) = self.credits.get_mut(&next) {
            *credit = (*credit - 1.0).max(0.0);
        }
        Some(next)
    }
}
