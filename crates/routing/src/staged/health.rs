//! Failure rates and latencies of engines, measured by this node's own attempts. They react faster than lists of
//! engines do.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::EngineKey;

/// Time for which an engine is avoided after one attempt without a response; doubles with each further one.
const INITIAL_AVOIDANCE_NO_RESPONSE: Duration = Duration::from_millis(1_000);

/// The same after a refusal. Without it, an engine that is full or changes its role would look idle, because it
/// refuses immediately.
const INITIAL_AVOIDANCE_REFUSED: Duration = Duration::from_millis(100);

/// Maximum time for which an engine is avoided after refusals.
const MAX_AVOIDANCE_REFUSED: Duration = Duration::from_millis(1_600);

/// Maximum time for which an engine is avoided after attempts without a response.
const MAX_AVOIDANCE_NO_RESPONSE: Duration = Duration::from_secs(8);

/// Weight of the newest attempt in the moving averages of failure rate and latency.
const NEWEST_WEIGHT: f64 = 0.12;

/// Half-life of the failure rate of an engine that is not used.
const FAILURE_RATE_HALF_LIFE: Duration = Duration::from_secs(3);

/// Result of an attempt, as far as it concerns the engine's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptResult {
    /// A successful response after this time.
    Success(Duration),
    /// A response that reports a failure of the engine, or one that broke off.
    Failed,
    /// A refusal by an engine without free capacity.
    Refused,
    /// No connection, or no response in time.
    NoResponse,
}

#[derive(Clone, Copy, Debug, Default)]
struct HealthRecord {
    failure_rate: f64,
    latency_ms: f64,
    updated_at: MonotonicTime,
    /// Attempts without a response since the last success.
    unanswered: u32,
    /// Refusals since the last success or role change.
    refusals: u32,
    avoided_until: MonotonicTime,
    /// Latest end of a role change of the engine. Not reset by a successful response, which may belong to
    /// a request accepted before the change.
    role_change_until: MonotonicTime,
}

/// Health records by engine.
#[derive(Clone, Debug, Default)]
pub struct EngineHealth {
    engines: HashMap<EngineKey, HealthRecord>,
}

impl EngineHealth {
    /// Records the result of an attempt.
    pub fn record(&mut self, now: MonotonicTime, engine: EngineKey, result: AttemptResult) {
        let record = self.engines.entry(engine).or_default();
        let failed = match result {
            AttemptResult::Success(latency) => {
                record.unanswered = 0;
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
                // Requests sent before the first refusal arrived are refused as well; they do not prolong it.
                if now >= record.avoided_until {
                    let avoidance = INITIAL_AVOIDANCE_REFUSED * 2_u32.pow(record.refusals.min(8));
                    record.refusals += 1;
                    record.avoided_until = now + avoidance.min(MAX_AVOIDANCE_REFUSED);
                }
                1.0
            }
            AttemptResult::NoResponse => {
                let doublings = record.unanswered.min(8);
                let avoidance = INITIAL_AVOIDANCE_NO_RESPONSE * 2_u32.pow(doublings);
                record.unanswered += 1;
                record.avoided_until = now + avoidance.min(MAX_AVOIDANCE_NO_RESPONSE);
                1.0
            }
        };
        let rate = record.failure_rate_at(now);
        record.failure_rate = rate + NEWEST_WEIGHT * (failed - rate);
        record.updated_at = now;
    }

    /// Records that an engine that was silent goes on.
    pub fn end_silence(&mut self, now: MonotonicTime, engine: EngineKey) {
        if let Some(record) = self.engines.get_mut(&engine) {
            record.unanswered = 0;
            record.avoided_until = record.avoided_until.min(now);
        }
    }

    /// Records that an engine changes its role and refuses requests meanwhile. It is avoided until
    /// [`Self::end_role_change`] is called, or until `until` if that never happens.
    pub fn begin_role_change(&mut self, engine: EngineKey, until: MonotonicTime) {
        let record = self.engines.entry(engine).or_default();
        record.role_change_until = until;
    }

    /// Records that an engine has changed its role, and discards its refusals.
    pub fn end_role_change(&mut self, engine: EngineKey) {
        if let Some(record) = self.engines.get_mut(&engine) {
            record.role_change_until = MonotonicTime::ZERO;
            record.avoided_until = MonotonicTime::ZERO;
            record.refusals = 0;
        }
    }

    /// Whether the engine is to be avoided if there is an alternative.
    pub fn is_avoided(&self, now: MonotonicTime, engine: EngineKey) -> bool {
        let record = self.engines.get(&engine);
        record.is_some_and(|record| now < record.avoided_until.max(record.role_change_until))
    }

    /// Whether an attempt got no response, none has succeeded since, and the latest attempt is recent.
    pub fn is_unresponsive(&self, now: MonotonicTime, engine: EngineKey) -> bool {
        let record = self.engines.get(&engine);
        record.is_some_and(|record| {
            record.unanswered > 0 && now.since(record.updated_at) < MAX_AVOIDANCE_NO_RESPONSE
        })
    }

    /// Moving average of the share of failed attempts, 0 to 1.
    pub fn failure_rate(&self, now: MonotonicTime, engine: EngineKey) -> f64 {
        let record = self.engines.get(&engine);
        record.map_or(0.0, |record| record.failure_rate_at(now))
    }

    /// Moving average of the latency of successful responses, in milliseconds; 0 if there were none.
    pub fn latency_ms(&self, engine: EngineKey) -> f64 {
        let record = self.engines.get(&engine);
        record.map_or(0.0, |record| record.latency_ms)
    }

    /// Forgets attempts without a response: they were due to this node's links, not to the engines.
    pub fn forget_unanswered(&mut self) {
        for record in self.engines.values_mut() {
            if std::mem::take(&mut record.unanswered) > 0 {
                record.avoided_until = MonotonicTime::ZERO;
                record.failure_rate = 0.0;
            }
        }
    }

    /// Drops the record of an engine.
    pub fn forget(&mut self, engine: EngineKey) {
        self.engines.remove(&engine);
    }
}

impl HealthRecord {
    fn failure_rate_at(&self, now: MonotonicTime) -> f64 {
        let idle = now.since(self.updated_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(idle / FAILURE_RATE_HALF_LIFE.as_secs_f64())
    }
}
