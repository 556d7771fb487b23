//! Messages of calls between nodes, and their framing.

use dalestand_claims::{Claim, ClaimState, Reply};
use dalestand_gateway::KeptAnswer;
use dalestand_peer_seal::PeerSeal;
use dalestand_routing::TenantDemand;
use dalestand_types::{GroupId, NodeId, RequestId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::configuration::{ConfigurationQuery, ConfigurationReply};

/// Size limit of a message, in bytes; the largest ones carry parts of a configuration.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// A request to another node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Claims a key for a request that `node` is to run.
    Claim { claim: Claim, node: NodeId },
    /// Records the end of a claimed request.
    EndClaim { claim: Claim, state: ClaimState },
    /// Asks for the kept answer of a request.
    KeptAnswer { request: RequestId },
    /// Asks the node to take over a group whose lease was just released.
    TakeOver { group: GroupId },
    /// A query about the configuration.
    Configuration(ConfigurationQuery),
    /// Reports the demand of tenants at the node `reporter`; answered with their totals.
    TenantDemands {
        reporter: NodeId,
        demands: Vec<TenantDemand>,
    },
}

/// The reply to a [`PeerRequest`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    /// Reply to [`PeerRequest::Claim`].
    Claim(ClaimAnswer),
    /// Reply to [`PeerRequest::KeptAnswer`]; `None` if the answer is not kept.
    KeptAnswer(Option<KeptAnswer>),
    /// Reply to [`PeerRequest::Configuration`].
    Configuration(ConfigurationReply),
    /// Reply to [`PeerRequest::TenantDemands`].
    TenantDemands(Vec<TenantDemand>),
    /// Reply to a request that has no result.
    Done,
}

/// Reply to a claim, with the node that runs the request that holds the key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ClaimAnswer {
    pub(crate) reply: Reply,
    /// The node that runs or ran the request that holds the key, if known.
    pub(crate) owner: Option<NodeId>,
}

/// Writes a message, sealed and with a length prefix.
pub(crate) async fn write_message<M: Serialize>(
    stream: &mut TcpStream,
    seal: &PeerSeal,
    message: &M,
) -> std::io::Result<()> {
    let mut bytes = rmp_serde::to_vec(message).map_err(std::io::Error::other)?;
    seal.seal(&mut bytes);
    let length = u32::try_from(bytes.len()).map_err(std::io::Error::other)?;
    let mut frame = Vec::from(length.to_be_bytes());
    frame.extend_from_slice(&bytes);
    stream.write_all(&frame).await
}

/// Reads a message written by [`write_message`].
pub(crate) async fn read_message<M: DeserializeOwned>(
    stream: &mut TcpStream,
    seal: &PeerSeal,
) -> std::io::Result<M> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(std::io::Error::other("the message exceeds the size limit"));
    }
    let mut sealed = vec![0; length as usize];
    stream.read_exact(&mut sealed).await?;
    let bytes = seal.open(&sealed).map_err(std::io::Error::other)?;
    rmp_serde::from_slice(bytes).map_err(std::io::Error::other)
}
