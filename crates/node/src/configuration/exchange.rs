//! What nodes ask each other about the configuration, over TCP.
//!
//! A frame is a length of four bytes and a sealed message. One connection carries a few questions
//! and their answers, in turn.

use std::io;

use bytes::Bytes;
use dalestand_peer_seal::PeerSeal;
use dalestand_types::Revision;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncRead, AsyncReadExt as _, AsyncWrite, AsyncWriteExt as _};

use super::parts::PartName;

/// Most parts asked for at once.
pub(crate) const MAX_PARTS_ASKED: usize = 64;

/// Largest frame: the parts asked for at once, or the names of all parts of a file.
const MAX_FRAME_BYTES: u32 = 4 << 20;

/// A question.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Question {
    /// What the configuration in force is made of, if it is newer than this revision.
    Manifest { newer_than: Revision },
    /// The content of some parts.
    Parts { names: Vec<PartName> },
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Answer {
    /// What the configuration is made of; `None` if it is not newer.
    Manifest(Option<Manifest>),
    /// The parts, in the order they were asked for; `None` for one that is not there any more.
    Parts(Vec<Option<Bytes>>),
}

/// What a configuration is made of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Manifest {
    /// Its revision.
    pub(crate) revision: Revision,
    /// Unique to the write.
    pub(crate) writer: String,
    /// Who applied it.
    pub(crate) author: String,
    /// The parts of the file, in order.
    pub(crate) names: Vec<PartName>,
}

/// A frame could not be sent or read.
#[derive(Debug, thiserror::Error)]
pub(crate) enum ExchangeError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Connection(#[from] io::Error),
    /// A frame exceeds its bound.
    #[error("a frame of {0} bytes is too long")]
    TooLong(u32),
    /// A frame is not sealed by a node.
    #[error(transparent)]
    Seal(#[from] dalestand_peer_seal::SealError),
    /// A message cannot be encoded.
    #[error("a message could not be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// A message cannot be understood.
    #[error("a message could not be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Sends one message.
pub(crate) async fn send<T: Serialize>(
    stream: &mut (impl AsyncWrite + Unpin),
    seal: &PeerSeal,
    message: &T,
) -> Result<(), ExchangeError> {
    let mut frame = rmp_serde::to_vec(message)?;
    seal.seal(&mut frame);
    let length = u32::try_from(frame.len()).unwrap_or(u32::MAX);
    if length > MAX_FRAME_BYTES {
        return Err(ExchangeError::TooLong(length));
    }
    stream.write_u32(length).await?;
    stream.write_all(&frame).await?;
    stream.flush().await?;
    Ok(())
}

/// Reads one message.
pub(crate) async fn receive<T: DeserializeOwned>(
    stream: &mut (impl AsyncRead + Unpin),
    seal: &PeerSeal,
) -> Result<T, ExchangeError> {
    let length = stream.read_u32().await?;
    if length > MAX_FRAME_BYTES {
        return Err(ExchangeError::TooLong(length));
    }
    let mut frame = vec![0; length as usize];
    stream.read_exact(&mut frame).await?;
    let message = seal.open(&frame)?;
    Ok(rmp_serde::from_slice(message)?)
}
