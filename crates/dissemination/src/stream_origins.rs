//! Origins of streams, in messages between nodes.
//!
//! While streams of a pool may be of several software versions, the node that passes on a stream's first event sends
//! its origin to some relays. A node to which the caller comes to resume the stream asks the same relays.

use dalestand_stream_origins::{StreamKey, StreamOrigin, VersionsServing};
use dalestand_types::PoolName;
use serde::{Deserialize, Serialize};

use crate::membership::NodeNumber;

/// The origin of one stream.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RecordedStream {
    /// The stream.
    pub stream: StreamKey,
    /// The engines that began it.
    pub origin: StreamOrigin,
    /// Milliseconds since its first event.
    pub age_ms: u32,
}

/// Origins of streams that the sender began.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct RecordedStreams {
    /// The sender.
    pub node: NodeNumber,
    /// The streams.
    pub streams: Vec<RecordedStream>,
}

/// Asks for the origin of a stream, and for the versions that have served in pools.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct OriginRequest {
    /// The requesting node.
    pub node: NodeNumber,
    /// Identifies the request among those of the node.
    pub number: u64,
    /// The stream.
    pub stream: StreamKey,
    /// The pools in which it may go on.
    pub pools: Vec<PoolName>,
}

/// The answer to an [`OriginRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Deserialize, Serialize)]
pub struct OriginAnswer {
    /// The answering node.
    pub node: NodeNumber,
    /// Number of the [`OriginRequest`].
    pub number: u64,
    /// The stream, if the node has its origin.
    pub recorded: Option<RecordedStream>,
    /// The versions that have served in each of the pools asked for, in that order.
    pub versions: Vec<VersionsServing>,
}
