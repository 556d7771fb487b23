//! Loads of engines in messages between nodes.

use dalestand_routing::staged::EngineKey;
use serde::{Deserialize, Serialize};

use crate::membership::NodeNumber;

/// A 32-bit engine id that keeps load messages short. Among 10,000 engines, two share a code with a
/// probability of 1 in 86. Loads reported for a shared code then count for both engines, which
/// receive slightly fewer requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Deserialize, Serialize)]
#[serde(transparent)]
pub struct EngineCode(pub u32);

impl EngineCode {
    /// The code of an engine.
    pub fn of(engine: EngineKey) -> Self {
        Self(engine.0 as u32)
    }
}

/// Outstanding work at one engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineLoad {
    /// The engine.
    pub engine: EngineCode,
    /// Requests sent there that have not finished.
    pub requests: u32,
    /// Those among them that have not produced a first token.
    pub starting: u32,
    /// Prompt tokens sent there and not yet prefilled.
    pub unprefilled_tokens: u64,
}

/// Loads of the engines whose codes lie in one of several equal ranges. Slices are independent:
/// losing one affects only its own engines.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct LoadSlice {
    /// Index of the slice.
    pub slice: u16,
    /// Number of slices, a power of two.
    pub slices: u16,
    /// The loads, ordered by code.
    pub loads: Vec<EngineLoad>,
}

/// Loads per message; they encode to about 5 KB.
const MAX_LOADS_PER_SLICE: usize = 400;

/// Limit on the slices of one report, enough for 1,600,000 busy engines.
const MAX_SLICES: u16 = 4_096;

impl LoadSlice {
    /// Splits loads that are ordered by code into as many slices as needed; one for up to 400.
    pub fn split(loads: Vec<EngineLoad>) -> Vec<Self> {
        let needed = loads
            .len()
            .div_ceil(MAX_LOADS_PER_SLICE)
            .next_power_of_two();
        let slices = u16::try_from(needed).unwrap_or(MAX_SLICES).min(MAX_SLICES);
        let slice_of = |code: EngineCode| {
            let scaled = u64::from(code.0) * u64::from(slices);
            (scaled >> u32::BITS) as u16
        };
        let empty = |slice| Self {
            slice,
            slices,
            loads: Vec::new(),
        };
        let mut split: Vec<Self> = (0..slices).map(empty).collect();
        for load in loads {
            split[usize::from(slice_of(load.engine))].loads.push(load);
        }
        split
    }

    /// Whether index and number of slices are in range.
    pub fn is_valid(&self) -> bool {
        self.slice < self.slices && self.slices <= MAX_SLICES
    }
}

/// Which nodes the loads of a message cover.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub enum LoadScope {
    /// The sender and its members.
    Members,
    /// The whole fleet.
    Fleet,
}

/// Loads sent separately from a table or an exchange.
#[derive(Clone, Debug, PartialEq, Deserialize, Serialize)]
pub struct LoadsMessage {
    /// The relay that sends them.
    pub node: NodeNumber,
    /// Which nodes the loads cover.
    pub scope: LoadScope,
    /// Mean age of the work, in milliseconds.
    pub age_ms: u32,
    /// The loads.
    pub work: LoadSlice,
}
