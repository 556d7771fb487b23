//! The fleet's fingerprint key, in messages between nodes.

use serde::{Deserialize, Serialize};

use crate::membership::NodeNumber;

/// Asks a node for the fleet's fingerprint key, for nodes that cannot read it from the key-value service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct FingerprintKeyRequest {
    /// The asking node.
    pub node: NodeNumber,
}

/// The answer to a [`FingerprintKeyRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct FingerprintKeyAnswer {
    /// The key in the form in which it is stored.
    pub key: String,
}
