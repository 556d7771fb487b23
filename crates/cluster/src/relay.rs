//! Relay trees over a zone's members, which deliver a load digest to each member once.
//!
//! The seed of a digest maps each member to a 64-bit position. A relay serves a range of positions:
//! it splits the members in its range into a few subtrees and sends the digest to the first member
//! of each, which serves the rest of the subtree. Nodes with different views of the membership
//! disagree only within their own ranges. Each digest has another seed, so that a failed relay
//! affects other members each time.

use std::net::SocketAddr;

use dalestand_types::NodeId;

use crate::record::Member;

/// A range of positions and the member that serves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Subtree {
    /// Address of the member that serves the range.
    pub(crate) to: SocketAddr,
    /// First position of the range.
    pub(crate) low: u64,
    /// Last position of the range.
    pub(crate) high: u64,
}

/// Splits the members whose position is in `low..=high` into at most `fan_out` subtrees.
pub(crate) fn split<'a>(
    members: impl Iterator<Item = &'a Member>,
    seed: u64,
    (low, high): (u64, u64),
    fan_out: usize,
) -> Vec<Subtree> {
    let mut positioned: Vec<(u64, SocketAddr)> = members
        .map(|member| (position(seed, &member.node), member.address))
        .filter(|(position, _)| (low..=high).contains(position))
        .collect();
    positioned.sort();
    let size = positioned.len().div_ceil(fan_out.max(1)).max(1);
    let chunks: Vec<&[(u64, SocketAddr)]> = positioned.chunks(size).collect();
    let ends = chunks.iter().skip(1).map(|next| next[0].0 - 1);
    let ends = ends.chain(std::iter::once(high));
    chunks
        .iter()
        .zip(ends)
        .map(|(chunk, end)| Subtree {
            to: chunk[0].1,
            low: chunk[0].0.saturating_add(1),
            high: end,
        })
        .collect()
}

fn position(seed: u64, node: &NodeId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(node.as_str().as_bytes());
    first_eight_bytes(&hasher.finalize())
}

/// The first eight bytes of a hash as a little-endian number.
pub(crate) fn first_eight_bytes(hash: &blake3::Hash) -> u64 {
    let mut bytes = [0_u8; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
