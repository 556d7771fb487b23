//! Changes of stages that were ordered and may not show in the list of engines yet.
//!
//! The list lags an order by seconds. Whoever counts engines by it alone orders the same change again
//! until the first one shows, and then has too many.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::stage_balance::StageChange;

/// An order that was taken shows in the list within this time; one that does not was lost.
const SHOWN_WITHIN: Duration = Duration::from_secs(4);

/// Changes by engine.
#[derive(Clone, Debug)]
pub struct PendingChanges<E> {
    changes: HashMap<E, (StageChange, MonotonicTime)>,
}

impl<E> Default for PendingChanges<E> {
    fn default() -> Self {
        Self {
            changes: HashMap::new(),
        }
    }
}

impl<E: Copy + Eq + Hash> PendingChanges<E> {
    /// Notes an order.
    pub fn record_order(&mut self, now: MonotonicTime, engine: E, change: StageChange) {
        self.changes.insert(engine, (change, now + SHOWN_WITHIN));
    }

    /// Notes that the engine did not take the order.
    pub fn remove(&mut self, engine: E) {
        self.changes.remove(&engine);
    }

    /// The change that the engine makes at `now`, if any.
    pub fn get(&self, now: MonotonicTime, engine: E) -> Option<StageChange> {
        let (change, until) = self.changes.get(&engine)?;
        (now < *until).then_some(*change)
    }

    /// Forgets what is over.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        self.changes.retain(|_, (_, until)| now < *until);
    }

    /// Forgets all.
    pub fn clear(&mut self) {
        self.changes.clear();
    }
}
