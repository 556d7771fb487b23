//! Calls that were given up at engines that answered nothing at the time, and that may arrive later.
//!
//! An engine that is suspended reads what was sent to it once it goes on, also what its sender has given up meanwhile. A
//! retry made elsewhere has then become the first arrival of its request, and the late one is the repeated send.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{MonotonicTime, PoolName};

use crate::staged::EngineKey;

/// Time after which a call at a silent engine is taken as lost.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(60);

/// A call that was given up.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnreadCall {
    pool: PoolName,
    sent_at: MonotonicTime,
    given_up_at: MonotonicTime,
}

/// The given-up calls of this node. Their number is bounded by the repeated sends that the retry budget allows within
/// [`MAX_UNREAD_TIME`], as each was replaced by one.
#[derive(Clone, Debug, Default)]
pub struct UnreadCalls {
    /// Calls by engine; none is empty.
    unread: HashMap<EngineKey, Vec<UnreadCall>>,
    /// When engines last answered anything.
    answered_at: HashMap<EngineKey, MonotonicTime>,
    /// Number of unread calls by pool; asked for with each request.
    counts: HashMap<PoolName, usize>,
}

impl UnreadCalls {
    /// Records at `now` that a call sent at `sent_at` was given up without an answer and is made again elsewhere. An
    /// engine that has answered others since is taken to have read it at once.
    pub fn record_given_up(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        pool: &PoolName,
        sent_at: MonotonicTime,
    ) {
        let answered_at = self.answered_at.get(&engine);
        if answered_at.is_some_and(|at| *at >= sent_at) {
            return;
        }
        self.unread.entry(engine).or_default().push(UnreadCall {
            pool: pool.clone(),
            sent_at,
            given_up_at: now,
        });
        *self.counts.entry(pool.clone()).or_default() += 1;
    }

    /// Records that an engine answered at `now`. Returns the pools of the given-up calls that it has read by then, one for
    /// each call.
    pub fn record_answer(&mut self, now: MonotonicTime, engine: EngineKey) -> Vec<PoolName> {
        self.expire(now);
        self.answered_at.insert(engine, now);
        let read = self.remove(engine);
        read.into_iter().map(|call| call.pool).collect()
    }

    /// Forgets an engine whose process has ended: it reads nothing more. An engine whose entry has gone may still run.
    pub fn forget(&mut self, engine: EngineKey) {
        self.answered_at.remove(&engine);
        self.remove(engine);
    }

    /// Drops calls that are taken as lost, and answers of engines that are not `known`.
    pub fn sweep(&mut self, now: MonotonicTime, known: impl Fn(EngineKey) -> bool) {
        self.expire(now);
        self.answered_at.retain(|engine, _| known(*engine));
    }

    /// Number of given-up calls of a pool that may arrive later.
    pub fn count(&self, pool: &PoolName) -> usize {
        self.counts.get(pool).copied().unwrap_or_default()
    }

    /// Those of them that were given up before `at`.
    pub fn count_before(&self, at: MonotonicTime, pool: &PoolName) -> usize {
        let calls = self.unread.values().flatten();
        calls
            .filter(|call| call.pool == *pool && call.given_up_at < at)
            .count()
    }

    /// Removes the unread calls of an engine.
    fn remove(&mut self, engine: EngineKey) -> Vec<UnreadCall> {
        let calls = self.unread.remove(&engine).unwrap_or_default();
        self.uncount(&calls);
        calls
    }

    fn expire(&mut self, now: MonotonicTime) {
        let mut lost = Vec::new();
        let is_lost = |call: &mut UnreadCall| now.since(call.sent_at) > MAX_UNREAD_TIME;
        self.unread.retain(|_, calls| {
            lost.extend(calls.extract_if(.., is_lost));
            !calls.is_empty()
        });
        self.uncount(&lost);
    }

    fn uncount(&mut self, calls: &[UnreadCall]) {
        for call in calls {
            if let Some(count) = self.counts.get_mut(&call.pool) {
                *count -= 1;
            }
        }
    }
}
