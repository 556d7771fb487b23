//! Datagrams between nodes.

use serde::{Deserialize, Serialize};

use crate::record::{Member, Record};

/// One datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender's members with their heartbeat counts, and its records.
    Gossip {
        members: Vec<(Member, u64)>,
        records: Vec<Record>,
    },
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
}

/// Writes a datagram.
pub fn encode(message: &Message) -> Result<Vec<u8>, CodecError> {
    rmp_serde::to_vec(message).map_err(|error| CodecError::Encode(error.to_string()))
}

/// Reads a datagram.
pub fn decode(datagram: &[u8]) -> Result<Message, CodecError> {
    rmp_serde::from_slice(datagram).map_err(|error| CodecError::Decode(error.to_string()))
}
