//! Events of an engine's prefix cache. Events may arrive late or be lost.

use dalestand_types::Sequence;
use serde::{Deserialize, Serialize};

/// Hash of the leading tokens of a prompt, as computed by the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PrefixHash(pub u64);

/// Change of a prefix in the cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The KV cache of the prefix was stored.
    Stored,
    /// The KV cache of the prefix was evicted.
    Evicted,
}

/// A cache event. Sequence numbers increase by one; a gap means that events were lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number among the engine's events, starting at 1.
    pub sequence: Sequence,
    pub prefix: PrefixHash,
    /// Length of the prefix in tokens.
    pub tokens: u32,
    pub change: CacheChange,
}

/// Events after the last one known to the reader.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// The events, oldest first.
    pub events: Vec<CacheEvent>,
    /// Whether some of the requested events are missing, because the engine has discarded them.
    pub missed: bool,
}
