//! What spreads: members and versioned records.

use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::{GroupId, Incarnation, NodeId, ZoneName};
use serde::{Deserialize, Serialize};

/// A node as the others know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub node: NodeId,
    /// Its run.
    pub incarnation: Incarnation,
    /// Its zone.
    pub zone: ZoneName,
    /// Its peer address.
    pub address: SocketAddr,
    /// Its operators' address.
    pub operator_address: SocketAddr,
}

/// Names a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKey {
    /// The configuration in force.
    Configuration,
    /// The load digest of a group.
    GroupDigest(GroupId),
    /// A drain mark on an engine or node.
    Drain(String),
}

/// Orders the versions of a record; a record never goes back.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordVersion {
    /// Epoch or revision.
    pub major: u64,
    /// Sequence within it.
    pub minor: u64,
}

/// A versioned value that spreads to every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Its name.
    pub key: RecordKey,
    /// Its version.
    pub version: RecordVersion,
    /// Its value.
    pub payload: Bytes,
}
