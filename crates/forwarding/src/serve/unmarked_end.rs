//! Answers whose end is marked by nothing but the end of the connection.
//!
//! An engine that ends closes its connections just as one that has finished such an answer does, whether or not it had
//! announced its end. Only an engine that still listens shows that it ended the answer itself. docs/FAILURES.md has the
//! outcome for callers in each case.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::{sleep, timeout};
use dalestand_engine_link::{BodyFraming, SendError};

use crate::context::Context;
use crate::fleet::engine_runs::record_no_listener;
use crate::quarantine::engine_end::{EndProof, record_engine_end};
use crate::serve::attempt::EngineAnswer;

/// Time from the end of an answer to the check. When a process ends, its connections may close before its listener.
const LISTENER_CLOSE_DELAY: Duration = Duration::from_millis(50);

/// How often an engine that can't be reached is checked.
pub(crate) const ENGINE_CHECK_INTERVAL: Duration = Duration::from_millis(200);

/// For how long it is checked. Longer than the links' observation takes to find that this node is cut off and to go through
/// another one.
const ENGINE_CHECK_TIMEOUT: Duration = Duration::from_secs(2);

/// What is known of an engine after its connection has ended an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineState {
    /// It still listens, so that it has ended the answer itself.
    Alive,
    /// No connection could be opened, which does not show why.
    Unknown,
    /// It has ended, or nothing listened at its address, so that the answer may be incomplete.
    Ended,
}

/// Checks whether the engine of an answer has ended, if only the end of the connection marks the answer's end. A
/// connection that opens is kept for the next call.
pub(crate) async fn check_engine(context: &Rc<Context>, answer: &EngineAnswer) -> EngineState {
    if answer.body.framing() != BodyFraming::ConnectionClose {
        return EngineState::Alive;
    }
    sleep(LISTENER_CLOSE_DELAY).await;
    let max_connections = context.max_connections(&answer.pool);
    let opened = context.link.open(&answer.target, max_connections).await;
    match opened {
        Ok(()) => return EngineState::Alive,
        Err(SendError::NoListener(_)) => {}
        // No node reaches the engine now. Whoever listens there later may be another process, so that waiting shows nothing.
        Err(SendError::Refused(_)) => return EngineState::Ended,
        Err(_) => return EngineState::Unknown,
    }
    let engine = answer.choice.engine.key;
    record_no_listener(context, engine, &answer.target);
    let is_listed = context.fleet().engine(engine).is_some();
    let is_draining = context.router.borrow().signals.is_draining(engine);
    if is_listed && !is_draining {
        record_engine_end(context, engine, &answer.target.run, EndProof::NoListener);
    } else {
        // An end that was announced is no evidence against the requests at the engine.
        context.budget.borrow_mut().forget_engine(engine);
    }
    EngineState::Ended
}

/// Like [`check_engine`], but goes on for a limited time while the engine can't be reached.
pub(crate) async fn await_engine_state(
    context: &Rc<Context>,
    answer: &EngineAnswer,
) -> EngineState {
    let known_state = async {
        loop {
            match check_engine(context, answer).await {
                EngineState::Unknown => sleep(ENGINE_CHECK_INTERVAL).await,
                state => return state,
            }
        }
    };
    let checked = timeout(ENGINE_CHECK_TIMEOUT, known_state).await;
    checked.unwrap_or(EngineState::Unknown)
}
