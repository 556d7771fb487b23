//! Draining of an engine before an order that takes it out of service.
//!
//! The holder first lets the engine take no new work, which its digests tell the other nodes, and
//! gives the order only once the engine has reported for a while that it holds no request. Nodes
//! that have not heard yet still reach an engine that serves. A request that arrives between the
//! last report and the order is the engine's to finish or to refuse.

use std::time::Duration;

use dalestand_types::{EngineOrders, MonotonicTime, OrderCommand};

/// For how long an engine must have reported that it holds nothing.
const QUIET_TIME: Duration = Duration::from_millis(1_000);

/// A drain under way.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Drain {
    empty_since: Option<MonotonicTime>,
    last_report: Option<MonotonicTime>,
}

impl Drain {
    /// Takes a load report in: how many requests the engine held at `now`.
    pub(crate) fn reported(&mut self, now: MonotonicTime, held: u32) {
        self.last_report = Some(now);
        if held > 0 {
            self.empty_since = None;
        } else {
            self.empty_since.get_or_insert(now);
        }
    }

    /// Whether the engine has held nothing for long enough.
    pub(crate) fn is_done(&self) -> bool {
        let (Some(since), Some(last)) = (self.empty_since, self.last_report) else {
            return false;
        };
        last.since(since) >= QUIET_TIME
    }
}

/// Whether a command stops an engine from serving what it serves now: a change of role, a model
/// that goes, or a model that is replaced by another version of it.
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
