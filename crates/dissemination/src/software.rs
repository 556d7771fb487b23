//! Software versions of engines, in messages between nodes.
//!
//! Entries as relayed between nodes leave them out, so that builds without them can read the entries. A node
//! asks for those that it lacks.

use dalestand_types::SoftwareVersion;
use serde::{Deserialize, Serialize};

use crate::membership::NodeNumber;

/// Asks a relay for the software versions of engines.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct SoftwareRequest {
    /// The requesting node.
    pub node: NodeNumber,
    /// Ids of the engines.
    pub engines: Vec<u64>,
}

/// Engines whose software has the same version.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct EnginesOfVersion {
    /// The version.
    pub software: SoftwareVersion,
    /// Ids of the engines.
    pub engines: Vec<u64>,
}

/// The answer to a [`SoftwareRequest`]. Engines whose version the relay does not know are left out.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct SoftwareVersions {
    /// The relay.
    pub node: NodeNumber,
    /// The engines by version.
    pub versions: Vec<EnginesOfVersion>,
}
