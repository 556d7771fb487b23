//! What engines say of themselves in their answers, as this node and others heard it.

use std::sync::Arc;

use dalestand_routing::staged::{EngineKey, StagedEngine};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::EngineSignals;

use crate::context::Context;
use crate::spread::draining::DrainSource;

/// Takes in what an answer says of its engine.
pub(crate) fn take(context: &Context, engine: &StagedEngine, said: EngineSignals) {
    if said.drains {
        take_drain(context, engine.key, DrainSource::OwnAnswer);
    }
    if let Some(backoff) = said.backoff {
        let now = context.now();
        let place = rand::random_range(0.0..1.0);
        let mut router = context.router.borrow_mut();
        if router.signals.note_backoff(now, engine.key, backoff, place) {
            log_event!(context.logger, Event::EngineBacksOff, "engine" => &*engine.run,
                "backoff_ms" => backoff.as_millis() as u64);
        }
    }
}

/// Takes an engine out that has said to this node or to another that it drains.
pub(crate) fn take_drain(context: &Context, engine: EngineKey, source: DrainSource) {
    let run = context
        .fleet()
        .engine(engine)
        .map(|known| Arc::clone(&known.run));
    if !context.engine_drains(engine) {
        return;
    }
    log_event!(context.logger, Event::EngineDrains, "engine" => run.as_deref().unwrap_or_default(),
        "source" => ?source);
    context.spread.draining.push(engine, source);
}
