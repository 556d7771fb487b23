//! The messages that begin a tunnel: a length of two bytes in network order, then MessagePack.

use std::io;

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize as DeriveSerialize};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};

/// Version of the protocol. A node carries no tunnels of another version.
pub const PROTOCOL_VERSION: u8 = 1;

/// Longest message.
const MAX_MESSAGE_BYTES: usize = 1024;

/// Asks a node to open a connection to an engine.
#[derive(Clone, Debug, PartialEq, Eq, DeriveSerialize, Deserialize)]
pub struct TunnelRequest {
    /// [`PROTOCOL_VERSION`] of the asking node.
    pub version: u8,
    /// Name of the asking node.
    pub node: String,
    /// Run of the engine. The carrying node takes the address from its own list.
    pub engine: String,
}

/// Answer to a [`TunnelRequest`]. Only after [`Self::Opened`] the tunnel goes on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, DeriveSerialize, Deserialize)]
pub enum TunnelReply {
    /// The connection is open.
    Opened,
    /// Nothing listens at the engine's address. The carrying node has reached another engine since.
    NoListener,
    /// The engine could not be reached.
    EngineUnreachable,
    /// The carrying node is itself cut off from all engines.
    CutOff,
    /// It carries as many tunnels as it can.
    Busy,
    /// It is stopping.
    Stopping,
    /// It does not know the asking node at its address.
    UnknownNode,
    /// The engine is not in its list of engines that accept work.
    UnknownEngine,
    /// The request can't be read, or is of another version.
    Malformed,
}

impl TunnelReply {
    /// Name for logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            Self::Opened => "opened",
            Self::NoListener => "no listener",
            Self::EngineUnreachable => "engine unreachable",
            Self::CutOff => "cut off",
            Self::Busy => "busy",
            Self::Stopping => "stopping",
            Self::UnknownNode => "unknown node",
            Self::UnknownEngine => "unknown engine",
            Self::Malformed => "malformed",
        }
    }
}

pub(crate) async fn write_message<M: Serialize>(
    writer: &mut (impl AsyncWrite + Unpin),
    message: &M,
) -> io::Result<()> {
    let encoded = rmp_serde::to_vec(message).map_err(io::Error::other)?;
    let length = u16::try_from(encoded.len()).map_err(io::Error::other)?;
    let mut bytes = length.to_be_bytes().to_vec();
    bytes.extend_from_slice(&encoded);
    writer.write_all(&bytes).await
}

/// Reads one message and nothing beyond it.
pub(crate) async fn read_message<M: DeserializeOwned>(
    reader: &mut (impl AsyncRead + Unpin),
) -> io::Result<M> {
    let length = usize::from(reader.read_u16().await?);
    if length > MAX_MESSAGE_BYTES {
        return Err(io::Error::other("the message exceeds the size limit"));
    }
    let mut bytes = vec![0; length];
    reader.read_exact(&mut bytes).await?;
    rmp_serde::from_slice(&bytes).map_err(io::Error::other)
}
