//! How a node learns that an engine's run has ended, and which requests it ended under.

use std::rc::Rc;

use dalestand_engine_link::SendError;
use dalestand_routing::staged::{EngineKey, StagedEngine};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::quarantine::engine_runs::engine_run;
use crate::quarantine::evidence::attribute;

/// What proves that an engine's run has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndProof {
    /// Nothing listens at its address.
    NoListener,
    /// Its entry is gone, and it had not said that it leaves.
    EntryGone,
    /// It has started again.
    StartedAgain,
}

/// Asks an engine that broke an answer off whether it still listens. An entry lapses seconds after its
/// engine ended; this tells within a round trip, and a connection that opens is kept for the next call.
pub(crate) fn check_listener(context: &Rc<Context>, pool: &PoolName, engine: &StagedEngine) {
    let is_first = context.quarantine.checked.borrow_mut().insert(engine.key);
    if !is_first {
        return;
    }
    let context = Rc::clone(context);
    let (pool, engine) = (pool.clone(), engine.key);
    actix_rt::spawn(async move {
        ask_listener(&context, &pool, engine).await;
        context.quarantine.checked.borrow_mut().remove(&engine);
    });
}

/// The same, for who must know before it goes on.
pub(crate) async fn ask_listener(context: &Rc<Context>, pool: &PoolName, engine: EngineKey) {
    let Some(known) = context.fleet().engine(engine).cloned() else {
        return;
    };
    let max_connections = context.max_connections(pool);
    let opened = context.link.open(&known.target(), max_connections).await;
    if matches!(opened, Err(SendError::NoListener(_))) {
        record_engine_end(context, engine, &known.run, EndProof::NoListener);
    }
}

/// Notes that an engine's run has ended.
pub(crate) fn record_engine_end(context: &Context, engine: EngineKey, name: &str, proof: EndProof) {
    let run = engine_run(context, engine);
    let requests = {
        let mut runs = context.quarantine.unfinished.borrow_mut();
        if runs.has_ended(run) {
            return;
        }
        runs.record_engine_end(context.now(), run)
    };
    log_event!(context.logger, Event::EngineEnded, "engine" => name, "proof" => ?proof,
        "requests" => requests.len());
    for fingerprint in requests {
        attribute(context, name, run, fingerprint);
    }
}
