//! Opens connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

use crate::error::SendError;

/// An idle connection is probed after this time, so that a silent peer is noticed.
const KEEPALIVE_AFTER: Duration = Duration::from_secs(1);

/// Opens a connection; a peer that takes no bytes for `tcp_user_timeout` ends it.
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
    // Without these options the connection still works; it only notices a silent peer late.
    let _ = stream.set_nodelay(true);
    let socket = SockRef::from(&stream);
    let _ = socket.set_tcp_user_timeout(Some(tcp_user_timeout));
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_AFTER)
        .with_interval(KEEPALIVE_AFTER)
        .with_retries(2);
    let _ = socket.set_tcp_keepalive(&keepalive);
    Ok(stream)
}
