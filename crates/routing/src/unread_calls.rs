//! Calls that were given up at engines that answered nothing at the time, and that may arrive later.
//!
//! An engine that is suspended reads what was sent to it once it goes on, also what its sender has given up meanwhile. A
//! retry made elsewhere has then become the first arrival of its request, and the late one is the repeated send. It has
//! to be paid for in the window in which it arrives.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{MonotonicTime, PoolName};

use crate::staged::EngineKey;

/// Time after which a call at a silent engine is taken as lost: its entry lapses long before.
const MAX_UNREAD_TIME: Duration = Duration::from_secs(60);

/// Calls that are remembered for one engine.
const MAX_CALLS_PER_ENGINE: usize = 64;

/// A call that was given up.
#[derive(Clone, Debug, PartialEq, Eq)]
struct UnreadCall {
    pool: PoolName,
    sent_at: MonotonicTime,
}

/// What is known of one engine.
#[derive(Clone, Debug, Default)]
struct EngineState {
    /// When it last answered anything.
    answered_at: Option<MonotonicTime>,
    unread: Vec<UnreadCall>,
}

/// The given-up calls of this node, by engine.
#[derive(Clone, Debug, Default)]
pub struct UnreadCalls {
    engines: HashMap<EngineKey, EngineState>,
    /// Number of unread calls by pool; asked for with each request.
    counts: HashMap<PoolName, usize>,
}

impl UnreadCalls {
    /// Records that a call sent at `sent_at` was given up without an answer. An engine that has answered others since is
    /// taken to have read it at once.
    pub fn record_given_up(&mut self, engine: EngineKey, pool: &PoolName, sent_at: MonotonicTime) {
        let state = self.engines.entry(engine).or_default();
        let reads = state.answered_at.is_some_and(|at| at >= sent_at);
        if !reads && state.unread.len() < MAX_CALLS_PER_ENGINE {
            state.unread.push(UnreadCall {
                pool: pool.clone(),
                sent_at,
            });
            *self.counts.entry(pool.clone()).or_default() += 1;
        }
    }

    /// Records that an engine answered at `now`. Returns the pools of the given-up calls that it has read by then, one for
    /// each call.
    pub fn record_answer(&mut self, now: MonotonicTime, engine: EngineKey) -> Vec<PoolName> {
        let state = self.engines.entry(engine).or_default();
        state.answered_at = Some(now);
        let read = std::mem::take(&mut state.unread);
        self.uncount(&read);
        let recent = read
            .into_iter()
            .filter(|call| now.since(call.sent_at) <= MAX_UNREAD_TIME);
        recent.map(|call| call.pool).collect()
    }

    /// Forgets engines for which `keep` returns false: a process that has ended reads nothing.
    pub fn retain(&mut self, keep: impl Fn(EngineKey) -> bool) {
        let mut forgotten = Vec::new();
        self.engines.retain(|engine, state| {
            let is_kept = keep(*engine);
            if !is_kept {
                forgotten.append(&mut state.unread);
            }
            is_kept
        });
        self.uncount(&forgotten);
    }

    /// Number of given-up calls of a pool that may arrive later.
    pub fn count(&self, pool: &PoolName) -> usize {
        self.counts.get(pool).copied().unwrap_or_default()
    }

    fn uncount(&mut self, calls: &[UnreadCall]) {
        for call in calls {
            if let Some(count) = self.counts.get_mut(&call.pool) {
                *count -= 1;
            }
        }
    }
}
