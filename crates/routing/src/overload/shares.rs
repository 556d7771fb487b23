//! Fair shares of the tenants of a pool that is short of room.
//!
//! The load: one tenant asks for several times its part of a pool, others for less than theirs. Without shares all
//! are refused alike, whoever causes it. With them each is served up to its fair share, and what one leaves the others
//! take: weighted max-min, by filling up to one level of service for each unit of weight.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::ShareStanding;
use super::shortage::{AttemptRates, CapacityUnit, ShortageDetector};
use crate::figures::{TenantCode, TenantFigures};

/// Shares older than this decide nothing: they come four times a second, and demand turns within three seconds.
const SHARES_HOLD: Duration = Duration::from_secs(1);

/// Time over which a share makes good what was asked beyond it: that of the rates from which it is worked out.
const CATCHES_UP_IN: Duration = Duration::from_secs(2);

/// Callers come back within this part of the time that they have left: there is time to be served then.
const RETURN_SHARE: f64 = 1.0 / 3.0;

/// Shortest time after which a refused caller is asked to come back; sooner, nothing has changed.
const SHORTEST_RETURN: Duration = Duration::from_millis(100);

/// What a tenant asks and what it may have, in units a second over all nodes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TenantShare {
    /// What it asks for.
    pub asked_per_s: f64,
    /// Its fair share.
    pub share_per_s: f64,
}

impl TenantShare {
    /// The part of its requests that lies within the share.
    pub fn part(self) -> f64 {
        if self.asked_per_s > self.share_per_s {
            self.share_per_s / self.asked_per_s
        } else {
            1.0
        }
    }

    /// Time after which the share has caught up with what was asked, within a third of what the caller has `left`.
    /// Callers that are refused together are spread by `draw`, from 0 to 1.
    pub fn retry_after(self, left: Duration, draw: f64) -> Duration {
        let behind = 1.0 / self.part().max(f64::MIN_POSITIVE) - 1.0;
        let longest_s = left.as_secs_f64() * RETURN_SHARE;
        let wait_s = (CATCHES_UP_IN.as_secs_f64() * behind).min(longest_s);
        Duration::from_secs_f64(wait_s * (1.0 + draw) / 2.0).max(SHORTEST_RETURN)
    }
}

/// A demand with the weight of who asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedDemand {
    /// Units a second asked for.
    pub per_s: f64,
    /// Its weight, above 0.
    pub weight: f64,
}

/// The service of each unit of weight up to which demands are filled from `room`; `None` if there is enough for all.
pub fn max_min_level(demands: &[WeightedDemand], room: f64) -> Option<f64> {
    let mut demands = demands.to_vec();
    demands.sort_by(|one, other| (one.per_s / one.weight).total_cmp(&(other.per_s / other.weight)));
    let mut weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    let mut left = room;
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

/// The shares of a pool's tenants, as one node knows them.
#[derive(Clone, Debug, Default)]
pub struct PoolShares {
    /// What tenants ask whose requests are cut; nobody's in a pool that has room for all.
    cut: HashMap<TenantCode, TenantShare>,
    /// Tenants that ask for less than their share, of those named.
    named: HashMap<TenantCode, TenantShare>,
    /// Requests that may pass, by tenant, in parts of one.
    credits: HashMap<TenantCode, f64>,
    shortage: ShortageDetector,
    worked_out_at: MonotonicTime,
}

impl PoolShares {
    /// Works the shares out anew from the figures of all nodes.
    pub fn refresh(
        &mut self,
        now: MonotonicTime,
        unit: CapacityUnit,
        tries: AttemptRates,
        figures: &HashMap<TenantCode, TenantFigures>,
        weight: impl Fn(TenantCode) -> f64,
    ) {
        self.worked_out_at = now;
        self.named.clear();
        self.cut.clear();
        let begun: f64 = figures.values().map(|row| unit.of(row.begun)).sum();
        let Some(room) = self.shortage.room(now, tries, begun) else {
            self.credits.clear();
            return;
        };
        let asked = figures
            .iter()
            .map(|(code, row)| (*code, unit.of(row.asked)));
        let asked: Vec<(TenantCode, f64)> = asked.filter(|(_, asked)| *asked > 0.0).collect();
        let smallest = smallest_named(&asked);
        let weighted = |(code, per_s): &(TenantCode, f64)| WeightedDemand {
            per_s: *per_s,
            weight: match *code {
                TenantCode::OTHERS => (per_s / smallest).max(1.0),
                code => weight(code),
            },
        };
        let demands: Vec<WeightedDemand> = asked.iter().map(weighted).collect();
        let Some(level) = max_min_level(&demands, room) else {
            self.shortage.ends();
            self.credits.clear();
            return;
        };
        for ((code, _), demand) in asked.iter().zip(demands) {
            let share = TenantShare {
                asked_per_s: demand.per_s,
                share_per_s: level * demand.weight,
            };
            if share.part() < 1.0 {
                self.cut.insert(*code, share);
            } else {
                self.named.insert(*code, share);
            }
        }
        self.credits.retain(|code, _| self.cut.contains_key(code));
    }

    /// Whether the shares decide anything.
    pub fn is_enforced(&self, now: MonotonicTime) -> bool {
        !self.cut.is_empty() && now.since(self.worked_out_at) < SHARES_HOLD
    }

    /// Tenants that are cut, with all small ones for one.
    pub fn limited_tenants(&self, now: MonotonicTime) -> usize {
        if self.is_enforced(now) {
            self.cut.len()
        } else {
            0
        }
    }

    /// The share of a tenant, where shares decide anything; that of all small ones for one that is not named.
    pub fn share(&self, now: MonotonicTime, tenant: TenantCode) -> Option<TenantShare> {
        if !self.is_enforced(now) {
            return None;
        }
        let is_named = self.cut.contains_key(&tenant) || self.named.contains_key(&tenant);
        let code = if is_named { tenant } else { TenantCode::OTHERS };
        let share = self.cut.get(&code).or_else(|| self.named.get(&code));
        share.copied()
    }

    /// How a request of `tenant` stands against its share. All nodes let the same part of a tenant's requests pass, so
    /// each keeps its part of the share by its part of the demand. Where a tenant's first one stands is drawn
    /// (`draw`, from 0 to 1): many nodes that are each asked a little would let all first ones pass.
    pub fn classify(&mut self, now: MonotonicTime, tenant: TenantCode, draw: f64) -> ShareStanding {
        let Some(share) = self.share(now, tenant).filter(|share| share.part() < 1.0) else {
            return ShareStanding::Within;
        };
        let code = if self.cut.contains_key(&tenant) {
            tenant
        } else {
            TenantCode::OTHERS
        };
        let credit = self.credits.entry(code).or_insert(draw);
        *credit += share.part();
        if *credit < 1.0 {
            return ShareStanding::Over;
        }
        *credit -= 1.0;
        ShareStanding::Within
    }
}

/// The smallest demand of one tenant. Each of those that no row names is taken to ask as much.
fn smallest_named(asked: &[(TenantCode, f64)]) -> f64 {
    let named = asked.iter().filter(|(code, _)| *code != TenantCode::OTHERS);
    named.map(|(_, asked)| *asked).fold(f64::INFINITY, f64::min)
}
