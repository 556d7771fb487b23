//! UDP and TCP sockets for other nodes, on the same port number.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Maximum number of attempts to find a port number that is free for both protocols.
const ATTEMPTS: usize = 32;

/// Opens both sockets in non-blocking mode. Port 0 selects any number that is free for both.
pub fn open_peer_sockets(listen: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let attempts = if listen.port() == 0 { ATTEMPTS } else { 1 };
    let mut last = io::Error::from(io::ErrorKind::AddrInUse);
    for _ in 0..attempts {
        match open_pair(listen) {
            Ok(pair) => return Ok(pair),
            Err(error) => last = error,
        }
    }
    Err(last)
}

fn open_pair(listen: SocketAddr) -> io::Result<(UdpSocket, TcpListener)> {
    let datagrams = UdpSocket::bind(listen)?;
    let connections = TcpListener::bind(datagrams.local_addr()?)?;
    datagrams.set_nonblocking(true)?;
    connections.set_nonblocking(true)?;
    Ok((datagrams, connections))
}
