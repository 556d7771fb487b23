//! What nodes count of pools, tenants and engines, in figures that add up over all nodes.

use std::ops::AddAssign;

use dalestand_types::TenantName;
use serde::{Deserialize, Serialize};

use crate::prefix::text_hash;

/// Above this a figure is taken for an error: a hundred times what the largest fleet is asked in a second.
const MOST_PER_S: f32 = 1e6;

/// The same for tokens a second.
const MOST_TOKENS_PER_S: f32 = 1e9;

fn is_rate(value: f32, most: f32) -> bool {
    (0.0..=most).contains(&value)
}

/// Requests of one pool and one priority. Each is a mean over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassFigures {
    /// Requests a second that came for the first time, served or not.
    pub asked_per_s: f32,
    /// Requests a second that came back after a refusal.
    pub returned_per_s: f32,
    /// Requests a second that an engine began to answer.
    pub begun_per_s: f32,
    /// Requests a second that were refused.
    pub refused_per_s: f32,
    /// Those among them whose tenant was over its share.
    pub over_share_per_s: f32,
    /// Calls a second that engines refused.
    pub engine_refusals_per_s: f32,
    /// Slots of engines that answers took up, on average.
    pub busy_slots: f32,
    /// Prompt tokens a second that engines had to prefill.
    pub prefill_tokens_per_s: f32,
    /// Requests that wait at nodes for a place at an engine.
    pub waiting: f32,
    /// Callers that were given a time to come back which is not over.
    pub returns_due: f32,
}

impl ClassFigures {
    /// Whether each figure is one that a node can have counted.
    pub fn is_sound(&self) -> bool {
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
        rates.all(|rate| is_rate(rate, MOST_PER_S))
            && is_rate(self.prefill_tokens_per_s, MOST_TOKENS_PER_S)
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

/// Work of requests, in both units in which a pool can be short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct WorkRate {
    /// Slots of engines that it takes up, on average.
    pub slots: f32,
    /// Prompt tokens a second that engines have to prefill for it.
    pub prompt_tokens_per_s: f32,
}

impl WorkRate {
    fn is_sound(&self) -> bool {
        is_rate(self.slots, MOST_PER_S) && is_rate(self.prompt_tokens_per_s, MOST_TOKENS_PER_S)
    }
}

impl AddAssign<&Self> for WorkRate {
    fn add_assign(&mut self, other: &Self) {
        self.slots += other.slots;
        self.prompt_tokens_per_s += other.prompt_tokens_per_s;
    }
}

/// What one tenant asks of a pool. Each is a mean over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TenantFigures {
    /// Work that it asks for, served or not, repeats among it.
    pub asked: WorkRate,
    /// Work that engines began for it.
    pub begun: WorkRate,
}

impl TenantFigures {
    /// Whether each figure is one that a node can have counted.
    pub fn is_sound(&self) -> bool {
        self.asked.is_sound() && self.begun.is_sound()
    }
}

impl AddAssign<&Self> for TenantFigures {
    fn add_assign(&mut self, other: &Self) {
        self.asked += &other.asked;
        self.begun += &other.begun;
    }
}

/// A short number for a tenant: names may be long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct TenantCode(pub u64);

impl TenantCode {
    /// All tenants that no other row names.
    pub const OTHERS: Self = Self(0);

    /// Callers that show no key, together.
    pub const ANONYMOUS: Self = Self(1);

    /// The number of a tenant, the same at all nodes. Two tenants with the same number share one part.
    pub fn of(name: &TenantName) -> Self {
        Self(text_hash(name.as_str()).max(Self::ANONYMOUS.0 + 1))
    }
}

/// How slow one engine is at one kind of work, as a sum of weighted observations: that of several nodes is the
/// sum of theirs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SlownessFigures {
    /// Observations, each counted less the longer ago it was.
    pub weight: f32,
    /// Sum of the logarithms of the time taken over the usual one, weighted alike.
    pub log_slowness: f32,
}

/// Observations that one node can have of one engine, each counted less the longer ago it was.
const MOST_WEIGHT: f32 = 1e4;

/// Engines are taken to differ by this factor at most, as a logarithm.
const MOST_LOG_SLOWNESS: f32 = 4.0;

impl SlownessFigures {
    /// Whether the figures are such that nodes can have counted them.
    pub fn is_sound(&self) -> bool {
        is_rate(self.weight, MOST_WEIGHT * 1e3)
            && self.log_slowness.abs() <= self.weight * MOST_LOG_SLOWNESS
    }

    /// The time taken over the usual one, where `prior` observations of a usual engine count beside.
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

/// Kinds of work at which an engine may be slow by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum WorkKind {
    /// It prefills prompts.
    Prefill,
    /// It generates.
    Decode,
    /// It serves requests that are no prompts.
    Opaque,
}
