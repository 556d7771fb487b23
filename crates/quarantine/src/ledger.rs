//! Attributes engine crashes to requests and decides which requests are stopped.
//!
//! The evidence is a set of (request, engine run) pairs. A pair counts once, however many nodes saw
//! the crash and however often it is received, and sets merge in any order. A pair is *cleared*
//! permanently once the request completes elsewhere, as that shows that it does not crash every
//! engine. Which requests are stopped is a function of the set, so nodes with the same set agree.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use dalestand_types::MonotonicTime;
use serde::{Deserialize, Serialize};

use crate::completions::Completions;
use crate::fingerprint::RequestFingerprint;
use crate::unfinished::EngineRunId;

/// Number of engine crashes after which a request is stopped. One crash says nothing about any
/// single request at the engine, and where many engines crash, an unrelated request may see two.
pub const STOP_AFTER_CRASHES: usize = 3;

/// Interval between trials of a stopped request, each at one node of the fleet. Equals the longest
/// lease of the key-value service, so the record of a trial's crash is kept until the next trial.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(600);

/// Delay before the first trial of a stopped request that may be a bystander: by then the crashed
/// engines have restarted.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(2);

/// How long a crash counts, and so the longest time for which a request stays stopped: six trials.
const CRASH_RETENTION: Duration = Duration::from_secs(3_600);

/// Maximum number of requests kept: 0.5 MB at 250 bytes each.
const MAX_REQUESTS: usize = 2_048;

/// Maximum number of crashes kept for one request.
const MAX_CRASHES_PER_REQUEST: usize = 16;

/// An engine run that ended while a request was unfinished there, as exchanged between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The engine run.
    pub engine: EngineRunId,
    /// Time since the run ended, in milliseconds.
    pub age_ms: u32,
    /// Whether the crash no longer counts, because the request has completed elsewhere or was
    /// released.
    pub is_cleared: bool,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    engine: EngineRunId,
    crashed_at: MonotonicTime,
    is_cleared: bool,
}

/// The crashes attributed to one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// At most one for each engine run.
    crashes: Vec<Crash>,
}

impl Suspect {
    /// The crashes that count; those of `explained` engine runs do not.
    fn countable_crashes<'s>(
        &'s self,
        now: MonotonicTime,
        explained: &'s HashSet<EngineRunId>,
    ) -> impl Iterator<Item = &'s Crash> {
        self.crashes.iter().filter(move |crash| {
            !crash.is_cleared
                && now.since(crash.crashed_at) < CRASH_RETENTION
                && !explained.contains(&crash.engine)
        })
    }

    fn expire(&mut self, now: MonotonicTime) {
        self.crashes
            .retain(|crash| now.since(crash.crashed_at) < CRASH_RETENTION);
    }

    /// Time of the last crash if the request is stopped.
    fn stopped_at(
        &self,
        now: MonotonicTime,
        explained: &HashSet<EngineRunId>,
    ) -> Option<MonotonicTime> {
        if self.countable_crashes(now, explained).count() < STOP_AFTER_CRASHES {
            return None;
        }
        self.countable_crashes(now, explained)
            .map(|crash| crash.crashed_at)
            .max()
    }
}

/// Result of applying a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The record was known, or is too old to count.
    Known,
    /// The record was new.
    New,
    /// The record was new but does not count, because the request has completed at this node
    /// recently. This has to be sent to the other nodes.
    Cleared,
}

/// The crash evidence known to one node.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<RequestFingerprint, Suspect>,
    completions: Completions,
    /// Engine runs whose ends have another cause than a single request.
    explained: HashSet<EngineRunId>,
}

impl CrashLedger {
    /// Applies a record from this node or another one.
    pub fn apply(&mut self, now: MonotonicTime, record: &CrashRecord) -> ApplyOutcome {
        let age = Duration::from_millis(u64::from(record.age_ms));
        if age >= CRASH_RETENTION {
            return ApplyOutcome::Known;
        }
        let has_completed = self.completions.contains(now, record.fingerprint);
        self.evict_for(now, record.fingerprint);
        let suspect = self.requests.entry(record.fingerprint).or_default();
        suspect.expire(now);
        let known = suspect
            .crashes
            .iter_mut()
            .find(|crash| crash.engine == record.engine);
        if let Some(crash) = known {
            let newly_cleared = record.is_cleared && !crash.is_cleared;
            crash.is_cleared |= record.is_cleared;
            return if newly_cleared {
                ApplyOutcome::New
            } else {
                ApplyOutcome::Known
            };
        }
        if suspect.crashes.len() >= MAX_CRASHES_PER_REQUEST {
            return ApplyOutcome::Known;
        }
        suspect.crashes.push(Crash {
            engine: record.engine,
            crashed_at: now.saturating_sub(age),
            is_cleared: record.is_cleared || has_completed,
        });
        if has_completed && !record.is_cleared {
            ApplyOutcome::Cleared
        } else {
            ApplyOutcome::New
        }
    }

    /// Records that a request has completed, and returns the records that this clears.
    pub fn record_completion(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
    ) -> Vec<CrashRecord> {
        self.completions.record(now, fingerprint);
        self.release(now, fingerprint)
    }

    /// Clears all crashes of a request, and returns the records that this clears.
    pub fn release(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
    ) -> Vec<CrashRecord> {
        let Some(suspect) = self.requests.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let uncleared = suspect.crashes.iter_mut().filter(|one| !one.is_cleared);
        uncleared
            .map(|crash| {
                crash.is_cleared = true;
                to_record(now, fingerprint, crash)
            })
            .collect()
    }

    /// Sets the engine runs whose ends do not count against any request, because a prompt part explains them.
    pub fn set_explained(&mut self, explained: HashSet<EngineRunId>) {
        self.explained = explained;
    }

    /// Whether a request is stopped.
    pub fn is_stopped(&self, now: MonotonicTime, fingerprint: RequestFingerprint) -> bool {
        let suspect = self.requests.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.stopped_at(now, &self.explained).is_some())
    }

    /// Time until a stopped request may be tried once, zero if it may be tried now; `None` if it is
    /// not stopped. A possible bystander is tried early, with a tenfold delay after each trial that
    /// crashed an engine.
    pub fn time_to_trial(
        &self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
    ) -> Option<Duration> {
        let suspect = self.requests.get(&fingerprint)?;
        let stopped_at = suspect.stopped_at(now, &self.explained)?;
        let delay = if self.may_be_bystander(now, fingerprint, suspect) {
            let trials =
                suspect.countable_crashes(now, &self.explained).count() - STOP_AFTER_CRASHES;
            let factor = 10_u32.saturating_pow(u32::try_from(trials).unwrap_or(u32::MAX));
            FIRST_TRIAL_DELAY.saturating_mul(factor).min(TRIAL_INTERVAL)
        } else {
            TRIAL_INTERVAL
        };
        Some(delay.saturating_sub(now.since(stopped_at)))
    }

    /// The stopped requests with their crashes, in order of their last crash, oldest first.
    pub fn stopped(&self, now: MonotonicTime) -> Vec<(RequestFingerprint, Vec<CrashRecord>)> {
        let requests = self.requests.iter();
        let stopped =
            requests.filter(|(_, suspect)| suspect.stopped_at(now, &self.explained).is_some());
        let mut stopped: Vec<_> = stopped
            .map(|(fingerprint, suspect)| {
                let crashes = suspect.countable_crashes(now, &self.explained);
                let records = crashes.map(|crash| to_record(now, *fingerprint, crash));
                (*fingerprint, records.collect::<Vec<_>>())
            })
            .collect();
        stopped.sort_by_key(|(fingerprint, records)| {
            let newest = records.iter().map(|record| record.age_ms).min();
            (std::cmp::Reverse(newest), *fingerprint)
        });
        stopped
    }

    /// Number of crashes that count against a request.
    pub fn crash_count(&self, now: MonotonicTime, fingerprint: RequestFingerprint) -> usize {
        let suspect = self.requests.get(&fingerprint);
        suspect.map_or(0, |suspect| {
            suspect.countable_crashes(now, &self.explained).count()
        })
    }

    /// Number of requests with crashes on record.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether there are no crashes on record.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether every crash of a request may be due to another request with at least two crashes.
    /// The request may then be a bystander that is sent often, or that was retried at the engine
    /// that the culprit crashed next.
    fn may_be_bystander(
        &self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
        suspect: &Suspect,
    ) -> bool {
        let is_explained = |crash: &Crash| {
            let mut others = self.requests.iter();
            others.any(|(other, other_suspect)| {
                let mut crashes = other_suspect.countable_crashes(now, &self.explained);
                *other != fingerprint
                    && crashes.any(|one| one.engine == crash.engine)
                    && other_suspect
                        .countable_crashes(now, &self.explained)
                        .count()
                        > 1
            })
        };
        suspect
            .countable_crashes(now, &self.explained)
            .all(is_explained)
    }

    /// Evicts one request if the ledger is full: the one with the fewest crashes, and the oldest
    /// among those. Many requests with a single crash therefore never evict a stopped one.
    fn evict_for(&mut self, now: MonotonicTime, incoming: RequestFingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(&incoming) {
            return;
        }
        let evicted = self.requests.iter().min_by_key(|(fingerprint, suspect)| {
            let newest = suspect
                .countable_crashes(now, &self.explained)
                .map(|crash| crash.crashed_at)
                .max();
            (
                suspect.countable_crashes(now, &self.explained).count(),
                newest,
                **fingerprint,
            )
        });
        if let Some(fingerprint) = evicted.map(|(fingerprint, _)| *fingerprint) {
            self.requests.remove(&fingerprint);
        }
    }
}

fn to_record(now: MonotonicTime, fingerprint: RequestFingerprint, crash: &Crash) -> CrashRecord {
    CrashRecord {
        fingerprint,
        engine: crash.engine,
        age_ms: u32::try_from(now.since(crash.crashed_at).as_millis()).unwrap_or(u32::MAX),
        is_cleared: crash.is_cleared,
    }
}
