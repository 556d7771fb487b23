//! The permits that a node holds.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::staged::EngineKey;

/// From so many engines on, those with nothing in force are forgotten.
const MANY_ENGINES: usize = 1_024;

/// Leave to send one request to an engine. It is spent, given back or left to lapse.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    engine: EngineKey,
    valid_until: MonotonicTime,
}

impl Permit {
    /// Whether a request may still go out on it.
    pub fn is_valid(self, now: MonotonicTime) -> bool {
        now < self.valid_until
    }
}

#[derive(Clone, Debug, Default)]
struct Held {
    /// Until when each permit holds.
    permits: Vec<MonotonicTime>,
    /// Until when the node is not to ask.
    closed_until: MonotonicTime,
}

/// The permits of one node, and the engines for which it is to ask for none now.
#[derive(Clone, Debug, Default)]
pub struct HeldPermits {
    engines: HashMap<EngineKey, Held>,
}

impl HeldPermits {
    /// Takes a permit; `None` if none is held.
    pub fn take(&mut self, now: MonotonicTime, engine: EngineKey) -> Option<Permit> {
        let held = self.engines.get_mut(&engine)?;
        held.permits.retain(|valid_until| now < *valid_until);
        let valid_until = held.permits.pop()?;
        Some(Permit {
            engine,
            valid_until,
        })
    }

    /// Gives a permit back on which nothing went out.
    pub fn give_back(&mut self, permit: Permit) {
        let held = self.engines.entry(permit.engine).or_default();
        held.permits.push(permit.valid_until);
    }

    /// Adds permits that were given for an engine.
    pub fn add(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        permits: u32,
        valid_until: MonotonicTime,
    ) {
        self.forget_idle(now);
        let held = self.engines.entry(engine).or_default();
        let permits = std::iter::repeat_n(valid_until, permits as usize);
        held.permits.extend(permits);
    }

    /// Has an engine get no requests for a time, unless a permit is held.
    pub fn close(&mut self, now: MonotonicTime, engine: EngineKey, time: Duration) {
        self.forget_idle(now);
        let held = self.engines.entry(engine).or_default();
        held.closed_until = now + time;
    }

    /// Until when the engine gets no request for want of a permit; `None` if one is held or may be asked for.
    pub fn closed_until(&self, now: MonotonicTime, engine: EngineKey) -> Option<MonotonicTime> {
        let held = self.engines.get(&engine)?;
        let has_permit = held.permits.iter().any(|valid_until| now < *valid_until);
        (now < held.closed_until && !has_permit).then_some(held.closed_until)
    }

    /// Engines that were closed for want of a permit, lately or now.
    pub fn closed(&self) -> impl Iterator<Item = EngineKey> {
        self.engines.keys().copied()
    }

    /// Forgets an engine.
    pub fn forget(&mut self, engine: EngineKey) {
        self.engines.remove(&engine);
    }

    fn forget_idle(&mut self, now: MonotonicTime) {
        if self.engines.len() >= MANY_ENGINES {
            self.engines.retain(|_, held| {
                now < held.closed_until || held.permits.iter().any(|until| now < *until)
            });
        }
    }
}
