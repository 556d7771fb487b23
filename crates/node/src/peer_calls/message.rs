//! Messages of the calls and their framing.

use dalestand_claims::{Claim, ClaimState, Reply};
use dalestand_gateway::KeptAnswer;
use dalestand_peer_seal::PeerSeal;
use dalestand_routing::TenantDemand;
use dalestand_types::{GroupId, NodeId, RequestId};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::configuration::{Answer, Question};

/// Largest message, in bytes: the parts of a configuration that are asked for at once.
const MAX_MESSAGE_BYTES: u32 = 4 << 20;

/// What one node asks of another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerRequest {
    /// Claim a key; `node` is to run the request.
    Claim { claim: Claim, node: NodeId },
    /// Take the end of a claimed request.
    EndClaim { claim: Claim, state: ClaimState },
    /// Yield the answer that was kept of a request.
    KeptAnswer { request: RequestId },
    /// Take over a group whose lease was just given up.
    TakeOver { group: GroupId },
    /// A question about the configuration.
    Configuration(Question),
    /// The demand of tenants at the reporting node; answered by their sums.
    TenantDemands {
        reporter: NodeId,
        demands: Vec<TenantDemand>,
    },
}

/// The reply.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) enum PeerResponse {
    /// To a claim.
    Claim(ClaimAnswer),
    /// To a wish for an answer.
    KeptAnswer(Option<KeptAnswer>),
    /// To a question about the configuration.
    Configuration(Answer),
    /// To the demand of tenants.
    TenantDemands(Vec<TenantDemand>),
    /// Done.
    Done,
}

/// Reply to a claim, with what is known of who runs the request that holds the key.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct ClaimAnswer {
    /// The reply.
    pub(crate) reply: Reply,
    /// The node that runs or ran the request which holds the key.
    pub(crate) owner: Option<NodeId>,
}

/// Writes one message.
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

/// Reads one message.
pub(crate) async fn read_message<M: DeserializeOwned>(
    stream: &mut TcpStream,
    seal: &PeerSeal,
) -> std::io::Result<M> {
    let length = stream.read_u32().await?;
    if length > MAX_MESSAGE_BYTES {
        return Err(std::io::Error::other("the message is too long"));
    }
    let mut sealed = vec![0; length as usize];
    stream.read_exact(&mut sealed).await?;
    let bytes = seal.open(&sealed).map_err(std::io::Error::other)?;
    rmp_serde::from_slice(bytes).map_err(std::io::Error::other)
}
