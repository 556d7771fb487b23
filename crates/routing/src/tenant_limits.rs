//! Enforces rate limits of tenants over many nodes, without a message for each request.
//!
//! A tenant's limit applies to the whole fleet. Each node enforces its share of it with a token bucket; the share is
//! the node's fraction of the tenant's demand. Every node reports the demand of its active tenants to one node per
//! tenant (selected by rendezvous hashing) and receives the sum. Reports only contain tenants with recent requests, so
//! their size depends on a node's requests and not on the number of tenants or nodes.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_types::{MonotonicTime, NodeId, TenantName};
use serde::{Deserialize, Serialize};

use crate::prefix::{rendezvous_weight, text_hash};

/// Time constant of the measured demand of a tenant at a node, in seconds.
const DEMAND_TIME_CONSTANT_S: f64 = 5.0;

/// Totals and reports older than this are ignored.
const MAX_REPORT_AGE: Duration = Duration::from_secs(15);

/// Share assumed while a tenant's total is unknown, as a multiple of an equal share.
const UNKNOWN_SHARE_FACTOR: f64 = 2.0;

/// Shortest retry delay of a tenant over its limit.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A tenant's limit over the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantRule {
    /// Prompt and output tokens per second.
    pub tokens_per_second: u64,
    /// Most tokens in a burst.
    pub burst_tokens: u64,
}

/// A tenant's demand at one node, or over all nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TenantDemand {
    pub tenant: TenantName,
    /// Tokens per second asked for, whether admitted or not.
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

/// Tenant limits at one node.
#[derive(Clone, Debug)]
pub struct TenantLimits {
    capacity: usize,
    unknown_share: f64,
    tenants: HashMap<TenantName, TenantState>,
    order: VecDeque<TenantName>,
}

impl TenantLimits {
    /// Limits at one of `nodes` nodes. Up to `capacity` tenants are remembered; the one added first is dropped first.
    pub fn new(capacity: usize, nodes: usize) -> Self {
        Self {
            capacity,
            unknown_share: unknown_share(nodes),
            tenants: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Sets the number of nodes.
    pub fn set_nodes(&mut self, nodes: usize) {
        self.unknown_share = unknown_share(nodes);
    }

    /// Admits a request of `tokens` tokens, or returns the retry delay for its caller.
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
        state.record_demand(now, tokens);
        let share = state.share(now).unwrap_or(unknown_share);
        let rate = share * rule.tokens_per_second as f64;
        // The bucket must hold at least one request, or it would never be admitted at a node with a small share.
        let capacity = (share * rule.burst_tokens as f64).max(tokens);
        let filled = state.bucket_tokens + rate * now.since(state.filled_at).as_secs_f64();
        state.bucket_tokens = filled.min(capacity);
        state.filled_at = now;
        if state.bucket_tokens >= tokens {
            state.bucket_tokens -= tokens;
            return Ok(());
        }
        let missing = tokens - state.bucket_tokens;
        let wait_s = (missing / rate.max(f64::MIN_POSITIVE)).min(MAX_REPORT_AGE.as_secs_f64());
        Err(Duration::from_secs_f64(wait_s).max(MIN_RETRY_DELAY))
    }

    /// Gives back tokens that an admitted request did not use.
    pub fn give_back(&mut self, tenant: &TenantName, tokens: u64) {
        if let Some(state) = self.tenants.get_mut(tenant) {
            state.bucket_tokens += tokens as f64;
        }
    }

    /// Demand of the up to `max` tenants with the largest recent demand, in descending order, for a report.
    pub fn demands(&self, now: MonotonicTime, max: usize) -> Vec<TenantDemand> {
        let active = self
            .tenants
            .iter()
            .filter(|(_, state)| now.since(state.asked_at) <= MAX_REPORT_AGE);
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
        demands.truncate(max);
        demands
    }

    /// Records the demand of tenants over all nodes.
    pub fn observe_totals(&mut self, now: MonotonicTime, totals: &[TenantDemand]) {
        for total in totals {
            if let Some(state) = self.tenants.get_mut(&total.tenant) {
                state.total = Some((total.tokens_per_s, now));
            }
        }
    }

    /// Number of remembered tenants.
    pub fn len(&self) -> usize {
        self.tenants.len()
    }

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
    fn record_demand(&mut self, now: MonotonicTime, tokens: f64) {
        self.asked_per_s = self.demand(now) + tokens / DEMAND_TIME_CONSTANT_S;
        self.asked_at = now;
    }

    fn demand(&self, now: MonotonicTime) -> f64 {
        let passed_s = now.since(self.asked_at).as_secs_f64();
        self.asked_per_s * (-passed_s / DEMAND_TIME_CONSTANT_S).exp()
    }

    /// This node's fraction of the tenant's demand, if a recent total is known.
    fn share(&self, now: MonotonicTime) -> Option<f64> {
        match self.total {
            Some((total, at)) if now.since(at) <= MAX_REPORT_AGE && total > 0.0 => {
                Some((self.demand(now) / total).min(1.0))
            }
            _ => None,
        }
    }
}

fn unknown_share(nodes: usize) -> f64 {
    (UNKNOWN_SHARE_FACTOR / nodes.max(1) as f64).min(1.0)
}

/// The node that sums a tenant's demand. All nodes that know the same nodes agree on it.
pub fn summing_node<'a>(tenant: &TenantName, nodes: &'a [NodeId]) -> Option<&'a NodeId> {
    let tenant = text_hash(tenant.as_str());
    nodes
        .iter()
        .max_by_key(|node| (rendezvous_weight(tenant, text_hash(node.as_str())), *node))
}

/// Sums of the demand of the tenants assigned to one node.
#[derive(Clone, Debug, Default)]
pub struct TenantTotals {
    reports: HashMap<TenantName, HashMap<NodeId, (f64, MonotonicTime)>>,
}

impl TenantTotals {
    /// Records a node's report and returns the sums for the tenants in it.
    pub fn report(
        &mut self,
        now: MonotonicTime,
        node: &NodeId,
        demands: &[TenantDemand],
    ) -> Vec<TenantDemand> {
        let reports = demands.iter().map(|demand| {
            let by_node = self.reports.entry(demand.tenant.clone()).or_default();
            by_node.insert(node.clone(), (demand.tokens_per_s, now));
            by_node.retain(|_, (_, at)| now.since(*at) <= MAX_REPORT_AGE);
            let mut values: Vec<f64> = by_node.values().map(|(rate, _)| *rate).collect();
            values.sort_by(f64::total_cmp);
            TenantDemand {
                tenant: demand.tenant.clone(),
                tokens_per_s: values.iter().sum(),
            }
        });
        reports.collect()
    }

    /// Removes tenants without recent reports.
    pub fn forget_silent(&mut self, now: MonotonicTime) {
        for by_node in self.reports.values_mut() {
            by_node.retain(|_, (_, at)| now.since(*at) <= MAX_REPORT_AGE);
        }
        self.reports.retain(|_, by_node| !by_node.is_empty());
    }

    /// Number of tenants with recent reports.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
