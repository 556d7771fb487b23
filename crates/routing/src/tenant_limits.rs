//! Fair shares of tenants over many nodes, without a call for each request.
//!
//! A tenant's limit holds over the whole fleet. Each node lets through its share of it by a token
//! bucket. The share is the node's part of the tenant's demand: every node reports the demand of
//! its active tenants to one node for each tenant (chosen by rendezvous hashing) and is told the
//! sum. Reports hold the tenants of the last seconds only, a few bytes each, so their size follows
//! a node's requests and not the number of tenants or nodes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::{MonotonicTime, NodeId, TenantName};
use serde::{Deserialize, Serialize};

use crate::prefix::{rendezvous_weight, text_hash};

/// Time constant of a tenant's demand at a node, in seconds.
const DEMAND_TIME_S: f64 = 5.0;

/// A total older than this counts for nothing.
const TOTAL_LIMIT: Duration = Duration::from_secs(15);

/// Share assumed of a tenant of which no total is known, as a multiple of an even share.
const UNKNOWN_SHARE_FACTOR: f64 = 2.0;

/// Shortest wait told to a tenant over its limit.
const SHORTEST_WAIT: Duration = Duration::from_millis(100);

/// A tenant's limit over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantRule {
    /// Tokens (prompt and output) a second.
    pub tokens_per_second: u64,
    /// Most tokens at once.
    pub burst_tokens: u64,
}

/// A tenant's demand at one node, or over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantDemand {
    /// The tenant.
    pub tenant: TenantName,
    /// Tokens asked for in a second, let through or not.
    pub tokens_per_s: f64,
}

#[derive(Clone, Debug)]
struct TenantState {
    bucket_tokens: f64,
    filled_at: MonotonicTime,
    asked_per_s: f64,
    asked_at: MonotonicTime,
    total: Option<(f64, MonotonicTime)>,
}

/// The tenants' shares at one node.
#[derive(Clone, Debug)]
pub struct TenantLimits {
    capacity: usize,
    unknown_share: f64,
    tenants: HashMap<TenantName, TenantState>,
    order: VecDeque<TenantName>,
}

impl TenantLimits {
    /// Limits of one of `nodes` nodes that remember up to `capacity` tenants; the one known longest
    /// goes first.
    pub fn new(capacity: usize, nodes: usize) -> Self {
        Self {
            capacity,
            unknown_share: unknown_share(nodes),
            tenants: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Notes the number of nodes.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.unknown_share = unknown_share(nodes);
    }

    /// Lets a request of so many tokens through, or says when to come back.
    pub fn admit(
        &mut self,
        now: MonotonicTime,
        tenant: &TenantName,
        rule: &TenantRule,
        tokens: u64,
    ) -> Result<(), Duration> {
        let tokens = tokens as f64;
        let unknown_share = self.unknown_share;
        let state = self.state(now, tenant, rule);
        state.ask(now, tokens);
        let share = state.share(now).unwrap_or(unknown_share);
        let rate = share * rule.tokens_per_second as f64;
        // A share of a burst must still hold one request, or a small tenant would never get in.
        let largest = (share * rule.burst_tokens as f64).max(tokens);
        let filled = state.bucket_tokens + rate * now.since(state.filled_at).as_secs_f64();
        state.bucket_tokens = filled.min(largest);
        state.filled_at = now;
        if state.bucket_tokens >= tokens {
            state.bucket_tokens -= tokens;
            return Ok(());
        }
        let missing = tokens - state.bucket_tokens;
        let wait_s = (missing / rate.max(f64::MIN_POSITIVE)).min(TOTAL_LIMIT.as_secs_f64());
        Err(Duration::from_secs_f64(wait_s).max(SHORTEST_WAIT))
    }

    /// Gives back the tokens that a request did not use.
    pub fn give_back(&mut self, tenant: &TenantName, tokens: u64) {
        if let Some(state) = self.tenants.get_mut(tenant) {
            state.bucket_tokens += tokens as f64;
        }
    }

    /// Demand of the tenants that asked within the last seconds, to be reported; the largest first.
    pub fn demands(&self, now: MonotonicTime, most: usize) -> Vec<TenantDemand> {
        let active = self
            .tenants
            .iter()
            .filter(|(_, state)| now.since(state.asked_at) <= TOTAL_LIMIT);
        let mut demands: Vec<TenantDemand> = active
            .map(|(tenant, state)| TenantDemand {
                tenant: tenant.clone(),
                tokens_per_s: state.demand(now),
            })
            .collect();
        demands.sort_by(|one, other| {
            let by_demand = other.tokens_per_s.total_cmp(&one.tokens_per_s);
            by_demand.then_with(|| one.tenant.cmp(&other.tenant))
        });
        demands.truncate(most);
        demands
    }

    /// Takes in the demand of tenants over all nodes.
    pub fn observe_totals(&mut self, now: MonotonicTime, totals: &[TenantDemand]) {
        for total in totals {
            if let Some(state) = self.tenants.get_mut(&total.tenant) {
                state.total = Some((total.tokens_per_s, now));
            }
        }
    }

    /// Tenants remembered.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.tenants.is_empty()
    }

    fn state(
        &mut self,
        now: MonotonicTime,
        tenant: &TenantName,
        rule: &TenantRule,
    ) -> &mut TenantState {
        if !self.tenants.contains_key(tenant) {
            self.order.push_back(tenant.clone());
            if self.order.len() > self.capacity
                && let Some(oldest) = self.order.pop_front()
            {
                self.tenants.remove(&oldest);
            }
        }
        let unknown_share = self.unknown_share;
        self.tenants
            .entry(tenant.clone())
            .or_insert_with(|| TenantState {
                bucket_tokens: unknown_share * rule.burst_tokens as f64,
                filled_at: now,
                asked_per_s: 0.0,
                asked_at: now,
                total: None,
            })
    }
}

impl TenantState {
    fn ask(&mut self, now: MonotonicTime, tokens: f64) {
        self.asked_per_s = self.demand(now) + tokens / DEMAND_TIME_S;
        self.asked_at = now;
    }

    fn demand(&self, now: MonotonicTime) -> f64 {
        let passed_s = now.since(self.asked_at).as_secs_f64();
        self.asked_per_s * (-passed_s / DEMAND_TIME_S).exp()
    }

    /// This node's part of the tenant's demand, if a recent total is known.
    fn share(&self, now: MonotonicTime) -> Option<f64> {
        match self.total {
            Some((total, at)) if now.since(at) <= TOTAL_LIMIT && total > 0.0 => {
                Some((self.demand(now) / total).min(1.0))
            }
            _ => None,
        }
    }
}

fn unknown_share(nodes: usize) -> f64 {
    (UNKNOWN_SHARE_FACTOR / nodes.max(1) as f64).min(1.0)
}

/// The node that sums a tenant's demand: the same for every node that knows the same nodes.
pub fn summing_node<'a>(tenant: &TenantName, nodes: &'a [NodeId]) -> Option<&'a NodeId> {
    let tenant = text_hash(tenant.as_str());
    nodes
        .iter()
        .max_by_key(|node| (rendezvous_weight(tenant, text_hash(node.as_str())), *node))
}

/// Sums the demand of the tenants that fall to one node.
#[derive(Clone, Debug, Default)]
pub struct TenantTotals {
    reports: HashMap<TenantName, HashMap<NodeId, (f64, MonotonicTime)>>,
}

impl TenantTotals {
    /// Takes a node's report in and yields the sums for the tenants it names.
    pub fn report(
        &mut self,
        now: MonotonicTime,
        node: &NodeId,
        demands: &[TenantDemand],
    ) -> Vec<TenantDemand> {
        let reports = demands.iter().map(|demand| {
            let by_node = self.reports.entry(demand.tenant.clone()).or_default();
            by_node.insert(node.clone(), (demand.tokens_per_s, now));
            by_node.retain(|_, (_, at)| now.since(*at) <= TOTAL_LIMIT);
            let mut values: Vec<f64> = by_node.values().map(|(rate, _)| *rate).collect();
            values.sort_by(f64::total_cmp);
            TenantDemand {
                tenant: demand.tenant.clone(),
                tokens_per_s: values.iter().sum(),
            }
        });
        reports.collect()
    }

    /// Forgets tenants of which nothing was heard.
    pub fn forget_silent(&mut self, now: MonotonicTime) {
        for by_node in self.reports.values_mut() {
            by_node.retain(|_, (_, at)| now.since(*at) <= TOTAL_LIMIT);
        }
        self.reports.retain(|_, by_node| !by_node.is_empty());
    }

    /// Tenants summed.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Whether none is summed.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
