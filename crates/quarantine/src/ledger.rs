//! Which requests ended which engines, and which of them are stopped.
//!
//! The evidence is a set of pairs of a request and an engine's run. A pair counts once, however many
//! nodes saw the crash and however often a message brings it, and sets merge in any order. A pair may
//! be *cleared*, for good, once the request has completed: what is whole somewhere does not end each
//! engine that runs it. What is stopped follows from the set alone, so nodes that know the same agree.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;
use serde::{Deserialize, Serialize};

use crate::completions::Completions;
use crate::fingerprint::RequestFingerprint;
use crate::unfinished::EngineRunId;

/// Engines that a request may end before it is stopped. One crash says nothing of the requests that
/// were at the engine, and two are met by chance where engines crash in series.
pub const STOP_AFTER_CRASHES: usize = 3;

/// A stopped request is tried once in this time, at one node of the fleet: the longest time for which
/// the key-value service keeps what a node wrote, so that a trial's crash is kept until the next one.
pub const TRIAL_INTERVAL: Duration = Duration::from_secs(600);

/// A stopped request that may be a bystander is tried for the first time after this time: engines that
/// ended have restarted by then, and nodes need three seconds to count as connected again.
const FIRST_TRIAL: Duration = Duration::from_secs(2);

/// For how long a crash is remembered, and a request stopped at most: six trials.
const REMEMBERED_FOR: Duration = Duration::from_secs(3_600);

/// Requests that are remembered: with 250 bytes each, half a megabyte.
const MAX_REQUESTS: usize = 2_048;

/// Crashes that are remembered of one request.
const MAX_CRASHES: usize = 16;

/// That an engine's run ended while a request was unfinished there, as nodes tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The engine's run.
    pub engine: EngineRunId,
    /// How long ago the run ended, in milliseconds.
    pub age_ms: u32,
    /// Whether the request has completed elsewhere, so that this crash does not count.
    pub is_cleared: bool,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    engine: EngineRunId,
    at: MonotonicTime,
    is_cleared: bool,
}

/// What is remembered of one request.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// By engine.
    crashes: Vec<Crash>,
}

impl Suspect {
    fn counted(&self, now: MonotonicTime) -> impl Iterator<Item = &Crash> {
        let crashes = self.crashes.iter();
        crashes.filter(move |crash| !crash.is_cleared && now.since(crash.at) < REMEMBERED_FOR)
    }

    fn expire(&mut self, now: MonotonicTime) {
        self.crashes
            .retain(|crash| now.since(crash.at) < REMEMBERED_FOR);
    }

    /// When its last crash was, if its crashes stop it.
    fn stopped_at(&self, now: MonotonicTime) -> Option<MonotonicTime> {
        if self.counted(now).count() < STOP_AFTER_CRASHES {
            return None;
        }
        self.counted(now).map(|crash| crash.at).max()
    }
}

/// What came of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// It was known, or is too old to matter.
    Known,
    /// It is news.
    New,
    /// It is news, and does not count: the request has completed at this node lately. Other nodes are
    /// to hear of that.
    Cleared,
}

/// The evidence.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    requests: HashMap<RequestFingerprint, Suspect>,
    completions: Completions,
}

impl CrashLedger {
    /// Takes a record in, of this node or of another one.
    pub fn apply(&mut self, now: MonotonicTime, record: &CrashRecord) -> ApplyOutcome {
        let age = Duration::from_millis(u64::from(record.age_ms));
        if age >= REMEMBERED_FOR {
            return ApplyOutcome::Known;
        }
        let has_completed = self.completions.has(now, record.fingerprint);
        self.make_room(now, record.fingerprint);
        let suspect = self.requests.entry(record.fingerprint).or_default();
        suspect.expire(now);
        let known = suspect
            .crashes
            .iter_mut()
            .find(|crash| crash.engine == record.engine);
        if let Some(crash) = known {
            let is_news = record.is_cleared && !crash.is_cleared;
            crash.is_cleared |= record.is_cleared;
            return if is_news {
                ApplyOutcome::New
            } else {
                ApplyOutcome::Known
            };
        }
        if suspect.crashes.len() >= MAX_CRASHES {
            return ApplyOutcome::Known;
        }
        suspect.crashes.push(Crash {
            engine: record.engine,
            at: now.saturating_sub(age),
            is_cleared: record.is_cleared || has_completed,
        });
        if has_completed && !record.is_cleared {
            ApplyOutcome::Cleared
        } else {
            ApplyOutcome::New
        }
    }

    /// Notes that a request has completed; yields the records that this clears.
    pub fn record_completion(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
    ) -> Vec<CrashRecord> {
        self.completions.note(now, fingerprint);
        self.release(now, fingerprint)
    }

    /// Clears what counts against a request; yields the records that this clears.
    pub fn release(
        &mut self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
    ) -> Vec<CrashRecord> {
        let Some(suspect) = self.requests.get_mut(&fingerprint) else {
            return Vec::new();
        };
        let counting = suspect.crashes.iter_mut().filter(|one| !one.is_cleared);
        counting
            .map(|crash| {
                crash.is_cleared = true;
                record(now, fingerprint, crash)
            })
            .collect()
    }

    /// Whether a request is stopped.
    pub fn is_stopped(&self, now: MonotonicTime, fingerprint: RequestFingerprint) -> bool {
        let suspect = self.requests.get(&fingerprint);
        suspect.is_some_and(|suspect| suspect.stopped_at(now).is_some())
    }

    /// Time until a stopped request may be tried once, zero if it may now; `None` if it is not stopped.
    /// One that may be a bystander is tried soon, and ten times later after each trial that crashed.
    pub fn time_to_trial(
        &self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
    ) -> Option<Duration> {
        let suspect = self.requests.get(&fingerprint)?;
        let stopped_at = suspect.stopped_at(now)?;
        let pause = if self.is_doubtful(now, fingerprint, suspect) {
            let trials = suspect.counted(now).count() - STOP_AFTER_CRASHES;
            let factor = 10_u32.saturating_pow(u32::try_from(trials).unwrap_or(u32::MAX));
            FIRST_TRIAL.saturating_mul(factor).min(TRIAL_INTERVAL)
        } else {
            TRIAL_INTERVAL
        };
        Some(pause.saturating_sub(now.since(stopped_at)))
    }

    /// The requests that are stopped, with the engines that they ended, oldest first.
    pub fn stopped(&self, now: MonotonicTime) -> Vec<(RequestFingerprint, Vec<CrashRecord>)> {
        let requests = self.requests.iter();
        let stopped = requests.filter(|(_, suspect)| suspect.stopped_at(now).is_some());
        let mut stopped: Vec<_> = stopped
            .map(|(fingerprint, suspect)| {
                let crashes = suspect.counted(now);
                let records = crashes.map(|crash| record(now, *fingerprint, crash));
                (*fingerprint, records.collect::<Vec<_>>())
            })
            .collect();
        stopped.sort_by_key(|(fingerprint, records)| {
            let newest = records.iter().map(|record| record.age_ms).min();
            (std::cmp::Reverse(newest), *fingerprint)
        });
        stopped
    }

    /// Crashes that count against a request.
    pub fn crash_count(&self, now: MonotonicTime, fingerprint: RequestFingerprint) -> usize {
        let suspect = self.requests.get(&fingerprint);
        suspect.map_or(0, |suspect| suspect.counted(now).count())
    }

    /// Requests that are remembered.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Whether each crash of a request has another explanation: a request that was near two crashes or
    /// more was there, too. Then it may be a bystander that comes often, or was resumed where the guilty
    /// one was.
    fn is_doubtful(
        &self,
        now: MonotonicTime,
        fingerprint: RequestFingerprint,
        suspect: &Suspect,
    ) -> bool {
        let is_explained = |crash: &Crash| {
            let mut others = self.requests.iter();
            others.any(|(other, by)| {
                let mut near = by.counted(now);
                *other != fingerprint
                    && near.any(|one| one.engine == crash.engine)
                    && by.counted(now).count() > 1
            })
        };
        suspect.counted(now).all(is_explained)
    }

    /// Makes room for one more request: the one with the fewest crashes goes, the oldest of these, so
    /// that many requests which were near one crash don't push out one that is stopped.
    fn make_room(&mut self, now: MonotonicTime, for_request: RequestFingerprint) {
        if self.requests.len() < MAX_REQUESTS || self.requests.contains_key(&for_request) {
            return;
        }
        let least = self.requests.iter().min_by_key(|(fingerprint, suspect)| {
            let newest = suspect.counted(now).map(|crash| crash.at).max();
            (suspect.counted(now).count(), newest, **fingerprint)
        });
        if let Some(fingerprint) = least.map(|(fingerprint, _)| *fingerprint) {
            self.requests.remove(&fingerprint);
        }
    }
}

fn record(now: MonotonicTime, fingerprint: RequestFingerprint, crash: &Crash) -> CrashRecord {
    CrashRecord {
        fingerprint,
        engine: crash.engine,
        age_ms: u32::try_from(now.since(crash.at).as_millis()).unwrap_or(u32::MAX),
        is_cleared: crash.is_cleared,
    }
}
