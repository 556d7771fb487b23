//! The two sockets that other nodes reach a node by: UDP and TCP on the same port number.

use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};

/// Attempts to find a free port number that both kinds have free.
const ATTEMPTS: usize = 32;

/// Opens both sockets, non-blocking; port 0 takes any number that is free for both.
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
