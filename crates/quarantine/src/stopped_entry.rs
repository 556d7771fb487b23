//! Entries of the key-value service for stopped requests, which keep them stopped across a restart
//! of all nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestFingerprint;
use crate::ledger::CrashRecord;
use crate::unfinished::EngineRunId;

/// A stopped request, stored under a key that ends with its fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoppedRequestEntry {
    /// The engine runs that ended while the request was unfinished there.
    pub engines: Vec<EngineRunId>,
    /// Time of the last crash, in milliseconds since the Unix epoch.
    pub last_crash_unix_ms: u64,
    /// Whether an operator has released the request.
    #[serde(default)]
    pub is_released: bool,
}

impl StoppedRequestEntry {
    /// Creates the entry for the crash records of one request. `unix_time` is the current time
    /// since the Unix epoch.
    pub fn from_records(records: &[CrashRecord], unix_time: Duration) -> Self {
        let newest = records.iter().map(|record| record.age_ms).min();
        let unix_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
        Self {
            engines: records.iter().map(|record| record.engine).collect(),
            last_crash_unix_ms: unix_ms.saturating_sub(u64::from(newest.unwrap_or_default())),
            is_released: false,
        }
    }

    /// Converts the entry to crash records as of `unix_time`. If the clock was set back, they
    /// appear younger by the same amount.
    pub fn records(
        &self,
        fingerprint: RequestFingerprint,
        unix_time: Duration,
    ) -> impl Iterator<Item = CrashRecord> {
        let unix_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
        let age_ms = unix_ms.saturating_sub(self.last_crash_unix_ms);
        self.engines.iter().map(move |engine| CrashRecord {
            fingerprint,
            engine: *engine,
            age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            is_cleared: self.is_released,
        })
    }

    /// Whether this entry contains all engine runs of `newer`.
    pub fn covers(&self, newer: &Self) -> bool {
        let mut engines = newer.engines.iter();
        engines.all(|engine| self.engines.contains(engine))
    }
}
