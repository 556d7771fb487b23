//! What engines say of themselves in their answers: that they drain, and for how long they want no calls.
//!
//! It reaches a node with the answer, whatever the state of the key-value service, and binds this node
//! from then on. That an engine's run drains is final: an entry of the same run that says otherwise is
//! older, or was written by an engine that does not know better.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::EngineKey;

/// Longest backoff that one answer brings about. An engine that asks for days is asked again after this
/// time, by one call, so that one wrong answer does not lose it for as long as it lives.
const LONGEST_BACKOFF: Duration = Duration::from_secs(600);

/// Runs that are remembered as draining, the newest: more than end while an older entry of one may still
/// come from a reading, a relay or a restored service. 130 KB.
const MOST_DRAINING: usize = 8_192;

/// Why an engine is to get no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosedFor {
    /// It has said that it drains.
    Draining,
    /// It wants no calls until this time.
    Backoff(MonotonicTime),
}

/// What engines said of themselves.
#[derive(Clone, Debug, Default)]
pub struct SignalLedger {
    draining: HashSet<EngineKey>,
    /// The same in the order in which they were learnt.
    draining_order: VecDeque<EngineKey>,
    backoffs: HashMap<EngineKey, MonotonicTime>,
}

impl SignalLedger {
    /// Notes that an engine drains; whether that is news.
    pub fn note_draining(&mut self, engine: EngineKey) -> bool {
        if !self.draining.insert(engine) {
            return false;
        }
        self.draining_order.push_back(engine);
        if self.draining_order.len() > MOST_DRAINING
            && let Some(oldest) = self.draining_order.pop_front()
        {
            self.draining.remove(&oldest);
        }
        true
    }

    /// Notes that an engine asked at `now` for a time without calls; whether it had not done so before.
    pub fn note_backoff(&mut self, now: MonotonicTime, engine: EngineKey, asked: Duration) -> bool {
        let until = self.backoffs.entry(engine).or_default();
        let is_news = *until <= now;
        *until = (*until).max(now + asked.min(LONGEST_BACKOFF));
        is_news
    }

    /// Whether the engine's run has said that it drains.
    pub fn drains(&self, engine: EngineKey) -> bool {
        self.draining.contains(&engine)
    }

    /// Why the engine is to get no request.
    pub fn closed(&self, engine: EngineKey) -> Option<ClosedFor> {
        self.drains(engine).then_some(ClosedFor::Draining)
    }

    /// Forgets an engine whose entry is gone, but for that it drains: the entry may come back.
    pub fn forget(&mut self, engine: EngineKey) {
        self.backoffs.remove(&engine);
    }

    /// Engines that want no calls at `now`.
    pub fn backing_off(&self, now: MonotonicTime) -> usize {
        let ends = self.backoffs.values();
        ends.filter(|until| now < **until).count()
    }
}
