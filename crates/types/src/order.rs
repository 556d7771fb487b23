//! Fenced orders to engines.
//!
//! An engine keeps the highest epoch it has seen and refuses anything under a lower one. It holds
//! at most one unfinished order, and an order names the one it follows, so that a sender with an
//! outdated picture is refused.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{AdapterName, Epoch, Incarnation, LoadedModel, ModelName, Revision, Role, Version};

/// Identifies an order: the epoch it was given under and its number within that epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId {
    /// Epoch of the lease under which the order was given.
    pub epoch: Epoch,
    /// Number of the order under that epoch, for one engine.
    pub number: u64,
}

impl fmt::Display for OrderId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.number)
    }
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderCommand {
    /// Finish what runs, then serve in another role; takes the engine out for seconds.
    AssumeRole { role: Role },
    /// Fetch a model's weights from the weight store and serve it.
    LoadModel { model: ModelName, version: Version },
    /// Stop serving a model.
    UnloadModel { model: ModelName },
    /// Fetch an adapter and serve it on a loaded model.
    LoadAdapter {
        model: ModelName,
        adapter: AdapterName,
        version: Version,
    },
    /// Stop serving an adapter.
    UnloadAdapter {
        model: ModelName,
        adapter: AdapterName,
    },
}

/// A fenced order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Its identity, which carries the fencing epoch.
    pub id: OrderId,
    /// The last order the sender knows the engine to have taken.
    pub follows: Option<OrderId>,
    /// The run of the engine it is meant for.
    pub incarnation: Incarnation,
    /// Configuration under which it was decided.
    pub revision: Revision,
    /// What to do.
    pub command: OrderCommand,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderPhase {
    /// Taken and not finished.
    Running,
    /// Finished as ordered.
    Done,
    /// Given up by the engine.
    Failed,
}

/// An order as the engine holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// The order.
    pub order: Order,
    /// How far it has come.
    pub phase: OrderPhase,
}

/// An engine's side of the order protocol: what a new lease holder reads back.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrders {
    /// The engine's current run.
    pub incarnation: Incarnation,
    /// The highest epoch seen.
    pub highest_epoch: Epoch,
    /// The role it serves in; `None` while it is out of service for a change.
    pub role: Option<Role>,
    /// The last order taken in this run.
    pub last: Option<OrderStatus>,
    /// Models it can serve.
    pub models: Vec<LoadedModel>,
}

/// The engine's answer to an order or to a raised epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OrderOutcome {
    /// Taken (or already held: a repeated order is not run again).
    Accepted { state: EngineOrders },
    /// The epoch is lower than one already seen: the sender has lost its authority.
    Fenced { state: EngineOrders },
    /// Another order is unfinished, or the order follows one that is not the last.
    Conflict { state: EngineOrders },
    /// The engine's run is not the one the order names.
    OtherIncarnation { state: EngineOrders },
    /// The order cannot be carried out, such as an adapter for a model that is not loaded.
    Impossible { state: EngineOrders, reason: String },
}

impl OrderOutcome {
    /// The engine's state after the answer.
    pub fn state(&self) -> &EngineOrders {
        match self {
            Self::Accepted { state }
            | Self::Fenced { state }
            | Self::Conflict { state }
            | Self::OtherIncarnation { state }
            | Self::Impossible { state, .. } => state,
        }
    }
}
