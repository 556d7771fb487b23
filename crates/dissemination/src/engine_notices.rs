//! What engines said of themselves, as nodes tell each other.

use serde::{Deserialize, Serialize};

use crate::membership::NodeNumber;

/// One start of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct EngineStart {
    /// Number of the engine.
    pub engine: u64,
    /// When it started, by its own clock, in milliseconds since 1970; 0 where that is not known.
    pub born: u64,
}

/// What engines said of themselves.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineNotices {
    /// The node that tells.
    pub node: NodeNumber,
    /// Engines that drain.
    pub draining: Vec<EngineStart>,
    /// The starts that stand: entries as nodes pass them on don't name them, so that builds without them
    /// read the entries of all.
    pub starts: Vec<EngineStart>,
}
