//! Log entries of engines: orders received and attempts run.

use dalestand_types::{AttemptId, EngineId, Epoch, Incarnation, Order, RequestId, Role};
use serde::{Deserialize, Serialize};

/// Event in the life of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum RunLogEvent {
    /// It was accepted and will run.
    Accepted,
    /// Its first token was generated.
    Started,
    /// All its tokens were generated.
    Finished { tokens: u32 },
    /// It was cancelled or its connection was closed, after `tokens` tokens.
    Cancelled { tokens: u32 },
}

/// One line of the run log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunLogEntry {
    /// Time of the event, in microseconds since the engine's start.
    pub at_micros: u64,
    /// Identifier of the caller's request.
    pub request: RequestId,
    pub attempt: AttemptId,
    /// Idempotency key, if the request may run at most once.
    pub once_key: Option<String>,
    #[serde(flatten)]
    pub event: RunLogEvent,
}

/// One line of the order log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum OrderLogEntry {
    /// The highest epoch seen increased.
    EpochRaised {
        at_micros: u64,
        incarnation: Incarnation,
        epoch: Epoch,
    },
    /// An order was accepted.
    Taken { at_micros: u64, order: Order },
    /// An order was finished.
    Done {
        at_micros: u64,
        order: Order,
        role: Option<Role>,
    },
    /// An order was refused; `answer` is the engine's response.
    Refused {
        at_micros: u64,
        order: Order,
        answer: String,
    },
}

/// An entry of the order log or the run log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineLogEntry {
    /// Entry of the order log.
    Order(OrderLogEntry),
    /// Entry of the run log.
    Run(RunLogEntry),
}

/// A line that an engine prints for each entry, so that entries outlive the engine's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineLogLine {
    pub engine: EngineId,
    /// The engine's incarnation when it wrote the entry.
    pub incarnation: Incarnation,
    pub entry: EngineLogEntry,
}
