//! Events of a history, and violations that checkers find in it.

use dalestand_types::{EngineId, Epoch, GroupId, MonotonicTime, NodeId, RequestId, Revision};

use crate::engine_log::EngineLogLine;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The complete answer was received.
    Complete,
    /// Refused as not run.
    NotRun,
    /// The request was aborted and may have run.
    Unknown,
}

/// An event of a test run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An engine wrote a log entry.
    Engine(EngineLogLine),
    /// A group's lease was granted to a node with an epoch.
    LeaseGranted {
        group: GroupId,
        node: NodeId,
        epoch: Epoch,
    },
    /// A caller sent a request; `expected` is its only correct answer.
    RequestSent {
        request: RequestId,
        expected: String,
    },
    /// A caller received part of an answer.
    TextReceived { request: RequestId, text: String },
    /// A request ended for its caller.
    RequestEnded { request: RequestId, end: RequestEnd },
    /// The machine list shows an engine as leaving.
    EngineLeaving { engine: EngineId },
    /// A configuration was accepted and the operator was told so.
    ConfigurationAccepted { revision: Revision },
    /// A node was observed with this configuration in force.
    ConfigurationInForce { node: NodeId, revision: Revision },
}

/// An event with the recorder's time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedEvent {
    /// When the recorder received the event.
    pub at: MonotonicTime,
    pub event: Event,
}

/// Events in the order in which one recorder received them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The events, oldest first. Events of the same process are in that process's order.
    pub events: Vec<RecordedEvent>,
}

impl History {
    /// Engine log lines with the index of their event in the history.
    pub fn engine_log_lines(&self) -> impl Iterator<Item = (usize, &EngineLogLine)> {
        let events = self.events.iter().enumerate();
        events.filter_map(|(index, recorded)| match &recorded.event {
            Event::Engine(line) => Some((index, line)),
            _ => None,
        })
    }
}

/// The first event that violates a rule.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event {index}: {message}")]
pub struct Violation {
    /// Index of the event in the history; the number of events if the violation is an event that is missing.
    pub index: usize,
    /// How the rule was violated.
    pub message: String,
}

impl Violation {
    /// Creates a violation by the event at `index`.
    pub fn new(index: usize, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { index, message }
    }
}
