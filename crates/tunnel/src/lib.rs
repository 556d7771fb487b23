//! Connections to engines that another node opens and carries, for nodes that are cut off from them.
//!
//! The node that serves the caller keeps all decisions; the carrying node opens a connection to an engine of its own list
//! and copies bytes. A tunnel begins with one [`TunnelRequest`] and one [`TunnelReply`]. From then on bytes to the
//! engine are copied as they are. Bytes from the engine come in frames ([`FrameDecoder`]), so that the end of the engine's connection
//! can be told from the end of the carrying node.

mod client;
mod frames;
mod protocol;
mod server;

pub use client::{OpenError, open_tunnel};
pub use frames::{FrameDecoder, FrameError, MAX_FRAME_BYTES};
pub use protocol::{PROTOCOL_VERSION, TunnelReply, TunnelRequest};
pub use server::{TunnelCounts, TunnelPolicy, Tunnels, serve_tunnels};
