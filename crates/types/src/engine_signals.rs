//! Signals about an engine's state that its responses carry.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Requests per second in fixed-point thousandths, so that rates of different nodes compare exactly and
/// serialise compactly.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Number of stored units in one request per second.
    const SCALE: f64 = 1_000.0;

    /// Converts a rate in requests per second. `None` if it is negative or not finite. Rates above about
    /// 4.29 million saturate.
    pub fn per_second(rate: f64) -> Option<Self> {
        let is_rate = rate.is_finite() && rate >= 0.0;
        // A float-to-integer `as` cast saturates.
        is_rate.then_some(Self((rate * Self::SCALE).round() as u32))
    }

    /// The rate in requests per second.
    pub fn as_per_second(self) -> f64 {
        f64::from(self.0) / Self::SCALE
    }
}

impl fmt::Display for RequestRate {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/s", self.as_per_second())
    }
}

/// The request rate limit that a response announces for its engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LimitSignal {
    /// No limit: only the engine's slots bound its requests.
    #[default]
    Absent,
    /// The limit on the total rate from all nodes.
    Rate(RequestRate),
    /// A value that is not a valid rate.
    Invalid,
}

/// Signals in the headers of one response about the engine that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineSignals {
    /// Whether the engine is about to shut down and accepts no further requests.
    pub draining: bool,
    /// How long the receiving node must send the engine no requests; never zero.
    pub backoff: Option<Duration>,
    /// The request rate limit.
    pub limit: LimitSignal,
}

impl EngineSignals {
    /// Whether the response carries no signal.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
