//! Client for calls to other nodes.

use std::net::SocketAddr;
use std::time::Duration;

use dalestand_peer_seal::PeerSeal;
use tokio::net::TcpStream;

use super::message::{PeerRequest, PeerResponse, read_message, write_message};

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for a reply; exceeds the timeout after which a claim is refused.
const REPLY_TIMEOUT: Duration = Duration::from_millis(5_000);

/// Why a call failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum PeerCallError {
    /// The request was not sent, so the call had no effect.
    #[error("could not connect to the node")]
    NotSent,
    /// The request may have been sent, but no valid reply was received.
    #[error("no reply from the node; the call may have taken effect")]
    InDoubt,
}

/// Client for calls to other nodes; opens a connection per call.
#[derive(Clone)]
pub(crate) struct PeerClient {
    seal: PeerSeal,
}

impl PeerClient {
    /// A client that authenticates its messages with `seal`.
    pub(crate) fn new(seal: PeerSeal) -> Self {
        Self { seal }
    }

    /// Sends a request to the node at `address` and waits for the reply.
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
