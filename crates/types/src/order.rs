//! Fenced orders to engines.
//!
//! An engine remembers the highest epoch it has seen and refuses orders of lower epochs. It has at most one
//! unfinished order. Each order names its predecessor, so that a sender with stale state is refused.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{AdapterName, Epoch, Incarnation, LoadedModel, ModelName, Revision, Role, Version};

/// Identifies an order by its epoch and its number within that epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct OrderId {
    /// Epoch of the lease under which the order was issued.
    pub epoch: Epoch,
    /// Number of the order within the epoch, counted per engine.
    pub number: u64,
}

impl fmt::Display for OrderId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.epoch, self.number)
    }
}

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum OrderCommand {
    /// Finish running requests, then switch to another role; the engine is out of service for seconds.
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
    /// Identifier, which contains the fencing epoch.
    pub id: OrderId,
    /// The last order that the engine accepted, as known to the sender.
    pub follows: Option<OrderId>,
    /// Incarnation of the engine that the order is addressed to.
    pub incarnation: Incarnation,
    /// Configuration under which the order was decided.
    pub revision: Revision,
    pub command: OrderCommand,
}

/// Progress of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderPhase {
    /// Accepted but not finished.
    Running,
    /// Completed successfully.
    Done,
    /// The engine could not complete it.
    Failed,
}

/// An order and its progress on the engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    pub order: Order,
    pub phase: OrderPhase,
}

/// An engine's order state, which a new lease holder reads.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineOrders {
    /// The engine's current run.
    pub incarnation: Incarnation,
    /// The highest epoch that the engine has seen.
    pub highest_epoch: Epoch,
    /// The engine's role; `None` during a role change.
    pub role: Option<Role>,
    /// The last order accepted in this run.
    pub last: Option<OrderStatus>,
    /// Models that the engine can serve.
    pub models: Vec<LoadedModel>,
}

/// The engine's response to an order or an epoch increase.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum OrderOutcome {
    /// Accepted, or accepted earlier: a repeated order is not run again.
    Accepted { state: EngineOrders },
    /// The engine has seen a higher epoch: the sender no longer holds the lease.
    Fenced { state: EngineOrders },
    /// Another order is unfinished, or the named predecessor is not the engine's last order.
    Conflict { state: EngineOrders },
    /// The engine's incarnation is not the one that the order names.
    OtherIncarnation { state: EngineOrders },
    /// The order cannot be carried out, such as an adapter for a model that is not loaded.
    Impossible { state: EngineOrders, reason: String },
}

impl OrderOutcome {
    /// The engine's state after it handled the order.
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
