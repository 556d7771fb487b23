//! Datagrams between nodes.
//!
//! Items (member updates and records) are encoded once and carried as byte strings, so that
//! datagrams can be filled up to their size limit without encoding anything again.

use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::record::{MemberUpdate, Record};

/// Size limit of a datagram; below the smallest usual MTU minus headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Size limit of an encoded item; leaves room for the body of its datagram.
pub const MAX_ITEM_BYTES: usize = 1_200;

/// Encoding overhead of an item in a datagram, in bytes.
pub(crate) const ITEM_OVERHEAD_BYTES: usize = 3;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Message {
    /// Purpose of the datagram.
    pub(crate) body: Body,
    /// Encoded [`Item`]s.
    pub(crate) items: Vec<Bytes>,
}

/// Purpose of a datagram, with its parameters.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Asks `target` for a [`Body::Ack`].
    Ping {
        /// Number of the probe at its origin.
        probe: u32,
        /// Address of the prober, to which the ack is forwarded.
        origin: SocketAddr,
        /// The node to answer; another node that has taken over its address does not.
        target: NodeId,
        /// The prober.
        from: NodeId,
    },
    /// Asks the receiver to ping `target` on behalf of the sender.
    PingRequest {
        /// Number of the probe at its origin.
        probe: u32,
        /// The node to ping.
        target: NodeId,
        /// The prober.
        from: NodeId,
    },
    /// Answers a ping.
    Ack {
        /// Number of the probe at its origin.
        probe: u32,
        /// Address of the prober.
        origin: SocketAddr,
        /// The node that answers.
        node: NodeId,
        incarnation: Incarnation,
    },
    /// Carries items only.
    Gossip,
    /// Anti-entropy comparison; the receiver sends the entries of the buckets that differ.
    Sync {
        /// Hashes of the sender's buckets.
        buckets: Bytes,
        /// Whether this answers another `Sync` and must not be answered by one.
        answer: bool,
    },
    /// A load digest, to be forwarded to the members whose position is in `low..=high`.
    Relay {
        /// Seed of the members' positions.
        seed: u64,
        /// First position to serve.
        low: u64,
        /// Last position to serve.
        high: u64,
        /// The encoded [`Item`].
        record: Bytes,
    },
}

/// A unit of gossip.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Item {
    /// An update about a member.
    Member(MemberUpdate),
    Record(Record),
}

/// A datagram or an item could not be encoded or decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    #[error("the datagram could not be encoded: {0}")]
    Encode(String),
    #[error("the datagram could not be decoded: {0}")]
    Decode(String),
    /// The encoded item exceeds [`MAX_ITEM_BYTES`].
    #[error("the encoded item has {bytes} bytes; the limit is {MAX_ITEM_BYTES}")]
    TooLarge {
        /// Size of the encoded item.
        bytes: usize,
    },
}

/// Encodes a message or an item.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    let encoded = rmp_serde::to_vec(value);
    encoded
        .map(Bytes::from)
        .map_err(|error| CodecError::Encode(error.to_string()))
}

/// Encodes an item and checks its size.
pub(crate) fn encode_item(item: &Item) -> Result<Bytes, CodecError> {
    let encoded = encode(item)?;
    if encoded.len() > MAX_ITEM_BYTES {
        let bytes = encoded.len();
        return Err(CodecError::TooLarge { bytes });
    }
    Ok(encoded)
}

/// Decodes a message or an item.
pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).map_err(|error| CodecError::Decode(error.to_string()))
}
