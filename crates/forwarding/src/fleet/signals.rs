//! What engines say of themselves in their answers.

use dalestand_routing::staged::StagedEngine;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::EngineSignals;

use crate::context::Context;

/// Takes in what an answer says of its engine.
pub(crate) fn take(context: &Context, engine: &StagedEngine, said: EngineSignals) {
    let now = context.now();
    let is_news = {
        let mut router = context.router.borrow_mut();
        router.signals.note(now, engine.key, said)
    };
    if !is_news {
        return;
    }
    if said.drains {
        log_event!(context.logger, Event::EngineDrains, "engine" => &*engine.run);
    }
    if let Some(backoff) = said.backoff {
        log_event!(context.logger, Event::EngineBacksOff, "engine" => &*engine.run,
            "backoff_ms" => backoff.as_millis() as u64);
    }
}
