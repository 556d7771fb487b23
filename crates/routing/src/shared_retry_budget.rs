//! A budget of repeated sends that all nodes share without a message for each request.
//!
//! Within any time window, the sends to a pool beyond the first of each request may not exceed a ratio of its requests
//! plus a fixed slack. Each node counts its own requests and uses an equal part of the slack, divided by the node count
//! ([`NodeCount`]). The parts add up to at most the whole, so all nodes together stay within the budget, provided that
//! each takes every counted send ([`crate::CallCounts`]) from its budget before sending.
//!
//! Tenants of a pool share its budget. A tenant's own part is what its requests add to the budget, and an equal part of
//! the slack. Beyond its own part it leaves a reserve to the others, whose requests could otherwise not be retried while
//! it overloads the pool.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::{MonotonicTime, PoolName};

use crate::figures::TenantCode;
use crate::node_count::NodeCount;

/// Fraction of the budget that is used. The rest is a margin for sends that arrive in a later window than the one in
/// which they were taken, and for nodes that learn of each other with a delay.
const USABLE_FRACTION: f64 = 0.95;

/// Fraction of the budget that tenants beyond their own part leave to the others.
const RESERVED_FRACTION: f64 = 0.5;

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
pub struct RepeatedSend {
    at: MonotonicTime,
    tenant: Option<TenantCode>,
}

/// What a node's part of the budget is made up of at one moment. Either part may be fractional or negative.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBalance {
    /// Repeated sends left of those that the pool's requests at this node allow.
    pub earned: f64,
    /// Repeated sends left of this node's part of the slack.
    pub slack: f64,
    /// Nodes among which the slack is divided; `None` if this node uses none of it.
    pub nodes: Option<usize>,
}

impl RetryBalance {
    /// Repeated sends left.
    pub fn total(&self) -> f64 {
        self.earned + self.slack
    }
}

/// Events of one kind within the window, with their tenants.
#[derive(Clone, Debug, Default)]
struct WindowCounts {
    events: VecDeque<(MonotonicTime, Option<TenantCode>)>,
    by_tenant: HashMap<TenantCode, usize>,
}

impl WindowCounts {
    fn push(&mut self, now: MonotonicTime, tenant: Option<TenantCode>) {
        self.events.push_back((now, tenant));
        if let Some(tenant) = tenant {
            *self.by_tenant.entry(tenant).or_default() += 1;
        }
    }

    fn expire(&mut self, now: MonotonicTime, window: Duration) {
        while let Some((at, tenant)) = self.events.front().copied()
            && now.since(at) > window
        {
            self.events.pop_front();
            self.uncount(tenant);
        }
    }

    fn remove(&mut self, send: RepeatedSend) {
        let event = (send.at, send.tenant);
        if let Some(index) = self.events.iter().rposition(|one| *one == event) {
            self.events.remove(index);
            self.uncount(send.tenant);
        }
    }

    fn uncount(&mut self, tenant: Option<TenantCode>) {
        let Some(tenant) = tenant else { return };
        if let Some(count) = self.by_tenant.get_mut(&tenant) {
            *count -= 1;
            if *count == 0 {
                self.by_tenant.remove(&tenant);
            }
        }
    }

    fn total(&self) -> f64 {
        self.events.len() as f64
    }

    fn of(&self, tenant: TenantCode) -> f64 {
        self.by_tenant.get(&tenant).copied().unwrap_or_default() as f64
    }
}

#[derive(Clone, Debug, Default)]
struct PoolCounts {
    requests: WindowCounts,
    repeats: WindowCounts,
}

/// Limits of a pool's repeated sends at this node within the window.
#[derive(Clone, Copy, Debug)]
struct PoolLimit {
    /// Repeated sends allowed per request.
    ratio: f64,
    /// This node's part of the slack.
    slack: f64,
    /// Nodes among which the slack is divided; `None` if this node uses none of it.
    nodes: Option<usize>,
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

    /// Records a request for a pool, with its tenant if tenants are declared.
    pub fn record_request(
        &mut self,
        now: MonotonicTime,
        pool: &PoolName,
        tenant: Option<TenantCode>,
    ) {
        let window = self.limits.window;
        let counts = self.pools.entry(pool.clone()).or_default();
        counts.expire(now, window);
        counts.requests.push(now, tenant);
    }

    /// Takes one repeated send of a tenant's request; `None` if none is available to it.
    pub fn take(
        &mut self,
        now: MonotonicTime,
        pool: &PoolName,
        tenant: Option<TenantCode>,
    ) -> Option<RepeatedSend> {
        let allowed = self.available_to(now, pool, tenant) >= 1.0;
        let counts = self.pools.get_mut(pool).filter(|_| allowed)?;
        counts.repeats.push(now, tenant);
        Some(RepeatedSend { at: now, tenant })
    }

    /// Gives back a send that did not count.
    pub fn give_back(&mut self, pool: &PoolName, send: RepeatedSend) {
        if let Some(counts) = self.pools.get_mut(pool) {
            counts.repeats.remove(send);
        }
    }

    /// Repeated sends available now, whatever their tenant; may be fractional or negative.
    pub fn available(&mut self, now: MonotonicTime, pool: &PoolName) -> f64 {
        self.balance(now, pool).total()
    }

    /// What is left now, whatever the tenant.
    pub fn balance(&mut self, now: MonotonicTime, pool: &PoolName) -> RetryBalance {
        let limit = self.limit(now);
        self.counts(now, pool).balance(limit)
    }

    /// Repeated sends available now to requests of `tenant`; may be fractional or negative.
    pub fn available_to(
        &mut self,
        now: MonotonicTime,
        pool: &PoolName,
        tenant: Option<TenantCode>,
    ) -> f64 {
        let limit = self.limit(now);
        let counts = self.counts(now, pool);
        let reserve = tenant.map_or(0.0, |tenant| counts.reserve_against(tenant, limit));
        counts.available(limit) - reserve
    }

    /// The counts of a pool within the window.
    fn counts(&mut self, now: MonotonicTime, pool: &PoolName) -> &PoolCounts {
        let window = self.limits.window;
        let counts = self.pools.entry(pool.clone()).or_default();
        counts.expire(now, window);
        counts
    }

    fn limit(&mut self, now: MonotonicTime) -> PoolLimit {
        let SharedRetryLimits {
            ratio,
            slack,
            window,
        } = self.limits;
        let usage_unknown = self.restarted_at.is_some_and(|at| now.since(at) < window);
        let nodes = self.nodes.get(now);
        let nodes = nodes.filter(|_| !usage_unknown && !self.is_isolated);
        PoolLimit {
            ratio,
            slack: nodes.map_or(0.0, |nodes| slack / nodes as f64),
            nodes,
        }
    }
}

impl PoolCounts {
    fn expire(&mut self, now: MonotonicTime, window: Duration) {
        self.requests.expire(now, window);
        self.repeats.expire(now, window);
    }

    fn available(&self, limit: PoolLimit) -> f64 {
        self.balance(limit).total()
    }

    fn balance(&self, limit: PoolLimit) -> RetryBalance {
        let earned = limit.ratio * self.requests.total() * USABLE_FRACTION;
        RetryBalance {
            earned: earned - self.repeats.total(),
            slack: limit.slack * USABLE_FRACTION,
            nodes: limit.nodes,
        }
    }

    fn allowed(&self, limit: PoolLimit) -> f64 {
        (limit.ratio * self.requests.total() + limit.slack) * USABLE_FRACTION
    }

    /// What a tenant leaves to the others: nothing while it stays within its own part.
    fn reserve_against(&self, tenant: TenantCode, limit: PoolLimit) -> f64 {
        let tenants = self.requests.by_tenant.len();
        if tenants < 2 {
            return 0.0;
        }
        let slack_part = limit.slack / tenants as f64;
        let own_part = limit.ratio * self.requests.of(tenant) + slack_part;
        if self.repeats.of(tenant) + 1.0 <= own_part * USABLE_FRACTION {
            0.0
        } else {
            self.allowed(limit) * RESERVED_FRACTION
        }
    }
}
