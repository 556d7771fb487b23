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

/// A held part in the key-value service, stored under a key that ends with its fingerprint. Keeps the part held if all
/// nodes restart.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeldPartEntry {
    /// The engine runs that ended while requests with the part were unfinished there.
    pub engines: Vec<EngineRunId>,
    /// Number of these that ended during a trial.
    pub trials: u32,
    /// Time of the last crash, in milliseconds since the Unix epoch.
    pub last_crash_unix_ms: u64,
    /// Whether an operator has released the part.
    #[serde(default)]
    pub is_released: bool,
}

impl HeldPartEntry {
    /// Converts the entry to crash records as of `unix_time`, the time since the Unix epoch. If the clock was set back,
    /// they appear younger by the same amount.
    pub fn crashes(&self, part: PartFingerprint, unix_time: Duration) -> Vec<PartCrash> {
        let unix_ms = u64::try_from(unix_time.as_millis()).unwrap_or(u64::MAX);
        let age_ms = unix_ms.saturating_sub(self.last_crash_unix_ms);
        let suspect = SuspectPart {
            part,
            arrivals: 0,
            completed_ms: None,
        };
        let crashes = (0_u32..).zip(&self.engines);
        crashes
            .map(|(index, engine)| PartCrash {
                engine: *engine,
                age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
                request: index,
                is_trial: index < self.trials,
                parts: vec![suspect],
            })
            .collect()
    }

    /// Whether this entry contains all engine runs of `newer`.
    pub fn covers(&self, newer: &Self) -> bool {
        let mut engines = newer.engines.iter();
        engines.all(|engine| self.engines.contains(engine))
    }
}
