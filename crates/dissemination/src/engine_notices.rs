//! Announcements by engines about themselves, in messages between nodes.

use serde::{Deserialize, Serialize};

use crate::membership::NodeNumber;

/// One start of an engine process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize, Serialize)]
pub struct EngineStart {
    /// Id of the engine.
    pub engine: u64,
    /// Start time by the engine's own clock, in milliseconds since 1970; 0 if unknown.
    pub started_at_ms: u64,
}

/// Announcements by engines about themselves.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineNotices {
    /// The sender.
    pub node: NodeNumber,
    /// Engines that drain.
    pub draining: Vec<EngineStart>,
    /// Current starts of engines. Entries as relayed between nodes leave them out, so that builds that
    /// do not know about starts can read them.
    pub starts: Vec<EngineStart>,
}

/// What a node has found about the runs of engines.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EngineRuns {
    /// The sender.
    pub node: NodeNumber,
    /// Starts that have ended: nothing listened at the engine's address.
    pub ended: Vec<EngineStart>,
    /// Starts that the engine itself has just confirmed.
    pub confirmed: Vec<EngineStart>,
}
