//! The crashes at which one part was present.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::parts::record::{PartCrash, SuspectPart};
use crate::unfinished::EngineRunId;

/// How long a crash counts: a day, in which a part that is held is tried four times.
pub(super) const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Maximum number of crashes kept for a part, the newest: more than a fleet loses until a part is held.
const MAX_CRASHES_PER_PART: usize = 128;

/// Maximum number of requests counted at one crash: the slots of a small engine.
const MAX_REQUESTS_PER_CRASH: usize = 16;

/// A crash at which a part was present.
#[derive(Clone, Debug)]
pub(super) struct Crash {
    pub(super) at: MonotonicTime,
    /// The requests with the part that were unfinished there, as records name them.
    pub(super) requests: BTreeSet<u32>,
    pub(super) is_trial: bool,
}

impl Crash {
    /// Adds a request; returns whether that changes anything. Which are kept does not depend on their order.
    fn add_request(&mut self, request: u32) -> bool {
        let is_new = self.requests.insert(request);
        if self.requests.len() > MAX_REQUESTS_PER_CRASH {
            return self.requests.pop_last() != Some(request);
        }
        is_new
    }
}

/// What is known of one part.
#[derive(Clone, Debug, Default)]
pub(super) struct PartEvidence {
    crashes: BTreeMap<EngineRunId, Crash>,
    /// The most recent requests that any node observed when an engine ended.
    pub(super) arrivals: u16,
    /// Begin of the latest run that completed. Crashes before it do not count.
    completed_begin: Option<MonotonicTime>,
}

impl PartEvidence {
    /// Adds a crash; returns whether that changes anything.
    pub(super) fn add_crash(
        &mut self,
        now: MonotonicTime,
        crash: &PartCrash,
        suspect: &SuspectPart,
    ) -> bool {
        self.arrivals = self.arrivals.max(suspect.arrivals);
        let completed = suspect.completed_ms.map(|age_ms| time_before(now, age_ms));
        let was_cleared = completed.is_some_and(|begin| self.add_completion(begin));
        let at = time_before(now, crash.age_ms);
        if !self.counts(now, at) {
            return was_cleared;
        }
        let is_new = !self.crashes.contains_key(&crash.engine);
        let known = self.crashes.entry(crash.engine).or_insert_with(|| Crash {
            at,
            requests: BTreeSet::new(),
            is_trial: false,
        });
        known.at = known.at.min(at);
        let is_first_trial = crash.is_trial && !known.is_trial;
        known.is_trial |= crash.is_trial;
        let is_other_request = known.add_request(crash.request);
        if self.crashes.len() > MAX_CRASHES_PER_PART {
            self.remove_oldest();
        }
        is_new || is_other_request || is_first_trial || was_cleared
    }

    /// Records that a run completed; returns whether it is the first one known, or a crash no longer counts.
    pub(super) fn add_completion(&mut self, begin: MonotonicTime) -> bool {
        let is_first = self.completed_begin.is_none();
        self.completed_begin = self.completed_begin.max(Some(begin));
        let before = self.crashes.len();
        self.crashes.retain(|_, crash| crash.at >= begin);
        is_first || self.crashes.len() < before
    }

    /// Removes crashes that are too old to count; returns whether there were any.
    pub(super) fn expire(&mut self, now: MonotonicTime) -> bool {
        let before = self.crashes.len();
        self.crashes
            .retain(|_, crash| now.since(crash.at) < RETENTION);
        self.crashes.len() < before
    }

    /// The crashes that count.
    pub(super) fn crashes(&self) -> impl ExactSizeIterator<Item = (EngineRunId, &Crash)> {
        self.crashes.iter().map(|(engine, crash)| (*engine, crash))
    }

    /// Time of the newest crash that counts.
    pub(super) fn last_crash_at(&self) -> Option<MonotonicTime> {
        self.crashes.values().map(|crash| crash.at).max()
    }

    /// Begin of the latest run that completed.
    pub(super) fn completed_begin(&self) -> Option<MonotonicTime> {
        self.completed_begin
    }

    fn counts(&self, now: MonotonicTime, at: MonotonicTime) -> bool {
        now.since(at) < RETENTION && self.completed_begin.is_none_or(|begin| at >= begin)
    }

    fn remove_oldest(&mut self) {
        let oldest = self.crashes.iter().min_by_key(|(_, crash)| crash.at);
        if let Some(engine) = oldest.map(|(engine, _)| *engine) {
            self.crashes.remove(&engine);
        }
    }
}

/// The time `age_ms` milliseconds before `now`.
pub(super) fn time_before(now: MonotonicTime, age_ms: u32) -> MonotonicTime {
    now.saturating_sub(Duration::from_millis(u64::from(age_ms)))
}
