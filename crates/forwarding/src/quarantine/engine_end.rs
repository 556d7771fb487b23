//! Detects that an engine run has ended, and attributes the end to the requests that were
//! unfinished there.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::{sleep, timeout};
use dalestand_engine_link::SendError;
use dalestand_routing::staged::{EngineKey, StagedEngine};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::PoolName;

use crate::context::Context;
use crate::fleet::engine_runs::{record_no_listener, record_refused};
use crate::quarantine::engine_run_id::engine_run_id;
use crate::quarantine::evidence::attribute_crash;

/// Evidence that an engine run has ended. Logged by `Debug`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndProof {
    /// Nothing listens at its address any more.
    NoListener,
    /// Its entry has gone, and it had not announced that it drains.
    EntryGone,
    /// It has started again under the same name.
    StartedAgain,
}

/// Starts a check whether an engine that broke off an answer still listens, unless one is running.
/// A crashed engine's entry takes seconds to lapse, while a connection attempt takes one round
/// trip; a connection that opens is kept for the next call.
pub(crate) fn spawn_listener_check(context: &Rc<Context>, pool: &PoolName, engine: &StagedEngine) {
    context.engine_runs.doubt(engine.key);
    let is_first = context
        .quarantine
        .listener_checks
        .borrow_mut()
        .insert(engine.key);
    if !is_first {
        return;
    }
    let context = Rc::clone(context);
    let (pool, engine) = (pool.clone(), engine.key);
    actix_rt::spawn(async move {
        check_listener(&context, &pool, engine).await;
        context
            .quarantine
            .listener_checks
            .borrow_mut()
            .remove(&engine);
    });
}

/// Longest wait for checks under way: a check asks other nodes too.
const CHECKS_TIMEOUT: Duration = Duration::from_millis(200);

/// How often [`await_listener_checks`] looks.
const CHECKS_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Waits until no check is under way, for a limited time.
pub(crate) async fn await_listener_checks(context: &Context) {
    let done = async {
        while !context.quarantine.listener_checks.borrow().is_empty() {
            sleep(CHECKS_POLL_INTERVAL).await;
        }
    };
    // After the time limit the request goes on: an engine that does not answer is no evidence.
    let _ = timeout(CHECKS_TIMEOUT, done).await;
}

/// Checks whether an engine still listens, and waits for the result.
pub(crate) async fn check_listener(context: &Rc<Context>, pool: &PoolName, engine: EngineKey) {
    let Some(known) = context.fleet().engine(engine).cloned() else {
        return;
    };
    let max_connections = context.max_connections(pool);
    let target = known.target();
    let opened = context.link.open(&target, max_connections).await;
    if matches!(opened, Err(SendError::Refused(_))) {
        record_refused(context, engine, &target);
    }
    if matches!(opened, Err(SendError::NoListener(_))) {
        record_no_listener(context, engine, &target);
        record_engine_end(context, engine, &known.run, EndProof::NoListener);
    }
}

/// Records that an engine run has ended, and attributes a crash to each request unfinished there.
pub(crate) fn record_engine_end(context: &Context, engine: EngineKey, name: &str, proof: EndProof) {
    let run = engine_run_id(context, engine);
    // Without an entry a process may still run and read what was sent to it.
    if proof != EndProof::EntryGone {
        context.budget.borrow_mut().forget_engine(engine);
    }
    let requests = {
        let mut runs = context.quarantine.unfinished.borrow_mut();
        if runs.has_ended(run) {
            return;
        }
        runs.record_engine_end(context.evidence_time(), run)
    };
    log_event!(context.logger, Event::EngineEnded, "engine" => name, "proof" => ?proof,
        "requests" => requests.len());
    for request in requests {
        attribute_crash(context, name, run, &request);
    }
}
