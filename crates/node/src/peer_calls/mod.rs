//! Calls from node to node over TCP, at the same port number as datagrams: one call a connection,
//! a length and a sealed message each way.

mod client;
mod message;
mod server;

pub(crate) use client::{PeerCallError, PeerClient};
pub(crate) use message::{ClaimAnswer, PeerRequest, PeerResponse};
pub(crate) use server::serve_peers;
