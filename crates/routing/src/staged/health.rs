//! How engines fail, from this node's own attempts: faster than any list of machines.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::EngineKey;

/// First time for which an engine that gave no answer is avoided; doubles with each further one.
const FIRST_AVOIDANCE: Duration = Duration::from_millis(1_000);

/// The same for an engine that refused: it is full or changes its role, and refuses at once, so
/// that it looks idle.
const FIRST_AVOIDANCE_REFUSED: Duration = Duration::from_millis(100);

/// Longest time for which an engine is avoided that refused.
const LONGEST_AVOIDANCE_REFUSED: Duration = Duration::from_millis(1_600);

/// Longest time for which an engine is avoided that gave no answer.
const LONGEST_AVOIDANCE: Duration = Duration::from_secs(8);

/// Weight of the newest attempt in the share of failures.
const NEWEST_WEIGHT: f64 = 0.12;

/// An engine not used for this long is taken to fail half as often as it did.
const FORGETTING_HALF_LIFE: Duration = Duration::from_secs(3);

/// What an attempt tells of its engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A sound answer after this time.
    Success(Duration),
    /// An answer that says the engine failed, or one that broke off.
    Failed,
    /// A refusal: the engine is full.
    Refused,
    /// No connection, or no answer in time.
    NoResponse,
}

#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failed_share: f64,
    latency_ms: f64,
    updated_at: MonotonicTime,
    silences: u32,
    refusals: u32,
    avoided_until: MonotonicTime,
    /// Until when the engine is taken to change its role. An answer to a request that it took
    /// before does not end this.
    changes_until: MonotonicTime,
}

/// Records of engines.
#[derive(Clone, Debug, Default)]
pub struct EngineHealth {
    engines: HashMap<EngineKey, Record>,
}

impl EngineHealth {
    /// Notes how an attempt came out.
    pub fn record(&mut self, now: MonotonicTime, engine: EngineKey, result: AttemptResult) {
        let record = self.engines.entry(engine).or_default();
        let failed = match result {
            AttemptResult::Success(latency) => {
                record.silences = 0;
                record.refusals = 0;
                record.avoided_until = now;
                let latency_ms = latency.as_secs_f64() * 1_000.0;
                if record.latency_ms == 0.0 {
                    record.latency_ms = latency_ms;
                }
                record.latency_ms += NEWEST_WEIGHT * (latency_ms - record.latency_ms);
                0.0
            }
            AttemptResult::Failed => 1.0,
            AttemptResult::Refused => {
                // Requests sent before the first refusal came are refused too, and say no more.
                if now >= record.avoided_until {
                    let avoidance = FIRST_AVOIDANCE_REFUSED * 2_u32.pow(record.refusals.min(8));
                    record.refusals += 1;
                    record.avoided_until = now + avoidance.min(LONGEST_AVOIDANCE_REFUSED);
                }
                1.0
            }
            AttemptResult::NoResponse => {
                let doublings = record.silences.min(8);
                let avoidance = FIRST_AVOIDANCE * 2_u32.pow(doublings);
                record.silences += 1;
                record.avoided_until = now + avoidance.min(LONGEST_AVOIDANCE);
                1.0
            }
        };
        let share = record.share_at(now);
        record.failed_share = share + NEWEST_WEIGHT * (failed - share);
        record.updated_at = now;
    }

    /// Notes that an engine changes its role and refuses requests meanwhile: it is avoided until it
    /// has changed, or until a time, in case the change never shows.
    pub fn begin_role_change(&mut self, engine: EngineKey, until: MonotonicTime) {
        let record = self.engines.entry(engine).or_default();
        record.changes_until = until;
    }

    /// Notes that an engine has changed its role: what is known of its refusals is over.
    pub fn end_role_change(&mut self, engine: EngineKey) {
        if let Some(record) = self.engines.get_mut(&engine) {
            record.changes_until = MonotonicTime::ZERO;
            record.avoided_until = MonotonicTime::ZERO;
            record.refusals = 0;
        }
    }

    /// Whether the engine is avoided while there is another.
    pub fn is_avoided(&self, now: MonotonicTime, engine: EngineKey) -> bool {
        let record = self.engines.get(&engine);
        record.is_some_and(|record| now < record.avoided_until.max(record.changes_until))
    }

    /// Whether an engine gave no answer when it was last called, and that is not long ago.
    pub fn is_unresponsive(&self, now: MonotonicTime, engine: EngineKey) -> bool {
        let record = self.engines.get(&engine);
        record.is_some_and(|record| {
            record.silences > 0 && now.since(record.updated_at) < LONGEST_AVOIDANCE
        })
    }

    /// Share of its attempts that failed lately, 0 to 1.
    pub fn failed_share(&self, now: MonotonicTime, engine: EngineKey) -> f64 {
        let record = self.engines.get(&engine);
        record.map_or(0.0, |record| record.share_at(now))
    }

    /// Usual time of a sound answer in milliseconds; 0 where none is known.
    pub fn latency_ms(&self, engine: EngineKey) -> f64 {
        let record = self.engines.get(&engine);
        record.map_or(0.0, |record| record.latency_ms)
    }

    /// Forgets an engine.
    pub fn forget(&mut self, engine: EngineKey) {
        self.engines.remove(&engine);
    }
}

impl Record {
    fn share_at(&self, now: MonotonicTime) -> f64 {
        let idle = now.since(self.updated_at).as_secs_f64();
        self.failed_share * 0.5_f64.powf(idle / FORGETTING_HALF_LIFE.as_secs_f64())
    }
}
