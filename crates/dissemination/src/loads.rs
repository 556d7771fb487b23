//! Loads of engines on their way between nodes.

use dalestand_routing::staged::EngineKey;
use serde::{Deserialize, Serialize};

use crate::membership::NodeNumber;

/// A short number for an engine: loads are most of what members receive. Among 10,000 engines two have
/// the same with a chance of 1 in 86; what is said of the number then counts for both, so that each gets
/// somewhat less than its part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
#[serde(transparent)]
pub struct EngineCode(pub u32);

impl EngineCode {
    /// The short number of an engine.
    pub fn of(engine: EngineKey) -> Self {
        Self(engine.0 as u32)
    }
}

/// Work at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineCode,
    /// Requests sent there and not over.
    pub requests: u32,
    /// Those of them whose first token has not come.
    pub starting: u32,
    /// Prompt tokens sent there and not yet prefilled.
    pub unread_tokens: u64,
}

/// Loads of the engines whose codes lie in one of equal slices of all codes. A slice stands by itself:
/// one that is lost costs the news of its engines and of no other.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LoadSlice {
    /// Which slice this is.
    pub slice: u16,
    /// Number of slices, a power of two.
    pub slices: u16,
    /// The loads, by code.
    pub loads: Vec<EngineLoad>,
}

/// Loads in one message: 5 KB.
const SLICE_LOADS: usize = 400;

/// Most slices: 1,600,000 busy engines.
const MOST_SLICES: u16 = 4_096;

impl LoadSlice {
    /// All loads, ordered by code, in as many slices as they need: one up to 400.
    pub fn cut(loads: Vec<EngineLoad>) -> Vec<Self> {
        let needed = loads.len().div_ceil(SLICE_LOADS).next_power_of_two();
        let slices = u16::try_from(needed)
            .unwrap_or(MOST_SLICES)
            .min(MOST_SLICES);
        let slice_of = |code: EngineCode| {
            let place = u64::from(code.0) * u64::from(slices);
            (place >> u32::BITS) as u16
        };
        let empty = |slice| Self {
            slice,
            slices,
            loads: Vec::new(),
        };
        let mut cut: Vec<Self> = (0..slices).map(empty).collect();
        for load in loads {
            cut[usize::from(slice_of(load.engine))].loads.push(load);
        }
        cut
    }

    /// Whether there is such a slice.
    pub fn is_sound(&self) -> bool {
        self.slice < self.slices && self.slices <= MOST_SLICES
    }
}

/// Whose loads a message has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum LoadScope {
    /// Those of the sender and its members.
    Members,
    /// Those of the whole fleet.
    Fleet,
}

/// Loads by themselves.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LoadsMessage {
    /// The relay that sends them.
    pub node: NodeNumber,
    /// Whose loads they are.
    pub scope: LoadScope,
    /// Mean age of the work, in milliseconds.
    pub age_ms: u32,
    /// The loads.
    pub work: LoadSlice,
}
