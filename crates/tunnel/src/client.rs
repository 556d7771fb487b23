//! Opens tunnels.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

use crate::protocol::{TunnelReply, TunnelRequest, read_message, write_message};

/// Why there is no tunnel. Nothing was sent to the engine.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum OpenError {
    /// The carrying node said why not.
    #[error("the carrying node answers: {}", .0.label())]
    Refused(TunnelReply),
    /// The carrying node could not be reached, or did not answer in time.
    #[error("the carrying node does not answer: {0}")]
    NoAnswer(String),
}

/// Asks the node at `carrier` for a connection to an engine, within `limit`. `source` is the asking node's address, by which
/// the other node knows it.
pub async fn open_tunnel(
    source: IpAddr,
    carrier: SocketAddr,
    request: &TunnelRequest,
    limit: Duration,
) -> Result<TcpStream, OpenError> {
    let opened = timeout(limit, handshake(source, carrier, request)).await;
    let opened = opened.unwrap_or_else(|_| Err(std::io::ErrorKind::TimedOut.into()));
    match opened {
        Ok((stream, TunnelReply::Opened)) => Ok(stream),
        Ok((_, reply)) => Err(OpenError::Refused(reply)),
        Err(error) => Err(OpenError::NoAnswer(error.to_string())),
    }
}

async fn handshake(
    source: IpAddr,
    carrier: SocketAddr,
    request: &TunnelRequest,
) -> std::io::Result<(TcpStream, TunnelReply)> {
    let socket = if carrier.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(source, 0))?;
    let mut stream = socket.connect(carrier).await?;
    stream.set_nodelay(true)?;
    // The carrying node learns at once when this one leaves, also behind bytes that it has no room for.
    stream.set_zero_linger()?;
    write_message(&mut stream, request).await?;
    let reply = read_message(&mut stream).await?;
    Ok((stream, reply))
}
