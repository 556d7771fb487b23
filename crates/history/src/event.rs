//! Events of a history and what a checker finds.

use dalestand_types::{EngineId, Epoch, GroupId, MonotonicTime, NodeId, RequestId, Revision};

use crate::engine_log::EngineLogLine;

/// How a request ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// The whole answer came.
    Complete,
    /// Refused as not run.
    NotRun,
    /// Broken off: it may have run.
    Unknown,
}

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// An engine logged something.
    Engine(EngineLogLine),
    /// A group's lease was granted to a node under an epoch.
    LeaseGranted {
        group: GroupId,
        node: NodeId,
        epoch: Epoch,
    },
    /// A caller sent a request; `expected` is the one right answer to it.
    RequestSent {
        request: RequestId,
        expected: String,
    },
    /// A caller received a piece of an answer.
    TextReceived { request: RequestId, text: String },
    /// A request ended for its caller.
    RequestEnded { request: RequestId, end: RequestEnd },
    /// The machine list shows an engine as leaving.
    EngineLeaving { engine: EngineId },
    /// The operator was told that a configuration is accepted.
    ConfigurationAccepted { revision: Revision },
    /// A node was seen with a configuration in force.
    ConfigurationInForce { node: NodeId, revision: Revision },
}

/// An event with the recorder's time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedEvent {
    /// When the recorder saw it.
    pub at: MonotonicTime,
    /// The event.
    pub event: Event,
}

/// Events in the order one recorder saw them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct History {
    /// The events, oldest first. Those of one process keep that process's order.
    pub events: Vec<RecordedEvent>,
}

impl History {
    /// What the engines logged, with the index of each event in the history.
    pub fn engine_log_lines(&self) -> impl Iterator<Item = (usize, &EngineLogLine)> {
        let events = self.events.iter().enumerate();
        events.filter_map(|(index, recorded)| match &recorded.event {
            Event::Engine(line) => Some((index, line)),
            _ => None,
        })
    }
}

/// The first event at which a rule did not hold.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("event {index}: {message}")]
pub struct Violation {
    /// Place of the event in the history, counted from 0.
    pub index: usize,
    /// The rule and how it was broken.
    pub message: String,
}

impl Violation {
    /// A violation at `index`.
    pub fn new(index: usize, message: impl Into<String>) -> Self {
        let message = message.into();
        Self { index, message }
    }
}
