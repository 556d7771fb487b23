//! Listening sockets with bounded receive buffers.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, TcpSocket};

/// Bytes that the kernel receives for a connection before they are read. It takes twice as much for its own needs.
pub const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Listens on an address. The connections inherit the size of the receive buffer.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
