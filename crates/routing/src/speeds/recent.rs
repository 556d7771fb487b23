//! How slow engines were a moment ago.
//!
//! The load it answers: application servers on shared machines that are slow for half a second at a time, a
//! sixth of all time. A mean over seconds tells of no such moment.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::staged::EngineKey;

/// What an engine did tells of what it does now for about this time: as long as such a moment lasts.
const TELLS_FOR: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug)]
struct LastTime {
    ratio: f64,
    at: MonotonicTime,
}

/// The last answer of each engine.
#[derive(Clone, Debug, Default)]
pub(super) struct RecentTimes(HashMap<EngineKey, LastTime>);

impl RecentTimes {
    /// Notes that an engine took `ratio` times what a usual one takes.
    pub(super) fn note(&mut self, now: MonotonicTime, engine: EngineKey, ratio: f64) {
        if ratio.is_finite() && ratio > 0.0 {
            self.0.insert(engine, LastTime { ratio, at: now });
        }
    }

    /// The slowness now of an engine that has `always` as a rule.
    pub(super) fn slowness(&self, now: MonotonicTime, engine: EngineKey, always: f64) -> f64 {
        let Some(last) = self.0.get(&engine) else {
            return always;
        };
        let age = now.since(last.at).as_secs_f64() / TELLS_FOR.as_secs_f64();
        // A time that was short by chance tells less than one that was long.
        let lately = last.ratio.max(always);
        always + (lately - always) * (-age).exp()
    }

    pub(super) fn forget(&mut self, engine: EngineKey) {
        self.0.remove(&engine);
    }
}
