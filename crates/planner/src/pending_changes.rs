//! Stage changes that have been ordered but may not be visible in the engine list yet.
//!
//! The engine list lags an order by seconds. Without this record the balancer would count the engine
//! in its old stage and order further changes.

use std::collections::HashMap;
use std::hash::Hash;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::stage_balancer::StageChange;

/// Time within which an accepted order becomes visible in the engine list. An order that takes longer
/// counts as lost.
const VISIBILITY_TIMEOUT: Duration = Duration::from_secs(4);

/// Ordered changes by engine.
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
    /// Records an order.
    pub fn record_order(&mut self, now: MonotonicTime, engine: E, change: StageChange) {
        self.changes
            .insert(engine, (change, now + VISIBILITY_TIMEOUT));
    }

    /// Removes the order of an engine that did not accept it.
    pub fn remove(&mut self, engine: E) {
        self.changes.remove(&engine);
    }

    /// The pending change of an engine at `now`.
    pub fn get(&self, now: MonotonicTime, engine: E) -> Option<StageChange> {
        let (change, until) = self.changes.get(&engine)?;
        (now < *until).then_some(*change)
    }

    /// Removes orders whose time is over.
    pub fn remove_expired(&mut self, now: MonotonicTime) {
        self.changes.retain(|_, (_, until)| now < *until);
    }

    pub fn clear(&mut self) {
        self.changes.clear();
    }
}
