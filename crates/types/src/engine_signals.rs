//! What an engine says of itself beside its answers to requests.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Requests a second, kept in thousandths: figures of different nodes are compared, and travel in messages.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Thousandths in one request a second.
    const SCALE: f64 = 1_000.0;

    /// A rate in requests a second. `None` for what is no number of zero or more; more than 4 million a second
    /// count as that.
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        // The conversion stays within the type's bounds.
        is_rate.then_some(Self((rate * Self::SCALE).round() as u32))
    }

    /// Requests a second.
    pub fn as_per_second(self) -> f64 {
        f64::from(self.0) / Self::SCALE
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.as_per_second())
    }
}

/// What an answer says of the requests that its engine takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitSignal {
    /// Nothing: it takes as many as its slots allow.
    #[default]
    Absent,
    /// No more than this from all nodes together.
    Rate(RequestRate),
    /// Something that is no rate.
    Invalid,
}

/// What the head of one answer says of the engine that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineSignals {
    /// It is about to end and wants no further requests.
    pub draining: bool,
    /// It wants no calls of the node that it answers for so long; never zero.
    pub backoff: Option<Duration>,
    /// How many requests it takes.
    pub limit: LimitSignal,
}

impl EngineSignals {
    /// Whether the answer says nothing of its engine.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
