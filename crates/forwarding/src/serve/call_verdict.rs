//! Classifies the results of calls to engines.

use std::time::Duration;

use actix_http::header::CONTENT_ENCODING;
use dalestand_engine_link::{Exchange, SendError};
use dalestand_routing::staged::AttemptResult;
use dalestand_routing::{CallOutcome, CallPurpose};

use crate::serve::engine_send::{CallError, EngineReply};
use crate::serve::progress::{CallSignals, NO_CONNECTION};

/// Classification of the result of a call.
pub(super) enum Verdict {
    /// A response to the request.
    Valid(Box<Exchange>),
    /// The engine reported that it did not run the request.
    Refused,
    /// Nothing was sent.
    NotSent,
    /// Nothing was sent, since nothing listens at the engine's address.
    NoListener,
    /// Nothing was sent, since all connections to the engine are in use.
    NoConnection,
    /// Nothing was sent, since the engine is closed to the call.
    Withheld,
    /// There is no valid response, and the request may have run.
    Broken,
    /// The engine reset a new connection, probably for lack of room, and the request may have run.
    ResetWhenNew,
    /// There was no response in time.
    NoResponse,
}

impl Verdict {
    /// Name for logs and metrics, and what the result says about the engine's health after a call of `took`.
    pub(super) fn label_and_result(&self, took: Duration) -> (&'static str, Option<AttemptResult>) {
        match self {
            Self::Valid(exchange) if exchange.head.status.is_server_error() => {
                ("answered", Some(AttemptResult::Failed))
            }
            Self::Valid(_) => ("answered", Some(AttemptResult::Success(took))),
            Self::Refused => ("refused", Some(AttemptResult::Refused)),
            Self::NotSent => ("not sent", Some(AttemptResult::NoResponse)),
            Self::NoListener => ("no listener", Some(AttemptResult::NoResponse)),
            Self::Withheld => ("withheld", None),
            Self::NoConnection => (NO_CONNECTION, None),
            Self::Broken => ("broken", Some(AttemptResult::Failed)),
            Self::ResetWhenNew => ("reset", None),
            Self::NoResponse => ("silent", Some(AttemptResult::NoResponse)),
        }
    }

    /// Whether the result shows that the engine did not run the request.
    pub(super) fn shows_not_run(&self) -> bool {
        match self {
            Self::Refused
            | Self::NotSent
            | Self::NoListener
            | Self::Withheld
            | Self::NoConnection => true,
            Self::Valid(_) | Self::Broken | Self::ResetWhenNew | Self::NoResponse => false,
        }
    }

    /// How the call counts among those of its request.
    pub(super) fn call_outcome(&self) -> CallOutcome {
        match self {
            Self::Valid(_) => CallOutcome::Accepted,
            Self::Refused | Self::Broken | Self::ResetWhenNew | Self::NoResponse => {
                CallOutcome::NotAccepted
            }
            Self::NotSent | Self::NoListener | Self::Withheld | Self::NoConnection => {
                CallOutcome::NotDelivered
            }
        }
    }
}

/// Why an answer without the mark of requests that ran can't be passed on, for logs and metrics.
const UNMARKED: &str = "unmarked";

/// Why an answer with an encoding, which was not asked for, can't be passed on.
const ENCODED: &str = "content encoding";

/// Classifies the result of a call, `None` if it was given up; with what the engine signalled.
pub(super) fn classify(
    purpose: CallPurpose,
    answered: Option<Result<EngineReply, CallError>>,
) -> (Verdict, CallSignals) {
    let no_signals = CallSignals::default();
    let reply = match answered {
        None => return (Verdict::NoResponse, no_signals),
        Some(Err(CallError::Closed(closed))) => return (Verdict::Withheld, closed.into()),
        Some(Err(CallError::Link(error))) => {
            let is_stray = matches!(error, SendError::StrayResponse(_));
            let malformed = match error {
                SendError::Malformed(reason) => Some(reason.label()),
                _ => None,
            };
            let signals = CallSignals {
                stray_answers: usize::from(is_stray),
                malformed,
                ..no_signals
            };
            return (classify_error(&error), signals);
        }
        Some(Ok(reply)) => reply,
    };
    let signals = CallSignals {
        reported: reply.facts.signals,
        path: reply.exchange.path,
        connection: Some(reply.exchange.connection),
        stray_answers: reply.exchange.skipped_responses,
        ..no_signals
    };
    if reply.facts.refused {
        return (Verdict::Refused, signals);
    }
    let malformed = unusable_success(purpose, &reply);
    if malformed.is_some() {
        let signals = CallSignals {
            malformed,
            ..signals
        };
        return (Verdict::Broken, signals);
    }
    (Verdict::Valid(Box::new(reply.exchange)), signals)
}

/// Why an answer says that the request succeeded and still can't be the engine's own.
fn unusable_success(purpose: CallPurpose, reply: &EngineReply) -> Option<&'static str> {
    let head = &reply.exchange.head;
    if !head.status.is_success() {
        return None;
    }
    if purpose == CallPurpose::Run && !reply.facts.marked {
        return Some(UNMARKED);
    }
    let is_encoded = head.headers.contains_key(CONTENT_ENCODING);
    is_encoded.then_some(ENCODED)
}

fn classify_error(error: &SendError) -> Verdict {
    match error {
        SendError::ConnectionLimitReached(_) => Verdict::NoConnection,
        SendError::NoListener(_) => Verdict::NoListener,
        SendError::NotSent(_) | SendError::Refused(_) => Verdict::NotSent,
        SendError::NotEligible => Verdict::Withheld,
        SendError::ResetWhenNew(_) => Verdict::ResetWhenNew,
        SendError::StrayResponse(_) | SendError::Malformed(_) | SendError::MayHaveRun(_) => {
            Verdict::Broken
        }
    }
}
