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

/// Whether a member takes part.
///
/// The order matters: of two claims about the same run and refutation, the later state wins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// It answers probes.
    Alive,
    /// It did not answer a series of probes.
    Down,
    /// It left as planned.
    Left,
}

/// A claim about a member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberUpdate {
    /// The member.
    pub member: Member,
    /// How often the member has contradicted a claim that it is down, in this run.
    pub refutation: u32,
    /// The claim.
    pub state: MemberState,
}

impl MemberUpdate {
    /// Orders claims about one member; the greater one holds.
    pub fn rank(&self) -> (Incarnation, u32, MemberState) {
        (self.member.incarnation, self.refutation, self.state)
    }
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
    /// A machine of the machine list.
    Machine(String),
}

impl RecordKey {
    /// Whether every node must get the last version in the end. A load digest is replaced within
    /// seconds, so a lost one is not sent again.
    pub fn is_durable(&self) -> bool {
        !matches!(self, Self::GroupDigest(_))
    }

    /// Whether the record only stands for content that is fetched from whoever sent it.
    pub fn is_content_reference(&self) -> bool {
        matches!(self, Self::Configuration)
    }
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
