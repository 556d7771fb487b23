//! Tells the router which requests this node has in flight at which engine, and how they ended.

use std::sync::Arc;

use dalestand_routing::{Completion, EngineView, RouteRequest, Ticket};
use dalestand_types::{Placement, Usage};

use crate::shared::SharedState;

/// Counts a request as in flight at an engine until dropped.
pub(crate) struct InFlightGuard {
    shared: Arc<SharedState>,
    ticket: Ticket,
    completion: Completion,
}

impl InFlightGuard {
    /// Records a request that is about to be sent.
    pub(super) fn new(
        shared: &Arc<SharedState>,
        engine: &EngineView,
        route: &RouteRequest,
        placement: Placement,
    ) -> Self {
        let now = shared.clock.now();
        let ticket = shared.router().record_sent(now, engine, route, placement);
        Self {
            shared: Arc::clone(shared),
            ticket,
            completion: Completion::default(),
        }
    }

    /// Records the arrival of the first token.
    pub(crate) fn record_first_token(&mut self) {
        let now = self.shared.clock.now();
        self.shared
            .router()
            .record_first_token(now, &mut self.ticket);
    }

    /// Records that the attempt completed.
    pub(crate) fn complete(&mut self, output_tokens: u32, usage: Usage) {
        self.completion = Completion {
            output_tokens: Some(output_tokens),
            cached_tokens: Some(usage.cached_tokens),
        };
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let now = self.shared.clock.now();
        let mut router = self.shared.router();
        router.record_finished(now, &self.ticket, self.completion);
    }
}
