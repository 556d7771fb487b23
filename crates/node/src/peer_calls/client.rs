//! Calls to other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use dalestand_peer_seal::PeerSeal;
use tokio::net::TcpStream;

use super::message::{PeerRequest, PeerResponse, read_message, write_message};

/// Longest wait for a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Longest wait for a reply; longer than a claim waits for its write.
const REPLY_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Why a call has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PeerCallError {
    /// Nothing was sent: the call had no effect.
    #[error("the node could not be reached")]
    NotSent,
    /// The call was sent and no reply came.
    #[error("the node gave no reply; the effect of the call is in doubt")]
    InDoubt,
}

/// Calls other nodes.
#[derive(Clone)]
pub(crate) struct PeerClient {
    seal: PeerSeal,
}

impl PeerClient {
    /// A client that seals its calls.
    pub(crate) fn new(seal: PeerSeal) -> Self {
        Self { seal }
    }

    /// Calls the node at `address`.
    pub(crate) async fn call(
        &self,
        address: SocketAddr,
        request: &PeerRequest,
    ) -> Result<PeerResponse, PeerCallError> {
        let connect = TcpStream::connect(address);
        let connected = actix_rt::time::timeout(CONNECT_TIMEOUT, connect).await;
        let mut stream = connected
            .map_err(|_| PeerCallError::NotSent)?
            .map_err(|_| PeerCallError::NotSent)?;
        let exchange = async {
            write_message(&mut stream, &self.seal, request).await?;
            read_message(&mut stream, &self.seal).await
        };
        actix_rt::time::timeout(REPLY_TIMEOUT, exchange)
            .await
            .map_err(|_| PeerCallError::InDoubt)?
            .map_err(|_| PeerCallError::InDoubt)
    }
}
