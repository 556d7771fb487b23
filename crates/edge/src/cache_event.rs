//! What an engine tells of its prefix cache. Events come late and some are lost.

use dalestand_types::Sequence;
use serde::{Deserialize, Serialize};

/// Hash of a prompt's leading tokens, as the engine computes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// What happened to a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// Its KV cache is held.
    Stored,
    /// Its KV cache is not held any more.
    Evicted,
}

/// One event. Sequences rise by one; a missing one is an event that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its place among the engine's events, from 1.
    pub sequence: Sequence,
    /// The prefix.
    pub prefix: PrefixHash,
    /// Tokens of the prefix.
    pub tokens: u32,
    /// What happened to it.
    pub change: CacheChange,
}

/// Events after the one a reader knew last.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
    /// Whether events after the known one are not kept any more.
    pub missed: bool,
}
