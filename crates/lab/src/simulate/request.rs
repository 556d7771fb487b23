//! Requests and attempts of a run.

use dalestand_routing::{Placement, Ticket};
use dalestand_types::EngineId;

use super::workload::OfferedRequest;

/// State of a request at its node.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Index in the offered requests.
    pub(crate) offered: usize,
    /// When the caller sent it, in microseconds.
    pub(crate) sent_us: u64,
    /// Whether it is the retry of a rejected caller, which is counted separately.
    pub(crate) is_caller_retry: bool,
    /// Engines that rejected it.
    pub(crate) tried: Vec<EngineId>,
    /// Number of rejections by engines.
    pub(crate) rejections: u32,
    /// Number of restarts after an engine failure.
    pub(crate) restarts: u32,
    /// Number of times an engine accepted it to generate its output.
    pub(crate) starts: u32,
    /// Engine that has its KV cache, and the incarnation of that engine.
    pub(crate) prefilled: Option<(usize, u64)>,
    /// When the caller received the first token, in microseconds.
    pub(crate) first_token_at_us: Option<u64>,
}

impl Request {
    /// Creates the request for `offered`; `index` is its index in the offered requests.
    pub(crate) fn new(index: usize, offered: &OfferedRequest) -> Self {
        Self {
            offered: index,
            sent_us: offered.sent_us,
            is_caller_retry: false,
            tried: Vec::new(),
            rejections: 0,
            restarts: 0,
            starts: 0,
            prefilled: None,
            first_token_at_us: None,
        }
    }

    /// Creates the retry of a rejected caller.
    pub(crate) fn caller_retry(&self, now_us: u64, offered: &OfferedRequest) -> Self {
        Self {
            sent_us: now_us,
            is_caller_retry: true,
            ..Self::new(self.offered, offered)
        }
    }
}

/// An attempt at a request on one engine.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) node: usize,
    pub(crate) engine: usize,
    pub(crate) incarnation: u64,
    pub(crate) placement: Placement,
    pub(crate) ticket: Ticket,
    /// Whether the node still waits for signals about it.
    pub(crate) is_open: bool,
}
