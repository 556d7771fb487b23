//! Figures that nodes count of pools, tenants and engines, and that can be summed over all nodes.

use std::ops::AddAssign;

use dalestand_types::TenantName;
use serde::{Deserialize, Serialize};

use crate::prefix::text_hash;

/// Figures above this are rejected as implausible; far above the requests per second of the largest fleet.
const MAX_PER_S: f32 = 1e6;

/// The same for tokens per second.
const MAX_TOKENS_PER_S: f32 = 1e9;

fn is_plausible(value: f32, max: f32) -> bool {
    (0.0..=max).contains(&value)
}

/// Requests of one pool and priority, as means over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Requests per second that arrived for the first time, whether served or not.
    pub asked_per_s: f32,
    /// Requests per second that callers retried after a refusal.
    pub returned_per_s: f32,
    /// Requests per second that an engine began to answer.
    pub begun_per_s: f32,
    /// Requests per second that were refused.
    pub refused_per_s: f32,
    /// Requests per second that were refused because their tenant was over its share.
    pub over_share_per_s: f32,
    /// Calls per second that engines refused.
    pub engine_refusals_per_s: f32,
    /// Engine slots in use, on average.
    pub busy_slots: f32,
    /// Prompt tokens per second that engines had to prefill.
    pub prefill_tokens_per_s: f32,
    /// Requests queued at nodes.
    pub waiting: f32,
    /// Refused callers whose retry delay has not passed.
    pub returns_due: f32,
}

impl ClassFigures {
    /// Whether all figures are plausible: not negative, not too large, and numbers.
    pub fn is_valid(&self) -> bool {
        let rates = [
            self.asked_per_s,
            self.returned_per_s,
            self.begun_per_s,
            self.refused_per_s,
            self.over_share_per_s,
            self.engine_refusals_per_s,
            self.busy_slots,
            self.waiting,
            self.returns_due,
        ];
        let mut rates = rates.into_iter();
        rates.all(|rate| is_plausible(rate, MAX_PER_S))
            && is_plausible(self.prefill_tokens_per_s, MAX_TOKENS_PER_S)
    }
}

impl AddAssign<&Self> for ClassFigures {
    fn add_assign(&mut self, other: &Self) {
        self.asked_per_s += other.asked_per_s;
        self.returned_per_s += other.returned_per_s;
        self.begun_per_s += other.begun_per_s;
        self.refused_per_s += other.refused_per_s;
        self.over_share_per_s += other.over_share_per_s;
        self.engine_refusals_per_s += other.engine_refusals_per_s;
        self.busy_slots += other.busy_slots;
        self.prefill_tokens_per_s += other.prefill_tokens_per_s;
        self.waiting += other.waiting;
        self.returns_due += other.returns_due;
    }
}

/// Work of requests, in both units in which a pool's capacity is measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkRate {
    /// Engine slots in use, on average.
    pub slots: f32,
    /// Prompt tokens per second that engines have to prefill.
    pub prompt_tokens_per_s: f32,
}

impl WorkRate {
    fn is_valid(&self) -> bool {
        is_plausible(self.slots, MAX_PER_S)
            && is_plausible(self.prompt_tokens_per_s, MAX_TOKENS_PER_S)
    }
}

impl AddAssign<&Self> for WorkRate {
    fn add_assign(&mut self, other: &Self) {
        self.slots += other.slots;
        self.prompt_tokens_per_s += other.prompt_tokens_per_s;
    }
}

/// Demand and throughput of one tenant in a pool, as means over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantFigures {
    /// Work asked for, whether served or not, including retries.
    pub asked: WorkRate,
    /// Work that engines began.
    pub begun: WorkRate,
}

impl TenantFigures {
    /// Whether all figures are plausible: not negative, not too large, and numbers.
    pub fn is_valid(&self) -> bool {
        self.asked.is_valid() && self.begun.is_valid()
    }
}

impl AddAssign<&Self> for TenantFigures {
    fn add_assign(&mut self, other: &Self) {
        self.asked += &other.asked;
        self.begun += &other.begun;
    }
}

/// Fixed-size identifier of a tenant, since tenant names may be long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantCode(pub u64);

impl TenantCode {
    /// All tenants without a row of their own.
    pub const OTHERS: Self = Self(0);

    /// All callers without a key.
    pub const ANONYMOUS: Self = Self(1);

    /// The code of a tenant, the same at all nodes. Tenants with colliding codes share one row and one share.
    pub fn of(name: &TenantName) -> Self {
        Self(text_hash(name.as_str()).max(Self::ANONYMOUS.0 + 1))
    }
}

/// Slowness of one engine at one kind of work, as sums of weighted observations that can be added over nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlownessFigures {
    /// Number of observations, weighted by recency.
    pub weight: f32,
    /// Sum of the logarithms of the ratio of actual to usual time, with the same weights.
    pub log_slowness: f32,
}

/// Largest plausible weight that one node reports of one engine.
const MAX_WEIGHT: f32 = 1e4;

/// Largest plausible slowness, as a logarithm.
const MAX_LOG_SLOWNESS: f32 = 4.0;

impl SlownessFigures {
    /// Whether the figures are plausible.
    pub fn is_valid(&self) -> bool {
        is_plausible(self.weight, MAX_WEIGHT * 1e3)
            && self.log_slowness.abs() <= self.weight * MAX_LOG_SLOWNESS
    }

    /// Ratio of actual to usual time; 1 for an engine of usual speed. `prior` observations of that ratio are added, so
    /// that few observations have little effect.
    pub fn slowness(&self, prior: f32) -> f64 {
        let weight = self.weight + prior;
        if weight > 0.0 {
            f64::from(self.log_slowness / weight).exp()
        } else {
            1.0
        }
    }
}

impl AddAssign<&Self> for SlownessFigures {
    fn add_assign(&mut self, other: &Self) {
        self.weight += other.weight;
        self.log_slowness += other.log_slowness;
    }
}

/// Kinds of work for which an engine's slowness is tracked separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// Prefilling prompts.
    Prefill,
    /// Generating output tokens.
    Decode,
    /// Serving requests without a prompt.
    Opaque,
}
