//! What the key-value service keeps of a stopped request, so that it stays stopped when every node is
//! lost.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestFingerprint;
use crate::ledger::CrashRecord;
use crate::unfinished::EngineRunId;

/// A stopped request, as the value of a key that ends with its fingerprint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoppedRequestEntry {
    /// The engines that ended under it.
    pub engines: Vec<EngineRunId>,
    /// When the last of them did, in milliseconds since the start of 1970.
    pub last_crash_unix_ms: u64,
    /// Whether an operator let it run again.
    #[serde(default)]
    pub is_released: bool,
}

impl StoppedRequestEntry {
    /// What the records of one request come to at `unix_time`.
    pub fn of(records: &[CrashRecord], unix_time: Duration) -> Self {
        let newest = records.iter().map(|record| record.age_ms).min();
        let unix_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
        Self {
            engines: records.iter().map(|record| record.engine).collect(),
            last_crash_unix_ms: unix_ms.saturating_sub(u64::from(newest.unwrap_or_default())),
            is_released: false,
        }
    }

    /// The records at `unix_time`. A clock that was set back makes them younger by as much.
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

    /// Whether this tells all that `newer` does.
    pub fn covers(&self, newer: &Self) -> bool {
        let mut engines = newer.engines.iter();
        engines.all(|engine| self.engines.contains(engine))
    }
}
