//! Answers whose end is marked by nothing but the end of the connection.
//!
//! An engine that crashes ends its connections just as one that has finished such an answer does. Whether it still
//! listens tells the two apart.

use std::rc::Rc;

use dalestand_engine_link::{BodyFraming, SendError};

use crate::context::Context;
use crate::quarantine::engine_end::{EndProof, record_engine_end};
use crate::serve::attempt::EngineAnswer;

/// What is known of an engine after its connection has ended an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineState {
    /// It still listens.
    Alive,
    /// No connection could be opened, which does not show why.
    Unknown,
    /// It has ended, as it had announced.
    Left,
    /// It has ended unannounced.
    Crashed,
}

/// Checks whether the engine of an answer has ended, if only the end of the connection marks the answer's end. A
/// connection that opens is kept for the next call.
pub(crate) async fn check_engine(context: &Rc<Context>, answer: &EngineAnswer) -> EngineState {
    if answer.body.framing() != BodyFraming::ConnectionClose {
        return EngineState::Alive;
    }
    let max_connections = context.max_connections(&answer.pool);
    let opened = context.link.open(&answer.target, max_connections).await;
    match opened {
        Ok(()) | Err(SendError::ConnectionLimitReached(_)) => return EngineState::Alive,
        Err(SendError::NoListener(_)) => {}
        Err(_) => return EngineState::Unknown,
    }
    let engine = answer.choice.engine.key;
    let is_listed = context.fleet().engine(engine).is_some();
    let is_draining = context.router.borrow().signals.is_draining(engine);
    record_engine_end(context, engine, &answer.target.run, EndProof::NoListener);
    if is_listed && !is_draining {
        EngineState::Crashed
    } else {
        EngineState::Left
    }
}
