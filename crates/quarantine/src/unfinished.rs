//! Runs that ended without a whole answer, until it is known whether their engines ended.
//!
//! A broken call is no crash: connections are reset, answers break off, engines are cut off. Only
//! together with the end of its engine does an unfinished run become evidence, whichever of the two
//! is learnt first.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;
use serde::{Deserialize, Serialize};

use crate::fingerprint::RequestFingerprint;

/// Unfinished runs that are kept: those of 256 engines of 16 slots that end at once.
const MAX_RUNS: usize = 4_096;

/// Ended engines that are kept.
const MAX_ENGINES: usize = 1_024;

/// A number for an engine's run that all nodes agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineRunId(pub u64);

#[derive(Clone, Copy, Debug)]
struct UnfinishedRun {
    engine: EngineRunId,
    fingerprint: RequestFingerprint,
    ended_at: MonotonicTime,
}

/// Unfinished runs and ended engines of a short time.
#[derive(Clone, Debug)]
pub struct UnfinishedRuns {
    kept: Duration,
    runs: VecDeque<UnfinishedRun>,
    ended: VecDeque<(EngineRunId, MonotonicTime)>,
}

impl UnfinishedRuns {
    /// Nothing yet. A run and the end of its engine belong together if they are learnt within `kept`
    /// of each other.
    pub fn new(kept: Duration) -> Self {
        Self {
            kept,
            runs: VecDeque::new(),
            ended: VecDeque::new(),
        }
    }

    /// Notes a run that ended without a whole answer. Whether its engine is known to have ended.
    pub fn record_unfinished(
        &mut self,
        now: MonotonicTime,
        engine: EngineRunId,
        fingerprint: RequestFingerprint,
    ) -> bool {
        self.expire(now);
        if self.has_ended(engine) {
            return true;
        }
        if self.runs.len() >= MAX_RUNS {
            self.runs.pop_front();
        }
        self.runs.push_back(UnfinishedRun {
            engine,
            fingerprint,
            ended_at: now,
        });
        false
    }

    /// Notes that an engine has ended; yields the requests under which it did, each once. None if its
    /// end is known already.
    pub fn record_engine_end(
        &mut self,
        now: MonotonicTime,
        engine: EngineRunId,
    ) -> Vec<RequestFingerprint> {
        self.expire(now);
        if self.has_ended(engine) {
            return Vec::new();
        }
        if self.ended.len() >= MAX_ENGINES {
            self.ended.pop_front();
        }
        self.ended.push_back((engine, now));
        let at_engine = self.runs.iter().filter(|run| run.engine == engine);
        let mut requests: Vec<_> = at_engine.map(|run| run.fingerprint).collect();
        requests.sort_unstable();
        requests.dedup();
        self.runs.retain(|run| run.engine != engine);
        requests
    }

    /// Whether an engine is known to have ended.
    pub fn has_ended(&self, engine: EngineRunId) -> bool {
        self.ended.iter().any(|(ended, _)| *ended == engine)
    }

    fn expire(&mut self, now: MonotonicTime) {
        let kept = self.kept;
        let is_old = |at: MonotonicTime| now.since(at) > kept;
        while self.runs.front().is_some_and(|run| is_old(run.ended_at)) {
            self.runs.pop_front();
        }
        while self.ended.front().is_some_and(|(_, at)| is_old(*at)) {
            self.ended.pop_front();
        }
    }
}
