//! A budget of repeated sends that all nodes share without a word for each request.
//!
//! In any window, the sends to a pool beyond the first of each request may be a ratio of the
//! requests for it, and a slack besides. Each node counts its own requests and takes its part of
//! the slack, by the highest count of nodes that it heard lately ([`NodeCount`]). The parts add up to the whole
//! at most, so that what all spend together stays within it, if each
//! takes every send that counts ([`crate::CallCounts`]) before it goes out.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::{MonotonicTime, PoolName};

use crate::node_count::NodeCount;

/// Share of what is allowed that is spent: a send counts when it arrives, which is some milliseconds after
/// it was taken, in a window of 10 s, and nodes hear of each other's coming and going within a second.
/// With nine nodes and engines that refuse half of all calls, 27 plays of ten seconds each kept the whole
/// budget.
const SPENT_SHARE: f64 = 0.95;

/// Bounds that all nodes keep together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryLimits {
    /// Repeated sends for each request.
    pub ratio: f64,
    /// Repeated sends allowed besides.
    pub slack: f64,
    /// Length of the window.
    pub window: Duration,
}

/// A repeated send that was taken from a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct RepeatedSend(MonotonicTime);

#[derive(Clone, Debug, Default)]
struct PoolCounts {
    requests: VecDeque<MonotonicTime>,
    repeats: VecDeque<MonotonicTime>,
}

/// This node's part of the budget.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: SharedRetryLimits,
    nodes: NodeCount,
    /// Whether this node hears no other, though there are others.
    is_isolated: bool,
    /// When this node started, where a former life of it may have spent from the same window.
    restarted_at: Option<MonotonicTime>,
    pools: HashMap<PoolName, PoolCounts>,
}

impl SharedRetryBudget {
    /// A budget that nothing was spent of.
    pub fn new(limits: SharedRetryLimits) -> Self {
        Self {
            limits,
            nodes: NodeCount::default(),
            is_isolated: false,
            restarted_at: None,
            pools: HashMap::new(),
        }
    }

    /// Notes that the node started at `now` and lived before: what its former life spent is not
    /// known, so for a window it has no part of the slack.
    pub fn note_restart(&mut self, now: MonotonicTime) {
        self.restarted_at = Some(now);
    }

    /// Sets the bounds.
    pub fn set_limits(&mut self, limits: SharedRetryLimits) {
        self.limits = limits;
    }

    /// Notes the number of nodes among which the slack is divided, as it was heard at `now`. Before the first
    /// there is no slack.
    pub fn set_nodes(&mut self, now: MonotonicTime, nodes: usize) {
        self.nodes.set(now, nodes);
    }

    /// Notes whether this node hears none of the others: they take it for gone after a time and divide its part
    /// of the slack among themselves.
    pub fn set_isolated(&mut self, is_isolated: bool) {
        self.is_isolated = is_isolated;
    }

    /// Notes a request for a pool.
    pub fn request(&mut self, now: MonotonicTime, pool: &PoolName) {
        let window = self.limits.window;
        let counts = self.pools.entry(pool.clone()).or_default();
        counts.expire(now, window);
        counts.requests.push_back(now);
    }

    /// Takes one repeated send; `None` if none is left.
    pub fn take(&mut self, now: MonotonicTime, pool: &PoolName) -> Option<RepeatedSend> {
        let allowed = self.left(now, pool) >= 1.0;
        let counts = self.pools.get_mut(pool).filter(|_| allowed)?;
        counts.repeats.push_back(now);
        Some(RepeatedSend(now))
    }

    /// Gives a send back that did not count.
    pub fn give_back(&mut self, pool: &PoolName, send: RepeatedSend) {
        if let Some(counts) = self.pools.get_mut(pool)
            && let Some(place) = counts.repeats.iter().rposition(|at| *at == send.0)
        {
            counts.repeats.remove(place);
        }
    }

    /// Repeated sends left now.
    pub fn left(&mut self, now: MonotonicTime, pool: &PoolName) -> f64 {
        let SharedRetryLimits {
            ratio,
            slack,
            window,
        } = self.limits;
        let counts = self.pools.entry(pool.clone()).or_default();
        counts.expire(now, window);
        let restarted = self.restarted_at;
        let may_have_spent = restarted.is_some_and(|at| now.since(at) < window);
        let nodes = self.nodes.get(now);
        let part = match nodes.filter(|_| !may_have_spent && !self.is_isolated) {
            Some(nodes) => slack / nodes as f64,
            None => 0.0,
        };
        let earned = ratio * counts.requests.len() as f64 + part;
        earned * SPENT_SHARE - counts.repeats.len() as f64
    }
}

impl PoolCounts {
    fn expire(&mut self, now: MonotonicTime, window: Duration) {
        for times in [&mut self.requests, &mut self.repeats] {
            while times.front().is_some_and(|at| now.since(*at) > window) {
                times.pop_front();
            }
        }
    }
}
