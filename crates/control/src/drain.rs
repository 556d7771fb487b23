//! Draining of an engine before an order that takes it out of service.
//!
//! The holder first marks the engine as draining in its digests, so that nodes send it no new
//! requests. It sends the order once the engine has reported for a while that it has no requests.
//! Until a node receives the digest, its requests still reach a serving engine. The engine itself
//! finishes or rejects a request that arrives between its last report and the order.

use std::time::Duration;

use dalestand_types::{EngineOrders, MonotonicTime, OrderCommand};

/// How long an engine must report no requests before it counts as drained.
const MIN_EMPTY_DURATION: Duration = Duration::from_millis(1_000);

/// A drain in progress.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Drain {
    empty_since: Option<MonotonicTime>,
    last_report: Option<MonotonicTime>,
}

impl Drain {
    pub(crate) fn apply_report(&mut self, now: MonotonicTime, requests: u32) {
        self.last_report = Some(now);
        if requests > 0 {
            self.empty_since = None;
        } else {
            self.empty_since.get_or_insert(now);
        }
    }

    /// Whether the engine has been empty for [`MIN_EMPTY_DURATION`] according to its reports.
    pub(crate) fn is_done(&self) -> bool {
        let (Some(since), Some(last)) = (self.empty_since, self.last_report) else {
            return false;
        };
        last.since(since) >= MIN_EMPTY_DURATION
    }
}

/// Whether a command interrupts requests that the engine serves now: a role change, the unloading of a
/// model or adapter, or the replacement of a model by another version.
pub(crate) fn interrupts_service(state: &EngineOrders, command: &OrderCommand) -> bool {
    match command {
        OrderCommand::AssumeRole { .. }
        | OrderCommand::UnloadModel { .. }
        | OrderCommand::UnloadAdapter { .. } => true,
        OrderCommand::LoadModel { model, .. } => {
            state.models.iter().any(|loaded| loaded.model == *model)
        }
        OrderCommand::LoadAdapter { .. } => false,
    }
}
