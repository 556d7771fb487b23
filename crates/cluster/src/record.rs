//! The data that is disseminated: members and versioned records.

use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::{GroupId, Incarnation, NodeId, ZoneName};
use serde::{Deserialize, Serialize};

/// A node of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    pub node: NodeId,
    /// Number of this run of the node's process.
    pub incarnation: Incarnation,
    pub zone: ZoneName,
    /// Address for datagrams and calls of other nodes.
    pub address: SocketAddr,
    /// Address of the operator API.
    pub operator_address: SocketAddr,
}

/// State of a member.
///
/// The order of the variants matters: of two updates with the same incarnation and refutation, the
/// one with the later variant takes precedence.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer a series of probes.
    Down,
    /// It announced that it leaves.
    Left,
}

/// An update about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    pub member: Member,
    /// How often the member has refuted that it is down, in this incarnation.
    pub refutation: u32,
    pub state: MemberState,
}

impl MemberUpdate {
    /// Precedence among updates about one member; the greater one is in effect.
    pub fn rank(&self) -> (Incarnation, u32, MemberState) {
        (self.member.incarnation, self.refutation, self.state)
    }
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum RecordKey {
    /// The active configuration.
    Configuration,
    /// The load digest of a group.
    GroupDigest(GroupId),
    /// The drain mark of an engine, by name.
    Drain(String),
    /// A machine of the machine list, by name.
    Machine(String),
}

impl RecordKey {
    /// Whether every node must eventually receive the latest version. Load digests are replaced
    /// within seconds, so lost ones are not repaired.
    pub fn is_durable(&self) -> bool {
        !matches!(self, Self::GroupDigest(_))
    }

    /// Whether the record has no value of its own but refers to content, which is fetched from the
    /// node that announced the record.
    pub fn is_content_reference(&self) -> bool {
        matches!(self, Self::Configuration)
    }
}

/// Version of a record; a stored record is never replaced by an older version.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct RecordVersion {
    /// Epoch, revision or incarnation, depending on the key.
    pub major: u64,
    /// Sequence number within `major`.
    pub minor: u64,
}

/// A versioned value that is disseminated to the nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    pub key: RecordKey,
    pub version: RecordVersion,
    /// Encoded value.
    pub payload: Bytes,
}
