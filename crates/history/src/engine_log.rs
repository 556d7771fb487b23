//! What an engine logs: orders it was given and attempts it ran.

use dalestand_types::{AttemptId, EngineId, Epoch, Incarnation, Order, RequestId, Role};
use serde::{Deserialize, Serialize};

/// What happened to an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum RunLogEvent {
    /// It was accepted and will run.
    Accepted,
    /// Its first token was generated.
    Started,
    /// All its tokens were generated.
    Finished { tokens: u32 },
    /// It was cancelled, or its connection was closed.
    Cancelled { tokens: u32 },
}

/// One line of the run log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLogEntry {
    /// Microseconds since the engine's start.
    pub at_micros: u64,
    /// The caller's request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptId,
    /// Key under which it may run once.
    pub once_key: Option<String>,
    /// What happened.
    #[serde(flatten)]
    pub event: RunLogEvent,
}

/// One line of the order log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum OrderLogEntry {
    /// The highest epoch rose.
    EpochRaised {
        at_micros: u64,
        incarnation: Incarnation,
        epoch: Epoch,
    },
    /// An order was taken.
    Taken { at_micros: u64, order: Order },
    /// An order was finished.
    Done {
        at_micros: u64,
        order: Order,
        role: Option<Role>,
    },
    /// An order was refused, with the answer given.
    Refused {
        at_micros: u64,
        order: Order,
        answer: String,
    },
}

/// An entry of either log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineLogEntry {
    /// Of the order log.
    Order(OrderLogEntry),
    /// Of the run log.
    Run(RunLogEntry),
}

/// An entry as an engine prints it, so that it outlives the engine's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLogLine {
    /// The engine.
    pub engine: EngineId,
    /// Its run.
    pub incarnation: Incarnation,
    /// What it logged.
    pub entry: EngineLogEntry,
}
