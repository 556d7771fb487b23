//! Permits that a node has been issued and not yet used.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::staged::EngineKey;

/// Number of engines from which those without valid permits or pause are removed.
const MANY_ENGINES: usize = 1_024;

/// Permission to send one request to an engine. It is used, given back or left to expire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct Permit {
    engine: EngineKey,
    valid_until: MonotonicTime,
}

impl Permit {
    /// Whether a request may still be sent with it.
    pub fn is_valid(self, now: MonotonicTime) -> bool {
        now < self.valid_until
    }
}

#[derive(Clone, Debug, Default)]
struct EnginePermits {
    /// Expiry times of the permits.
    permits: Vec<MonotonicTime>,
    /// Until when the node may not request permits.
    closed_until: MonotonicTime,
}

/// Permits of one node by engine, and the engines for which it may not request any now.
#[derive(Clone, Debug, Default)]
pub struct HeldPermits {
    engines: HashMap<EngineKey, EnginePermits>,
}

impl HeldPermits {
    /// Takes a valid permit; `None` if none is held.
    pub fn take(&mut self, now: MonotonicTime, engine: EngineKey) -> Option<Permit> {
        let held = self.engines.get_mut(&engine)?;
        held.permits.retain(|valid_until| now < *valid_until);
        let valid_until = held.permits.pop()?;
        Some(Permit {
            engine,
            valid_until,
        })
    }

    /// Gives back an unused permit.
    pub fn give_back(&mut self, permit: Permit) {
        let held = self.engines.entry(permit.engine).or_default();
        held.permits.push(permit.valid_until);
    }

    /// Adds permits that were issued for an engine.
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

    /// Blocks requests to an engine for `time`, unless a permit is held.
    pub fn close(&mut self, now: MonotonicTime, engine: EngineKey, time: Duration) {
        self.forget_idle(now);
        let held = self.engines.entry(engine).or_default();
        held.closed_until = now + time;
    }

    /// Until when the engine is blocked for lack of a permit; `None` if a permit is held or may be requested.
    pub fn closed_until(&self, now: MonotonicTime, engine: EngineKey) -> Option<MonotonicTime> {
        let held = self.engines.get(&engine)?;
        let has_permit = held.permits.iter().any(|valid_until| now < *valid_until);
        (now < held.closed_until && !has_permit).then_some(held.closed_until)
    }

    /// Engines for which permits were issued or denied. Includes engines that are no longer blocked.
    pub fn closed(&self) -> impl Iterator<Item = EngineKey> {
        self.engines.keys().copied()
    }

    /// Removes an engine with its permits.
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
