//! How long an engine takes no work for a change of its role, learnt from the changes made.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_types::{EngineId, MonotonicTime, Role};

/// Weight of a new change in the average.
const NEW_CHANGE_WEIGHT: f64 = 0.4;

/// A change that has been ordered and is not done.
#[derive(Clone, Copy, Debug)]
struct Begun {
    from: Role,
    to: Role,
    at: MonotonicTime,
}

/// Time out of service by the role an engine leaves: output takes long to drain, prompts do not.
#[derive(Clone, Debug)]
pub(crate) struct OutageEstimate {
    from_prefill: Duration,
    from_decode: Duration,
    begun: BTreeMap<EngineId, Begun>,
}

impl OutageEstimate {
    /// An estimate that knows only what the configuration says.
    pub(crate) fn new(configured: Duration) -> Self {
        Self {
            from_prefill: configured,
            from_decode: configured,
            begun: BTreeMap::new(),
        }
    }

    /// Time expected for an engine that leaves `role`.
    pub(crate) fn expected(&self, role: Role) -> Duration {
        if role.runs_decode() {
            self.from_decode
        } else {
            self.from_prefill
        }
    }

    /// Notes that a change was ordered.
    pub(crate) fn begin(&mut self, now: MonotonicTime, engine: &EngineId, from: Role, to: Role) {
        let begun = Begun { from, to, at: now };
        self.begun.insert(engine.clone(), begun);
    }

    /// Notes the role an engine serves in; learns if that ends its change.
    pub(crate) fn observe(&mut self, now: MonotonicTime, engine: &EngineId, role: Role) {
        let done = self.begun.get(engine).is_some_and(|begun| begun.to == role);
        if !done {
            return;
        }
        let Some(begun) = self.begun.remove(engine) else {
            return;
        };
        let known = if begun.from.runs_decode() {
            &mut self.from_decode
        } else {
            &mut self.from_prefill
        };
        let kept = known.mul_f64(1.0 - NEW_CHANGE_WEIGHT);
        *known = kept + now.since(begun.at).mul_f64(NEW_CHANGE_WEIGHT);
    }

    /// Forgets the change of an engine that restarted.
    pub(crate) fn forget(&mut self, engine: &EngineId) {
        self.begun.remove(engine);
    }
}
