//! Matches runs without a complete answer with the ends of their engines.
//!
//! A broken call alone is not evidence of a crash: connections are reset and networks fail. An
//! unfinished run becomes evidence only if its engine ended too, in whichever order a node learns
//! of the two.

use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use dalestand_types::MonotonicTime;
use serde::{Deserialize, Serialize};

use crate::fingerprint::{PartFingerprint, RequestFingerprint};

/// Maximum number of unfinished runs kept: 256 engines with 16 slots each.
const MAX_RUNS: usize = 4_096;

/// Maximum number of ended engines kept.
const MAX_ENDED_ENGINES: usize = 1_024;

/// Identifier of an engine run, that is, of one start of an engine process; the same at all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct EngineRunId(pub u64);

/// A request whose run did not finish.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnfinishedRequest {
    /// The request.
    pub fingerprint: RequestFingerprint,
    /// The prompt parts that it shares with others.
    pub shared_parts: Rc<[PartFingerprint]>,
    /// Whether it ran as the trial of a held part.
    pub is_part_trial: bool,
}

#[derive(Clone, Debug)]
struct UnfinishedRun<R> {
    engine: EngineRunId,
    request: R,
    ended_at: MonotonicTime,
}

/// Recently seen unfinished runs of requests `R`, and ended engines.
#[derive(Clone, Debug)]
pub struct UnfinishedRuns<R> {
    window: Duration,
    runs: VecDeque<UnfinishedRun<R>>,
    ended_engines: VecDeque<(EngineRunId, MonotonicTime)>,
}

impl<R: Clone + Ord> UnfinishedRuns<R> {
    /// Creates an empty collection. A run and the end of its engine are matched if they are learned
    /// within `window` of each other.
    pub fn new(window: Duration) -> Self {
        Self {
            window,
            runs: VecDeque::new(),
            ended_engines: VecDeque::new(),
        }
    }

    /// Records a run that ended without a complete answer. Returns whether its engine is known to
    /// have ended.
    pub fn record_unfinished(
        &mut self,
        now: MonotonicTime,
        engine: EngineRunId,
        request: R,
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
            request,
            ended_at: now,
        });
        false
    }

    /// Withdraws a recorded run that has gone on.
    pub fn withdraw(&mut self, engine: EngineRunId, request: &R) {
        let is_it = |run: &UnfinishedRun<R>| run.engine == engine && run.request == *request;
        if let Some(index) = self.runs.iter().rposition(is_it) {
            self.runs.remove(index);
        }
    }

    /// Records that an engine has ended. Returns the requests that were unfinished there, without
    /// duplicates; empty if the end was known already.
    pub fn record_engine_end(&mut self, now: MonotonicTime, engine: EngineRunId) -> Vec<R> {
        self.expire(now);
        if self.has_ended(engine) {
            return Vec::new();
        }
        if self.ended_engines.len() >= MAX_ENDED_ENGINES {
            self.ended_engines.pop_front();
        }
        self.ended_engines.push_back((engine, now));
        let at_engine = self.runs.iter().filter(|run| run.engine == engine);
        let mut requests: Vec<_> = at_engine.map(|run| run.request.clone()).collect();
        requests.sort_unstable();
        requests.dedup();
        self.runs.retain(|run| run.engine != engine);
        requests
    }

    /// Whether an engine is known to have ended.
    pub fn has_ended(&self, engine: EngineRunId) -> bool {
        self.ended_engines.iter().any(|(ended, _)| *ended == engine)
    }

    fn expire(&mut self, now: MonotonicTime) {
        let window = self.window;
        let is_old = |at: MonotonicTime| now.since(at) > window;
        while self.runs.front().is_some_and(|run| is_old(run.ended_at)) {
            self.runs.pop_front();
        }
        while self
            .ended_engines
            .front()
            .is_some_and(|(_, at)| is_old(*at))
        {
            self.ended_engines.pop_front();
        }
    }
}
