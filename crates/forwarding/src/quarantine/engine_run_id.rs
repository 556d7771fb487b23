//! Fleet-wide identifiers of engine runs.

use dalestand_quarantine::EngineRunId;
use dalestand_routing::staged::{EngineKey, rendezvous_weight};

use crate::context::Context;

/// The identifier of an engine's current run. An engine that restarts under the same name gets a
/// new one, so that a second crash counts as another.
pub(super) fn engine_run_id(context: &Context, engine: EngineKey) -> EngineRunId {
    match context.router.borrow().signals.started_at_ms(engine) {
        0 => EngineRunId(engine.0),
        born => EngineRunId(rendezvous_weight(engine.0, born)),
    }
}
