//! Opens TCP connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::error::SendError;

/// Idle time before TCP keep-alive probes, and the interval between them, to detect a dead peer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens a connection, which fails if sent data stays unacknowledged for `tcp_user_timeout`.
pub(crate) async fn connect(
    address: SocketAddr,
    connect_timeout: Duration,
    tcp_user_timeout: Duration,
) -> Result<TcpStream, SendError> {
    let opened = tokio::time::timeout(connect_timeout, TcpStream::connect(address)).await;
    let stream = match opened {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            return Err(SendError::NoListener(error.to_string()));
        }
        Ok(Err(error)) => return Err(SendError::NotSent(error.to_string())),
        Err(_) => return Err(SendError::NotSent("connect timed out".to_owned())),
    };
    // Errors are ignored: without these options a dead peer is only detected later.
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(&stream);
    let _ = socket.set_tcp_user_timeout(Some(tcp_user_timeout));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let _ = socket.set_tcp_keepalive(&keepalive);
    Ok(stream)
}
