//! Calls between nodes over TCP, at the port number that datagrams also use. A connection carries
//! one call; request and reply are sealed messages with a length prefix.

mod client;
mod message;
mod server;

pub(crate) use client::{PeerCallError, PeerClient};
pub(crate) use message::{ClaimAnswer, PeerRequest, PeerResponse};
pub(crate) use server::serve_peers;
