//! Entries of the platform's machine list.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{Incarnation, ZoneName};

/// What runs on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineKind {
    /// A model engine.
    Engine,
    /// A dalestand node.
    Node,
}

/// Lifecycle state of a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to be removed; must receive no new work.
    Leaving,
}

/// One entry of the machine list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the engine or node on the machine.
    pub name: String,
    pub kind: MachineKind,
    pub zone: ZoneName,
    /// HTTP address of an engine; peer address (UDP and TCP) of a node.
    pub address: SocketAddr,
    /// Increases with each start under this name.
    pub incarnation: Incarnation,
    pub state: MachineState,
}
