//! Whether a node reaches engines by its own links, and which other nodes can reach them for it.

mod direct_links;
mod peer_ranking;

pub use direct_links::{DirectLinks, LinkChange};
pub use peer_ranking::{Peer, PeerFailure, PeerRanking};
