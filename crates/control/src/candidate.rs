//! Which nodes try to take a group's lease, so that the key-value service is asked by a few nodes
//! only, however many there are.

use std::time::Duration;

use dalestand_types::{GroupId, NodeId, ZoneName};

/// Nodes of a zone that try.
const CANDIDATES_PER_ZONE: usize = 3;

/// Leases in which nothing is heard of a holder before a node of another zone steps in.
const OTHER_ZONE_LEASES: u32 = 3;

/// Parts of a lease by which each candidate waits for the one before it.
const STAGGER_DIVISOR: u32 = 3;

/// A live node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Its name.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneName,
}

/// How long after a group's holder went silent `me` tries to take its lease; `None` if it leaves
/// that to others. The nodes of the group's zone come first; those of other zones are ranked
/// among themselves.
pub fn acquire_delay(
    group: &GroupId,
    group_zone: &ZoneName,
    me: &Candidate,
    others: &[Candidate],
    lease: Duration,
) -> Option<Duration> {
    let in_zone = me.zone == *group_zone;
    let mine = weight(group, &me.node);
    let rank = others
        .iter()
        .filter(|other| (other.zone == *group_zone) == in_zone && other.node != me.node)
        .filter(|other| weight(group, &other.node) > mine)
        .count();
    if rank >= CANDIDATES_PER_ZONE {
        return None;
    }
    let stagger = lease / STAGGER_DIVISOR * rank as u32;
    let step_in = if in_zone {
        Duration::ZERO
    } else {
        lease * OTHER_ZONE_LEASES
    };
    Some(step_in + stagger)
}

/// The node that a planned stop hands a group over to: the first candidate of the group's zone,
/// or of all nodes where its zone has none.
pub fn successor<'a>(
    group: &GroupId,
    group_zone: &ZoneName,
    others: &'a [Candidate],
) -> Option<&'a Candidate> {
    let preference = |other: &&Candidate| (other.zone == *group_zone, weight(group, &other.node));
    others.iter().max_by_key(preference)
}

/// Rendezvous weight of a node for a group; the same on every node.
fn weight(group: &GroupId, node: &NodeId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(group.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
