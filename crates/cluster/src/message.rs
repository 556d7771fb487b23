//! Datagrams between nodes.
//!
//! Items (claims about members, records) are encoded once and carried as byte strings, so that a
//! datagram can be filled up to its bound without encoding anything again.

use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::{Incarnation, NodeId};
use serde::{Deserialize, Serialize};

use crate::record::{MemberUpdate, Record};

/// Most bytes of one datagram; below the smallest usual MTU less its headers.
pub const MAX_DATAGRAM_BYTES: usize = 1_400;

/// Most bytes of one encoded item; leaves room for the body it travels with.
pub const MAX_ITEM_BYTES: usize = 1_200;

/// Bytes an item costs in a datagram besides itself.
pub(crate) const ITEM_OVERHEAD_BYTES: usize = 3;

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Message {
    /// What it is for.
    pub(crate) body: Body,
    /// Encoded [`Item`]s it carries.
    pub(crate) items: Vec<Bytes>,
}

/// What a datagram is for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Body {
    /// Asks `target` for an [`Body::Ack`].
    Ping {
        /// Number of the probe at its origin.
        probe: u32,
        /// Where the probe started; the ack is passed on to it.
        origin: SocketAddr,
        /// Who is meant; whoever else has the address now stays silent.
        target: NodeId,
        /// Who probes.
        from: NodeId,
    },
    /// Asks the receiver to ping `target` for the sender.
    PingRequest {
        /// Number of the probe at its origin.
        probe: u32,
        /// Who is meant.
        target: NodeId,
        /// Who probes.
        from: NodeId,
    },
    /// Answers a ping.
    Ack {
        /// Number of the probe at its origin.
        probe: u32,
        /// Where the probe started.
        origin: SocketAddr,
        /// Who answers.
        node: NodeId,
        /// Its run.
        incarnation: Incarnation,
    },
    /// Carries items only.
    Gossip,
    /// Compares what both sides know; the receiver sends what stands in buckets that differ.
    Sync {
        /// Hash of each bucket's entries at the sender.
        buckets: Bytes,
        /// Whether this answers a `Sync`, so that it is not answered by another.
        answer: bool,
    },
    /// A load digest, to be passed on to the members whose place lies in `low..=high`.
    Relay {
        /// Decides each member's place.
        seed: u64,
        /// First place to serve.
        low: u64,
        /// Last place to serve.
        high: u64,
        /// The encoded [`Item`].
        record: Bytes,
    },
}

/// One piece of knowledge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Item {
    /// A claim about a member.
    Member(MemberUpdate),
    /// A record.
    Record(Record),
}

/// A datagram could not be written or read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum CodecError {
    /// It could not be written.
    #[error("the datagram could not be encoded: {0}")]
    Encode(String),
    /// It could not be read.
    #[error("the datagram could not be decoded: {0}")]
    Decode(String),
    /// It exceeds the bound on one item.
    #[error("{bytes} bytes exceed the {MAX_ITEM_BYTES} bytes of an item")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
}

/// Writes a message or an item.
pub(crate) fn encode<T: Serialize>(value: &T) -> Result<Bytes, CodecError> {
    let encoded = rmp_serde::to_vec(value);
    encoded
        .map(Bytes::from)
        .map_err(|error| CodecError::Encode(error.to_string()))
}

/// Writes an item and checks its size.
pub(crate) fn encode_item(item: &Item) -> Result<Bytes, CodecError> {
    let encoded = encode(item)?;
    if encoded.len() > MAX_ITEM_BYTES {
        let bytes = encoded.len();
        return Err(CodecError::TooLarge { bytes });
    }
    Ok(encoded)
}

/// Reads a message or an item.
pub(crate) fn decode<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Result<T, CodecError> {
    rmp_serde::from_slice(bytes).map_err(|error| CodecError::Decode(error.to_string()))
}
