//! Records of crashes and completions, as exchanged between nodes, and the stored form of a held part.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fingerprint::PartFingerprint;
use crate::unfinished::EngineRunId;

/// A prompt part of a request that was unfinished when its engine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectPart {
    /// The part.
    pub part: PartFingerprint,
    /// Number of requests with the part that the observing node received recently.
    pub arrivals: u16,
    /// Time since the begin of the last request with the part that the observing node saw to completion, in
    /// milliseconds; `None` if there is none.
    pub completed_ms: Option<u32>,
}

/// A request that was unfinished when its engine run ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCrash {
    /// The engine run.
    pub engine: EngineRunId,
    /// Time since the run ended, in milliseconds.
    pub age_ms: u32,
    /// Tells different requests apart.
    pub request: u32,
    /// Whether the request ran as the trial of a held part.
    pub is_trial: bool,
    /// The parts that the request shares with others.
    pub parts: Vec<SuspectPart>,
}

impl PartCrash {
    /// The record as of `by` later.
    pub fn aged(&self, by: Duration) -> Self {
        let by_ms = u32::try_from(by.as_millis()).unwrap_or(u32::MAX);
        let parts = self.parts.iter().map(|suspect| SuspectPart {
            completed_ms: suspect
                .completed_ms
                .map(|age_ms| age_ms.saturating_add(by_ms)),
            ..*suspect
        });
        Self {
            age_ms: self.age_ms.saturating_add(by_ms),
            parts: parts.collect(),
            ..*self
        }
    }
}

/// A request with this part has completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartCompletion {
    /// The part.
    pub part: PartFingerprint,
    /// Time since the completed run began, in milliseconds.
    pub age_ms: u32,
}

/// A crash in the stored form of a held part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoredPartCrash {
    /// The engine run that ended while a request with the part was unfinished there.
    pub engine: EngineRunId,
    /// Time of the crash, in milliseconds since the Unix epoch.
    pub unix_ms: u64,
    /// Tells different requests apart.
    pub request: u32,
    /// Whether the request ran as the trial of the held part.
    pub is_trial: bool,
}

/// A held part in the key-value service, stored under a key that ends with its fingerprint. Keeps the part held if all
/// nodes restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldPartEntry {
    /// The crashes for which it is held; one with several requests comes several times.
    pub crashes: Vec<StoredPartCrash>,
    /// Whether an operator has released the part.
    #[serde(default)]
    pub is_released: bool,
}

impl HeldPartEntry {
    /// Creates the entry for the crash records of one part. `unix_time` is the current time since the Unix epoch.
    pub fn from_records(records: &[PartCrash], unix_time: Duration) -> Self {
        let unix_ms = milliseconds(unix_time);
        let crashes = records.iter().map(|record| StoredPartCrash {
            engine: record.engine,
            unix_ms: unix_ms.saturating_sub(u64::from(record.age_ms)),
            request: record.request,
            is_trial: record.is_trial,
        });
        Self {
            crashes: crashes.collect(),
            is_released: false,
        }
    }

    /// Converts the entry to crash records as of `unix_time`, the time since the Unix epoch. If the clock was set back,
    /// they appear younger by the same amount.
    pub fn records(&self, part: PartFingerprint, unix_time: Duration) -> Vec<PartCrash> {
        let unix_ms = milliseconds(unix_time);
        let suspect = SuspectPart {
            part,
            arrivals: 0,
            completed_ms: None,
        };
        let crashes = self.crashes.iter().map(|crash| PartCrash {
            engine: crash.engine,
            age_ms: u32::try_from(unix_ms.saturating_sub(crash.unix_ms)).unwrap_or(u32::MAX),
            request: crash.request,
            is_trial: crash.is_trial,
            parts: vec![suspect],
        });
        crashes.collect()
    }

    /// Whether this entry has all engine runs of `newer`.
    pub fn covers(&self, newer: &Self) -> bool {
        let has = |engine| self.crashes.iter().any(|crash| crash.engine == engine);
        newer.crashes.iter().all(|crash| has(crash.engine))
    }

    /// Time of the last crash, in milliseconds since the Unix epoch.
    pub fn last_crash_unix_ms(&self) -> Option<u64> {
        self.crashes.iter().map(|crash| crash.unix_ms).max()
    }
}

fn milliseconds(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
