//! Opens TCP connections.

use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};

use crate::error::SendError;
use crate::link::LinkLimits;

/// Idle time before TCP keep-alive probes, and the interval between them, to detect a dead peer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Opens a connection within the limits.
pub(crate) async fn connect(
    address: SocketAddr,
    limits: &LinkLimits,
) -> Result<TcpStream, SendError> {
    let connecting = connect_from(limits.source, address);
    let opened = tokio::time::timeout(limits.connect_timeout, connecting).await;
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
    set_user_timeout(&stream, Some(limits.tcp_user_timeout));
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(2);
    let _ = socket.set_tcp_keepalive(&keepalive);
    Ok(stream)
}

/// Sets the longest time without an acknowledgement. It counts also while the peer acknowledges but does not read, so that
/// there must be none while more is sent than the peer may have room for.
pub(crate) fn set_user_timeout(stream: &TcpStream, timeout: Option<Duration>) {
    // Without the option a dead peer is only detected later.
    let _ = SockRef::from(stream).set_tcp_user_timeout(timeout);
}

async fn connect_from(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else {
        return TcpStream::connect(address).await;
    };
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}
