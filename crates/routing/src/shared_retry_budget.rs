//! A budget of repeated sends that all nodes share without a message for each request.
//!
//! Within any time window, the sends to a pool beyond the first of each request may not exceed a ratio of its requests
//! plus a fixed slack. Each node counts its own requests and uses an equal part of the slack, divided by the node count
//! ([`NodeCount`]). The parts add up to at most the whole, so all nodes together stay within the budget, provided that
//! each takes every counted send ([`crate::CallCounts`]) from its budget before sending.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::{MonotonicTime, PoolName};

use crate::node_count::NodeCount;

/// Fraction of the budget that is used. The rest is a margin for sends that arrive in a later window than the one in
/// which they were taken, and for nodes that learn of each other with a delay.
const USABLE_FRACTION: f64 = 0.95;

/// Limits that apply to all nodes together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedRetryLimits {
    /// Repeated sends allowed per request.
    pub ratio: f64,
    /// Repeated sends allowed in addition.
    pub slack: f64,
    /// Length of the sliding time window.
    pub window: Duration,
}

/// A repeated send taken from a budget.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct RepeatedSend(MonotonicTime);

#[derive(Clone, Debug, Default)]
struct PoolCounts {
    requests: VecDeque<MonotonicTime>,
    repeats: VecDeque<MonotonicTime>,
}

/// This node's part of the shared budget.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: SharedRetryLimits,
    nodes: NodeCount,
    /// Whether this node has no contact to any other, although there are others.
    is_isolated: bool,
    /// When this node restarted; its former process may have used the budget of the same window.
    restarted_at: Option<MonotonicTime>,
    pools: HashMap<PoolName, PoolCounts>,
}

impl SharedRetryBudget {
    /// An unused budget.
    pub fn new(limits: SharedRetryLimits) -> Self {
        Self {
            limits,
            nodes: NodeCount::default(),
            is_isolated: false,
            restarted_at: None,
            pools: HashMap::new(),
        }
    }

    /// Records that the node restarted at `now`. What the former process used is unknown, so this node gets no slack
    /// for the length of a window.
    pub fn record_restart(&mut self, now: MonotonicTime) {
        self.restarted_at = Some(now);
    }

    pub fn set_limits(&mut self, limits: SharedRetryLimits) {
        self.limits = limits;
    }

    /// Sets the number of nodes among which the slack is divided, as known at `now`. Until then there is no slack.
    pub fn set_nodes(&mut self, now: MonotonicTime, nodes: usize) {
        self.nodes.set(now, nodes);
    }

    /// Sets whether this node has no contact to any other. It then uses no slack, because the others will divide its
    /// part among themselves.
    pub fn set_isolated(&mut self, is_isolated: bool) {
        self.is_isolated = is_isolated;
    }

    /// Records a request for a pool.
    pub fn record_request(&mut self, now: MonotonicTime, pool: &PoolName) {
        let window = self.limits.window;
        let counts = self.pools.entry(pool.clone()).or_default();
        counts.expire(now, window);
        counts.requests.push_back(now);
    }

    /// Takes one repeated send; `None` if none is available.
    pub fn take(&mut self, now: MonotonicTime, pool: &PoolName) -> Option<RepeatedSend> {
        let allowed = self.available(now, pool) >= 1.0;
        let counts = self.pools.get_mut(pool).filter(|_| allowed)?;
        counts.repeats.push_back(now);
        Some(RepeatedSend(now))
    }

    /// Gives back a send that did not count.
    pub fn give_back(&mut self, pool: &PoolName, send: RepeatedSend) {
        if let Some(counts) = self.pools.get_mut(pool)
            && let Some(index) = counts.repeats.iter().rposition(|at| *at == send.0)
        {
            counts.repeats.remove(index);
        }
    }

    /// Repeated sends available now; may be fractional or negative.
    pub fn available(&mut self, now: MonotonicTime, pool: &PoolName) -> f64 {
        let SharedRetryLimits {
            ratio,
            slack,
            window,
        } = self.limits;
        let counts = self.pools.entry(pool.clone()).or_default();
        counts.expire(now, window);
        let restarted = self.restarted_at;
        let usage_unknown = restarted.is_some_and(|at| now.since(at) < window);
        let nodes = self.nodes.get(now);
        let slack_part = match nodes.filter(|_| !usage_unknown && !self.is_isolated) {
            Some(nodes) => slack / nodes as f64,
            None => 0.0,
        };
        let allowed = ratio * counts.requests.len() as f64 + slack_part;
        allowed * USABLE_FRACTION - counts.repeats.len() as f64
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
