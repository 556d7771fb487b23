//! Faults of the engine stand-in.

use serde::{Deserialize, Serialize};

/// Faults of the stand-in; `POST /faults` replaces them all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The process ends as soon as the next role change has begun.
    pub crash_in_role_change: bool,
    /// This many coming orders take effect and their answers are lost.
    pub lose_order_answers: u32,
    /// This many coming requests are accepted and their connections then break.
    pub break_after_accept: u32,
    /// A role change does not wait for the requests that run: it cuts them.
    pub abrupt_role_change: bool,
    /// This many coming requests break off within their answer.
    pub break_in_answer: u32,
    /// Tokens that a request sends before it breaks off within its answer.
    pub break_at_token: u32,
    /// This many coming frames cannot be read.
    pub malformed_frames: u32,
    /// Each frame is sent twice.
    pub duplicate_frames: bool,
    /// Each second frame overtakes the one before it.
    pub reorder_frames: bool,
    /// Each frame is followed by one of another attempt.
    pub foreign_frames: bool,
    /// Load reports are answered this long after they were made, in milliseconds.
    pub load_lag_ms: u64,
    /// Cache events are answered this long after they happened, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// This many coming requests for cache events lose the newest event.
    pub lose_cache_events: u32,
    /// This many coming prompts are run and their KV caches are not held.
    pub forget_exports: u32,
}

/// Takes one from a count of coming faults; whether there was one.
pub(super) fn take_count(count: &mut u32) -> bool {
    if *count == 0 {
        return false;
    }
    *count -= 1;
    true
}
