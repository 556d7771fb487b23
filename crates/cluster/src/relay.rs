//! Trees over a zone's members, by which a load digest reaches each of them once.
//!
//! Every digest has a seed that gives each member a place on a line of 64-bit numbers. A relay
//! serves a range of places: it splits the members it knows there into a few parts and hands each
//! part to the part's first member. Two nodes that know different members disagree only within
//! their own ranges, and the next digest has another seed, so nobody stays behind a dead relay.

use std::net::SocketAddr;

use dalestand_types::NodeId;

use crate::record::Member;

/// A part of the members, to be served by the first of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Part {
    /// The first member's address.
    pub(crate) to: SocketAddr,
    /// First place it has to serve.
    pub(crate) low: u64,
    /// Last place it has to serve.
    pub(crate) high: u64,
}

/// Splits the members whose place lies in `low..=high` into at most `fan_out` parts.
pub(crate) fn split<'a>(
    members: impl Iterator<Item = &'a Member>,
    seed: u64,
    (low, high): (u64, u64),
    fan_out: usize,
) -> Vec<Part> {
    let mut placed: Vec<(u64, SocketAddr)> = members
        .map(|member| (place(seed, &member.node), member.address))
        .filter(|(place, _)| (low..=high).contains(place))
        .collect();
    placed.sort();
    let size = placed.len().div_ceil(fan_out.max(1)).max(1);
    let chunks: Vec<&[(u64, SocketAddr)]> = placed.chunks(size).collect();
    let ends = chunks.iter().skip(1).map(|next| next[0].0 - 1);
    let ends = ends.chain(std::iter::once(high));
    chunks
        .iter()
        .zip(ends)
        .map(|(chunk, end)| Part {
            to: chunk[0].1,
            low: chunk[0].0.saturating_add(1),
            high: end,
        })
        .collect()
}

/// A member's place for a seed.
fn place(seed: u64, node: &NodeId) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&seed.to_le_bytes());
    hasher.update(node.as_str().as_bytes());
    first_eight_bytes(&hasher.finalize())
}

/// A hash as a number.
pub(crate) fn first_eight_bytes(hash: &blake3::Hash) -> u64 {
    let mut bytes = [0_u8; 8];
    bytes.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}
