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

/// Whether the platform keeps the machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum MachineState {
    /// In service.
    Live,
    /// About to go; new work must stay away.
    Leaving,
}

/// One machine of the list. The list lags behind the truth.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// Name of the engine or node on it.
    pub name: String,
    /// What runs on it.
    pub kind: MachineKind,
    /// Where it stands.
    pub zone: ZoneName,
    /// HTTP address of an engine, peer (UDP and TCP) address of a node.
    pub address: SocketAddr,
    /// Rises with each start under this name.
    pub incarnation: Incarnation,
    /// Whether it is leaving.
    pub state: MachineState,
}
