//! The numbers under which nodes speak of engines' runs.

use dalestand_quarantine::EngineRunId;
use dalestand_routing::staged::{EngineKey, rendezvous_weight};

use crate::context::Context;

/// The number under which nodes speak of an engine's run: an engine that starts again under its name ends
/// another time.
pub(super) fn engine_run(context: &Context, engine: EngineKey) -> EngineRunId {
    match context.router.borrow().signals.started_at_ms(engine) {
        0 => EngineRunId(engine.0),
        born => EngineRunId(rendezvous_weight(engine.0, born)),
    }
}
