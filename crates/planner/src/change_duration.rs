//! Learns how long an engine is out of service for a role change.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_types::{EngineId, MonotonicTime, Role};

/// Weight of the latest change in the moving average.
const NEW_CHANGE_WEIGHT: f64 = 0.4;

/// A role change in progress.
#[derive(Clone, Copy, Debug)]
struct RoleChange {
    from: Role,
    to: Role,
    at: MonotonicTime,
}

/// Expected duration of a change, by the role an engine leaves: generation takes longer to drain than
/// prefill.
#[derive(Clone, Debug)]
pub(crate) struct ChangeDurationEstimate {
    from_prefill: Duration,
    from_decode: Duration,
    in_progress: BTreeMap<EngineId, RoleChange>,
}

impl ChangeDurationEstimate {
    /// Starts with the configured duration.
    pub(crate) fn new(configured: Duration) -> Self {
        Self {
            from_prefill: configured,
            from_decode: configured,
            in_progress: BTreeMap::new(),
        }
    }

    /// Expected duration for an engine that leaves `role`.
    pub(crate) fn expected(&self, role: Role) -> Duration {
        if role.runs_decode() {
            self.from_decode
        } else {
            self.from_prefill
        }
    }

    /// Records the start of a change.
    pub(crate) fn begin(&mut self, now: MonotonicTime, engine: &EngineId, from: Role, to: Role) {
        let change = RoleChange { from, to, at: now };
        self.in_progress.insert(engine.clone(), change);
    }

    /// Records the role an engine serves in and learns from the change that this completes, if any.
    pub(crate) fn observe(&mut self, now: MonotonicTime, engine: &EngineId, role: Role) {
        let done = self
            .in_progress
            .get(engine)
            .is_some_and(|change| change.to == role);
        if !done {
            return;
        }
        let Some(change) = self.in_progress.remove(engine) else {
            return;
        };
        let estimate = if change.from.runs_decode() {
            &mut self.from_decode
        } else {
            &mut self.from_prefill
        };
        let previous = estimate.mul_f64(1.0 - NEW_CHANGE_WEIGHT);
        *estimate = previous + now.since(change.at).mul_f64(NEW_CHANGE_WEIGHT);
    }

    /// Discards the change of an engine, for example after its restart.
    pub(crate) fn forget(&mut self, engine: &EngineId) {
        self.in_progress.remove(engine);
    }
}
