//! What an engine says of itself beside its answers to requests.

use std::time::Duration;

/// What the head of one answer says of the engine that sent it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EngineSignals {
    /// It is about to end and wants no further requests.
    pub drains: bool,
    /// It wants no calls of the node that it answers for so long; never zero.
    pub backoff: Option<Duration>,
}

impl EngineSignals {
    /// Whether the answer says nothing of its engine.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}
