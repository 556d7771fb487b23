//! What engines say of themselves in their answers: that they drain, and for how long they want no calls.
//!
//! It reaches a node with the answer, whatever the state of the key-value service, and binds this node
//! from then on.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{EngineSignals, MonotonicTime};

use super::EngineKey;

/// Longest backoff that one answer brings about. An engine that asks for days is asked again after this
/// time, by one call, so that one wrong answer does not lose it for as long as it lives.
const LONGEST_BACKOFF: Duration = Duration::from_secs(600);

/// Why an engine is to get no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosedFor {
    /// It has said that it drains.
    Draining,
    /// It wants no calls until this time.
    Backoff(MonotonicTime),
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    drains: bool,
    backoff_until: MonotonicTime,
}

/// What engines said of themselves.
#[derive(Clone, Debug, Default)]
pub struct SignalLedger {
    engines: HashMap<EngineKey, Record>,
}

impl SignalLedger {
    /// Takes in what an answer that came at `now` says of its engine; whether that is news.
    pub fn note(&mut self, now: MonotonicTime, engine: EngineKey, signals: EngineSignals) -> bool {
        if signals.is_empty() {
            return false;
        }
        let record = self.engines.entry(engine).or_default();
        let is_news = (signals.drains && !record.drains)
            || signals.backoff.is_some() && record.backoff_until <= now;
        record.drains |= signals.drains;
        if let Some(backoff) = signals.backoff {
            record.backoff_until = record.backoff_until.max(now + backoff.min(LONGEST_BACKOFF));
        }
        is_news
    }

    /// Why the engine is to get no request at `now`.
    pub fn closed(&self, now: MonotonicTime, engine: EngineKey) -> Option<ClosedFor> {
        let record = self.engines.get(&engine)?;
        if record.drains {
            return Some(ClosedFor::Draining);
        }
        (now < record.backoff_until).then_some(ClosedFor::Backoff(record.backoff_until))
    }

    /// Forgets an engine that is gone.
    pub fn forget(&mut self, engine: EngineKey) {
        self.engines.remove(&engine);
    }

    /// Engines that have said that they drain.
    pub fn draining(&self) -> usize {
        let records = self.engines.values();
        records.filter(|record| record.drains).count()
    }

    /// Engines that want no calls at `now`.
    pub fn backing_off(&self, now: MonotonicTime) -> usize {
        let records = self.engines.values();
        records.filter(|record| now < record.backoff_until).count()
    }
}
