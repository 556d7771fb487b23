//! Requests and attempts of a run.

use dalestand_routing::{Placement, Ticket};
use dalestand_types::EngineId;

use super::workload::OfferedRequest;

/// A request as its node sees it.
#[derive(Clone, Debug)]
pub(crate) struct Request {
    /// Place among the offered requests.
    pub(crate) offered: usize,
    /// When its caller sent it.
    pub(crate) sent_us: u64,
    /// Whether it is a refused caller who has come back; such are counted apart.
    pub(crate) returned: bool,
    /// Engines that refused it.
    pub(crate) tried: Vec<EngineId>,
    /// Refusals so far.
    pub(crate) refusals: u32,
    /// Times it was started again after an engine broke.
    pub(crate) restarts: u32,
    /// Times an engine took it for its answer.
    pub(crate) starts: u32,
    /// Engine that holds its KV cache, with the run of that engine.
    pub(crate) prefilled: Option<(usize, u64)>,
    /// When its first token came to the caller.
    pub(crate) first_token_us: Option<u64>,
}

impl Request {
    /// A request that has just been sent.
    pub(crate) fn new(place: usize, offered: &OfferedRequest) -> Self {
        Self {
            offered: place,
            sent_us: offered.sent_us,
            returned: false,
            tried: Vec::new(),
            refusals: 0,
            restarts: 0,
            starts: 0,
            prefilled: None,
            first_token_us: None,
        }
    }

    /// The same request sent again by a refused caller.
    pub(crate) fn sent_again(&self, now_us: u64, offered: &OfferedRequest) -> Self {
        Self {
            sent_us: now_us,
            returned: true,
            ..Self::new(self.offered, offered)
        }
    }
}

/// An attempt at an engine.
#[derive(Clone, Debug)]
pub(crate) struct Attempt {
    pub(crate) request: usize,
    pub(crate) node: usize,
    pub(crate) engine: usize,
    pub(crate) incarnation: u64,
    pub(crate) placement: Placement,
    pub(crate) ticket: Ticket,
    pub(crate) open: bool,
}
