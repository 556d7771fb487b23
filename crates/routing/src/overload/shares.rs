//! Weighted max-min fair shares of the tenants of a pool that is short of capacity.
//!
//! Each tenant is served up to its share; what a tenant leaves unused is divided among the others. A tenant that asks
//! for several times its share therefore does not get the requests of the others refused.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::ShareStanding;
use super::shortage::{AttemptRates, CapacityUnit, ShortageDetector};
use crate::figures::{TenantCode, TenantFigures};

/// Shares older than this are not enforced. Longer than the interval at which they are computed, shorter than demand
/// takes to change.
const SHARES_VALID_FOR: Duration = Duration::from_secs(1);

/// Demand beyond a share counts for this long: the time constant of the rates from which shares are computed.
const CATCH_UP_TIME: Duration = Duration::from_secs(2);

/// Largest retry delay, as a fraction of the caller's remaining time, so that time to be served is left.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;

/// Smallest retry delay. Sooner, the shares would not have changed.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);

/// A tenant's demand and share, in units per second over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantShare {
    /// Its demand.
    pub asked_per_s: f64,
    /// Its fair share.
    pub share_per_s: f64,
}

impl TenantShare {
    /// Fraction of its demand that lies within the share, at most 1.
    pub fn fraction_within(self) -> f64 {
        if self.asked_per_s > self.share_per_s {
            self.share_per_s / self.asked_per_s
        } else {
            1.0
        }
    }

    /// Retry delay of a caller that is refused for exceeding the share and has `left` time for its request. `draw`, a
    /// random number from 0 to 1, spreads callers that are refused together.
    pub fn retry_after(self, left: Duration, draw: f64) -> Duration {
        let excess = 1.0 / self.fraction_within().max(f64::MIN_POSITIVE) - 1.0;
        let longest_s = left.as_secs_f64() * MAX_RETRY_FRACTION;
        let wait_s = (CATCH_UP_TIME.as_secs_f64() * excess).min(longest_s);
        Duration::from_secs_f64(wait_s * (1.0 + draw) / 2.0).max(MIN_RETRY_DELAY)
    }
}

/// Demand of one tenant, with the tenant's weight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedDemand {
    /// Demand in units per second.
    pub per_s: f64,
    /// Weight of the tenant; above 0.
    pub weight: f64,
}

/// The weighted max-min fair level: each demand is served up to `level * weight` so that all together use `capacity`.
/// `None` if the capacity is enough for all.
pub fn max_min_level(demands: &[WeightedDemand], capacity: f64) -> Option<f64> {
    let mut demands = demands.to_vec();
    demands.sort_by(|one, other| (one.per_s / one.weight).total_cmp(&(other.per_s / other.weight)));
    let mut weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut left = capacity;
    for demand in demands {
        let level = left.max(0.0) / weight;
        if demand.per_s > level * demand.weight {
            return Some(level);
        }
        left -= demand.per_s;
        weight -= demand.weight;
    }
    None
}

/// Shares of a pool's tenants at one node.
#[derive(Clone, Debug, Default)]
pub struct PoolShares {
    /// Tenants whose demand exceeds their share; empty unless the pool is short.
    limited: HashMap<TenantCode, TenantShare>,
    /// Tenants with figures of their own whose demand does not exceed their share.
    unlimited: HashMap<TenantCode, TenantShare>,
    /// Credit of each limited tenant, in requests. It grows with each request by the fraction within the share, and a
    /// request is within the share if the credit then covers it.
    credits: HashMap<TenantCode, f64>,
    shortage: ShortageDetector,
    computed_at: MonotonicTime,
}

impl PoolShares {
    /// Recomputes the shares from the figures of all nodes.
    pub fn refresh(
        &mut self,
        now: MonotonicTime,
        unit: CapacityUnit,
        attempts: AttemptRates,
        figures: &HashMap<TenantCode, TenantFigures>,
        weight: impl Fn(TenantCode) -> f64,
    ) {
        self.computed_at = now;
        self.unlimited.clear();
        self.limited.clear();
        let begun: f64 = figures.values().map(|row| unit.amount(row.begun)).sum();
        let Some(capacity) = self.shortage.capacity(now, attempts, begun) else {
            self.credits.clear();
            return;
        };
        let asked = figures
            .iter()
            .map(|(code, row)| (*code, unit.amount(row.asked)));
        let asked: Vec<(TenantCode, f64)> = asked.filter(|(_, asked)| *asked > 0.0).collect();
        let smallest = smallest_demand(&asked);
        let weighted = |(code, per_s): &(TenantCode, f64)| WeightedDemand {
            per_s: *per_s,
            weight: match *code {
                TenantCode::OTHERS => (per_s / smallest).max(1.0),
                code => weight(code),
            },
        };
        let demands: Vec<WeightedDemand> = asked.iter().map(weighted).collect();
        let Some(level) = max_min_level(&demands, capacity) else {
            self.shortage.end();
            self.credits.clear();
            return;
        };
        for ((code, _), demand) in asked.iter().zip(demands) {
            let share = TenantShare {
                asked_per_s: demand.per_s,
                share_per_s: level * demand.weight,
            };
            if share.fraction_within() < 1.0 {
                self.limited.insert(*code, share);
            } else {
                self.unlimited.insert(*code, share);
            }
        }
        self.credits
            .retain(|code, _| self.limited.contains_key(code));
    }

    /// Whether the shares are recent and limit any tenant.
    pub fn is_enforced(&self, now: MonotonicTime) -> bool {
        !self.limited.is_empty() && now.since(self.computed_at) < SHARES_VALID_FOR
    }

    /// Number of limited tenants; all tenants without figures of their own count as one.
    pub fn limited_tenants(&self, now: MonotonicTime) -> usize {
        if self.is_enforced(now) {
            self.limited.len()
        } else {
            0
        }
    }

    /// The share of a tenant; `None` if shares are not enforced. Tenants without figures of their own share one.
    pub fn share(&self, now: MonotonicTime, tenant: TenantCode) -> Option<TenantShare> {
        if !self.is_enforced(now) {
            return None;
        }
        let is_named = self.limited.contains_key(&tenant) || self.unlimited.contains_key(&tenant);
        let code = if is_named { tenant } else { TenantCode::OTHERS };
        let share = self
            .limited
            .get(&code)
            .or_else(|| self.unlimited.get(&code));
        share.copied()
    }

    /// Classifies a request of `tenant`. All nodes let the same fraction of a tenant's requests pass, so that the share
    /// is divided among them by demand. `draw`, a random number from 0 to 1, is the initial credit of a tenant: with a
    /// fixed value, many nodes with few requests each would all decide alike about the first one.
    pub fn classify(&mut self, now: MonotonicTime, tenant: TenantCode, draw: f64) -> ShareStanding {
        let Some(share) = self
            .share(now, tenant)
            .filter(|share| share.fraction_within() < 1.0)
        else {
            return ShareStanding::Within;
        };
        let code = if self.limited.contains_key(&tenant) {
            tenant
        } else {
            TenantCode::OTHERS
        };
        let credit = self.credits.entry(code).or_insert(draw);
        *credit += share.fraction_within();
        if *credit < 1.0 {
            return ShareStanding::Over;
        }
        *credit -= 1.0;
        ShareStanding::Within
    }
}

/// The smallest demand among tenants with figures of their own. Each of the others is assumed to ask for as much.
fn smallest_demand(asked: &[(TenantCode, f64)]) -> f64 {
    let named = asked.iter().filter(|(code, _)| *code != TenantCode::OTHERS);
    named.map(|(_, asked)| *asked).fold(f64::INFINITY, f64::min)
}
