//! Faults of the simulated engine.

use serde::{Deserialize, Serialize};

/// Faults to inject; `POST /faults` replaces the whole set.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// The process aborts once the next role change has drained the engine.
    pub crash_in_role_change: bool,
    /// Number of orders still to take effect without a response.
    pub lose_order_answers: u32,
    /// Number of requests still to lose their connection right after being accepted.
    pub break_after_accept: u32,
    /// A role change closes the streams of running requests instead of waiting for them.
    pub abrupt_role_change: bool,
    /// Number of requests still to lose their connection within the response.
    pub break_in_answer: u32,
    /// Tokens sent before a response selected by `break_in_answer` is cut.
    pub break_at_token: u32,
    /// Number of malformed lines still to send, each before a frame.
    pub malformed_frames: u32,
    /// Every frame is sent twice.
    pub duplicate_frames: bool,
    /// Frames are sent in swapped pairs, except at the end of a response.
    pub reorder_frames: bool,
    /// Every frame is followed by a frame of another attempt.
    pub foreign_frames: bool,
    /// Age at which a load report becomes visible, in milliseconds.
    pub load_lag_ms: u64,
    /// Age at which a cache event becomes visible, in milliseconds.
    pub cache_event_lag_ms: u64,
    /// Number of cache event queries still to drop the newest event.
    pub lose_cache_events: u32,
    /// Number of prefilled prompts whose KV cache is still to be dropped instead of exported.
    pub forget_exports: u32,
}

/// Decrements a count of remaining faults; returns whether it was above zero.
pub(super) fn consume_one(count: &mut u32) -> bool {
    if *count == 0 {
        return false;
    }
    *count -= 1;
    true
}
