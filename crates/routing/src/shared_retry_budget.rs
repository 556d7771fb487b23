//! A budget of repeated sends that all nodes share without a message for each request.
//!
//! Within any time window, the sends to a pool beyond the first of each request may not exceed a ratio of its requests
//! plus a fixed slack. All nodes together stay within it, provided that each takes every counted send
//! ([`crate::CallCounts`]) from its budget before sending:
//!
//! * A request at a node earns a credit of slightly less than the ratio, which can be spent by this node only and lapses
//!   soon. The repeated sends of a window are thus paid for by requests of that window and of a short time before it,
//!   whichever nodes received them. A node that restarts or whose callers move to other nodes leaves no debt that another
//!   node would have to know: nobody could have saved the credits of a whole window.
//! * A node uses an equal part of the slack, divided by the node count ([`NodeCount`]), once in a window. A process does
//!   not know what a former one on its node used, and may count too few nodes at first, so it uses none until a window
//!   after its first count.
//! * A call that was given up at a silent engine may arrive at any later moment, beyond the first of its request. As long
//!   as it may, sends are only taken as far as the window would have room for it.
//!
//! Tenants of a pool share its budget. A tenant's own part is what its requests add to the budget, and an equal part of
//! the slack. Beyond its own part it leaves a reserve to the others, whose requests could otherwise not be retried while
//! it overloads the pool.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{MonotonicTime, PoolName};

use crate::figures::TenantCode;
use crate::node_count::NodeCount;
use crate::staged::EngineKey;
use crate::timed_counts::{TimedAmounts, WindowCounts};
use crate::unread_calls::UnreadCalls;

/// Fraction of the slack that is used. The rest is a margin for nodes that learn of each other with a delay.
const USABLE_SLACK_FRACTION: f64 = 0.95;

/// Fraction of a window's budget that calls may take up that were given up and could all arrive in one window. Credits
/// leave that much of the ratio unspent ([`SharedRetryLimits::credit_per_request`]), so that there is room also for the
/// calls of a former process, which nobody remembers.
const MAX_UNREAD_FRACTION: f64 = 0.14;

/// Fraction of the window for which a credit can be spent. Longer ones would pay for larger bursts, but each takes away
/// from what may be sent continuously.
const CREDIT_LIFETIME_FRACTION: f64 = 0.1;

/// Longest time from taking a send to its arrival at a sound engine: connecting, and packets that are lost once.
const ARRIVAL_MARGIN: Duration = Duration::from_millis(700);

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
    /// Time from a process's first count of nodes until it uses its part of the slack; by default
    /// [`Self::slack_interval`].
    pub slack_delay: Option<Duration>,
}

impl SharedRetryLimits {
    /// Time for which the credit of a request can be spent.
    fn credit_lifetime(&self) -> Duration {
        self.window.mul_f64(CREDIT_LIFETIME_FRACTION)
    }

    /// Credit that a request earns. The sends that arrive in a window were paid for by the requests of the window, of one
    /// lifetime and of the time until arrival before it; under a constant load their credits add up to the ratio of the
    /// requests of the window.
    fn credit_per_request(&self) -> f64 {
        let window_s = self.window.as_secs_f64();
        let paying_s = window_s + (self.credit_lifetime() + ARRIVAL_MARGIN).as_secs_f64();
        self.ratio * window_s / paying_s
    }

    /// Time from a process's first count of nodes until it uses its part of the slack.
    fn slack_use_delay(&self) -> Duration {
        self.slack_delay.unwrap_or_else(|| self.slack_interval())
    }

    /// Time until the slack that a send used can be used again.
    pub fn slack_interval(&self) -> Duration {
        self.window + ARRIVAL_MARGIN
    }
}

/// A repeated send taken from a budget.
#[derive(Clone, Copy, Debug, PartialEq)]
#[must_use]
pub struct RepeatedSend {
    at: MonotonicTime,
    tenant: Option<TenantCode>,
    /// When the oldest of the credits that it used was earned.
    earned_at: MonotonicTime,
    /// How much of it was paid by credits; the rest by the slack.
    earned: f64,
}

/// What a node's part of the budget is made up of at one moment. The parts may be fractional.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBalance {
    /// Unspent credits of requests.
    pub earned: f64,
    /// Repeated sends left of this node's part of the slack.
    pub slack: f64,
    /// Repeated sends that arrived without having been taken and are still to be paid for.
    pub owed: f64,
    /// What is kept for calls that were given up at silent engines and may arrive later.
    pub reserved: f64,
    /// Nodes among which the slack is divided; `None` if this node uses none of it.
    pub nodes: Option<usize>,
}

impl RetryBalance {
    /// Repeated sends left.
    pub fn total(&self) -> f64 {
        self.earned + self.slack - self.owed - self.reserved
    }
}

#[derive(Clone, Debug, Default)]
struct PoolCounts {
    requests: WindowCounts,
    /// Repeated sends that may arrive within the window.
    repeats: WindowCounts,
    /// Unspent credits of requests.
    credits: TimedAmounts,
    /// Sends, or fractions of sends, that used the slack.
    slack_uses: TimedAmounts,
    /// Sends that arrived without having been taken, as far as they are not paid for.
    debts: TimedAmounts,
}

/// Limits of a pool's repeated sends at this node.
#[derive(Clone, Copy, Debug)]
struct PoolLimit {
    /// Credit that a request earns.
    credit_per_request: f64,
    credit_lifetime: Duration,
    /// Repeated sends allowed per request.
    ratio: f64,
    /// This node's part of the slack.
    slack: f64,
    /// Nodes among which the slack is divided; `None` if this node uses none of it.
    nodes: Option<usize>,
    /// Given-up calls that may arrive later, if there are any.
    unread: Option<UnreadLoad>,
}

/// Given-up calls of a pool that may arrive later.
#[derive(Clone, Copy, Debug)]
struct UnreadLoad {
    /// Those whose repetition is no longer among the repeated sends of the window. The others need no room of their own
    /// yet: of a call and its repetition one arrival counts.
    older_than_window: usize,
}

/// This node's part of the shared budget.
#[derive(Clone, Debug)]
pub struct SharedRetryBudget {
    limits: SharedRetryLimits,
    nodes: NodeCount,
    /// Whether this node has no contact to any other, although there are others.
    is_isolated: bool,
    /// When this process first knew a count of nodes.
    counted_at: Option<MonotonicTime>,
    pools: HashMap<PoolName, PoolCounts>,
    unread: UnreadCalls,
}

impl SharedRetryBudget {
    /// An unused budget.
    pub fn new(limits: SharedRetryLimits) -> Self {
        Self {
            limits,
            nodes: NodeCount::default(),
            is_isolated: false,
            counted_at: None,
            pools: HashMap::new(),
            unread: UnreadCalls::default(),
        }
    }

    pub fn set_limits(&mut self, limits: SharedRetryLimits) {
        self.limits = limits;
    }

    /// Sets the number of nodes among which the slack is divided, as known at `now`. Until some time after the first
    /// there is no slack.
    pub fn set_nodes(&mut self, now: MonotonicTime, nodes: usize) {
        self.counted_at.get_or_insert(now);
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
        let limits = self.limits;
        let counts = self.counts(now, pool);
        counts.requests.push(now, tenant);
        let credit = limits.credit_per_request();
        let paid = counts.debts.take(credit).map_or(0.0, |(_, paid)| paid);
        if paid < credit {
            counts.credits.add(now, credit - paid);
        }
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
        let (earned_at, earned) = counts.credits.take(1.0).unwrap_or((now, 0.0));
        if earned < 1.0 {
            counts.slack_uses.add(now, 1.0 - earned);
        }
        Some(RepeatedSend {
            at: now,
            tenant,
            earned_at,
            earned,
        })
    }

    /// Whether a further call may be given up at a silent engine and made again elsewhere.
    pub fn may_give_up(&mut self, now: MonotonicTime, pool: &PoolName) -> bool {
        let limit = self.limit(now, pool);
        let requests = self.counts(now, pool).requests.len() as f64;
        let budget = limit.credit_per_request * requests + limit.slack;
        let max_unread = budget * MAX_UNREAD_FRACTION * self.first_window_fraction(now);
        self.unread.count(pool) < max_unread as usize
    }

    /// How much of the time until this process uses its slack has passed, up to 1. Processes that follow each other within
    /// a window together give up no more calls than one may.
    fn first_window_fraction(&self, now: MonotonicTime) -> f64 {
        let Some(counted_at) = self.counted_at else {
            return 0.0;
        };
        let delay = self.limits.slack_use_delay();
        if delay.is_zero() {
            return 1.0;
        }
        (now.since(counted_at).as_secs_f64() / delay.as_secs_f64()).min(1.0)
    }

    /// Records that a call sent to `engine` at `sent_at` was given up without an answer and is made again elsewhere.
    pub fn record_given_up(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        pool: &PoolName,
        sent_at: MonotonicTime,
    ) {
        self.unread.record_given_up(now, engine, pool, sent_at);
    }

    /// Records that an engine answered, and charges the given-up calls that it has read by then. Returns their pools, one
    /// for each call.
    pub fn record_answer(&mut self, now: MonotonicTime, engine: EngineKey) -> Vec<PoolName> {
        let read = self.unread.record_answer(now, engine);
        for pool in &read {
            self.charge(now, pool);
        }
        read
    }

    /// Forgets the calls given up at an engine whose process has ended.
    pub fn forget_engine(&mut self, engine: EngineKey) {
        self.unread.forget(engine);
    }

    /// Removes expired state; that of engines that are not `known` is kept as long as calls may arrive there.
    pub fn sweep(&mut self, now: MonotonicTime, known: impl Fn(EngineKey) -> bool) {
        self.unread.sweep(now, known);
    }

    /// Charges a repeated send that arrived now although another was taken in its stead earlier. What the budget cannot
    /// pay at once is paid by the requests that follow.
    pub fn charge(&mut self, now: MonotonicTime, pool: &PoolName) {
        let slack = self.balance(now, pool).slack;
        let counts = self.counts(now, pool);
        counts.repeats.push(now, None);
        let earned = counts.credits.take(1.0).map_or(0.0, |(_, earned)| earned);
        let from_slack = slack.min(1.0 - earned);
        if from_slack > 0.0 {
            counts.slack_uses.add(now, from_slack);
        }
        let owed = 1.0 - earned - from_slack;
        if owed > 0.0 {
            counts.debts.add(now, owed);
        }
    }

    /// Gives back a send that did not count.
    pub fn give_back(&mut self, pool: &PoolName, send: RepeatedSend) {
        if let Some(counts) = self.pools.get_mut(pool) {
            counts.repeats.remove(send.at, send.tenant);
            counts.credits.give_back(send.earned_at, send.earned);
            counts.slack_uses.remove(send.at, 1.0 - send.earned);
        }
    }

    /// Repeated sends available now, whatever their tenant; may be fractional.
    pub fn available(&mut self, now: MonotonicTime, pool: &PoolName) -> f64 {
        self.balance(now, pool).total()
    }

    /// What is left now, whatever the tenant.
    pub fn balance(&mut self, now: MonotonicTime, pool: &PoolName) -> RetryBalance {
        let limit = self.limit(now, pool);
        self.counts(now, pool).balance(limit)
    }

    /// Repeated sends available now to requests of `tenant`; may be fractional or negative.
    pub fn available_to(
        &mut self,
        now: MonotonicTime,
        pool: &PoolName,
        tenant: Option<TenantCode>,
    ) -> f64 {
        let limit = self.limit(now, pool);
        let counts = self.counts(now, pool);
        let reserve = tenant.map_or(0.0, |tenant| counts.reserve_against(now, tenant, limit));
        counts.balance(limit).total() - reserve
    }

    /// The current counts of a pool.
    fn counts(&mut self, now: MonotonicTime, pool: &PoolName) -> &mut PoolCounts {
        let counts = self.pools.entry(pool.clone()).or_default();
        counts.expire(now, self.limits);
        counts
    }

    fn limit(&mut self, now: MonotonicTime, pool: &PoolName) -> PoolLimit {
        let slack = self.limits.slack;
        let delay = self.limits.slack_use_delay();
        let uses_slack = self.counted_at.is_some_and(|at| now.since(at) >= delay);
        let nodes = self.nodes.get(now);
        let nodes = nodes.filter(|_| uses_slack && !self.is_isolated);
        PoolLimit {
            credit_per_request: self.limits.credit_per_request(),
            credit_lifetime: self.limits.credit_lifetime(),
            ratio: self.limits.ratio,
            slack: nodes.map_or(0.0, |nodes| slack / nodes as f64),
            nodes,
            unread: self.unread_load(now, pool),
        }
    }

    fn unread_load(&self, now: MonotonicTime, pool: &PoolName) -> Option<UnreadLoad> {
        let window_start = now.saturating_sub(self.limits.slack_interval());
        (self.unread.count(pool) > 0).then(|| UnreadLoad {
            older_than_window: self.unread.count_before(window_start, pool),
        })
    }
}

impl PoolCounts {
    fn expire(&mut self, now: MonotonicTime, limits: SharedRetryLimits) {
        self.requests.expire(now, limits.window);
        self.repeats.expire(now, limits.slack_interval());
        self.credits.expire(now, limits.credit_lifetime());
        self.slack_uses.expire(now, limits.slack_interval());
        self.debts.expire(now, limits.slack_interval());
    }

    fn balance(&self, limit: PoolLimit) -> RetryBalance {
        let slack = limit.slack * USABLE_SLACK_FRACTION - self.slack_uses.total();
        let mut balance = RetryBalance {
            earned: self.credits.total(),
            // The part may have become smaller than what was used of it.
            slack: slack.max(0.0),
            owed: self.debts.total(),
            reserved: 0.0,
            nodes: limit.nodes,
        };
        if let Some(unread) = limit.unread {
            let room = self.window_room(limit) - unread.older_than_window as f64;
            balance.reserved = (balance.total() - room).max(0.0);
        }
        balance
    }

    /// Repeated sends that could still arrive in the window that ends now.
    fn window_room(&self, limit: PoolLimit) -> f64 {
        let allowed =
            limit.ratio * self.requests.len() as f64 + limit.slack * USABLE_SLACK_FRACTION;
        allowed - self.repeats.len() as f64
    }

    /// Repeated sends that could be available at once.
    fn capacity(&self, now: MonotonicTime, limit: PoolLimit) -> f64 {
        let requests = self.requests.count_within(now, limit.credit_lifetime);
        limit.credit_per_request * requests as f64 + limit.slack * USABLE_SLACK_FRACTION
    }

    /// What a tenant leaves to the others: nothing while it stays within its own part.
    fn reserve_against(&self, now: MonotonicTime, tenant: TenantCode, limit: PoolLimit) -> f64 {
        let tenants = self.requests.tenants();
        if tenants < 2 {
            return 0.0;
        }
        let slack_part = limit.slack / tenants as f64;
        let own_part = limit.credit_per_request * self.requests.of(tenant)
            + slack_part * USABLE_SLACK_FRACTION;
        if self.repeats.of(tenant) + 1.0 <= own_part {
            0.0
        } else {
            self.capacity(now, limit) * RESERVED_FRACTION
        }
    }
}
