//! Selects the few nodes that try to acquire a group's lease, which keeps the load on the key-value
//! service independent of the fleet size.

use std::time::Duration;

use dalestand_types::{GroupId, NodeId, ZoneName};

/// Maximum candidates among the nodes of the group's zone, and again among those of all other zones.
const MAX_CANDIDATES: usize = 3;

/// Delay before nodes of other zones try, in lease durations.
const OTHER_ZONE_DELAY_LEASES: u32 = 3;

/// Delay between successive candidates, as a divisor of the lease duration.
const STAGGER_DIVISOR: u32 = 3;

/// A live node that may hold a group.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// Name of the node.
    pub node: NodeId,
    /// Zone of the node.
    pub zone: ZoneName,
}

/// Time after the last sign of a group's holder at which `me` tries to acquire the lease; `None` if it
/// is not a candidate. Nodes of the group's zone try first. Nodes of all other zones share one ranking.
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
    if rank >= MAX_CANDIDATES {
        return None;
    }
    let stagger = lease / STAGGER_DIVISOR * rank as u32;
    let zone_delay = if in_zone {
        Duration::ZERO
    } else {
        lease * OTHER_ZONE_DELAY_LEASES
    };
    Some(zone_delay + stagger)
}

/// The node that takes a group over when its holder shuts down: the first candidate of the group's
/// zone, or of all nodes if that zone has none.
pub fn successor<'a>(
    group: &GroupId,
    group_zone: &ZoneName,
    others: &'a [Candidate],
) -> Option<&'a Candidate> {
    let preference = |other: &&Candidate| (other.zone == *group_zone, weight(group, &other.node));
    others.iter().max_by_key(preference)
}

/// Weight of a node for a group by rendezvous hashing; equal on every node.
fn weight(group: &GroupId, node: &NodeId) -> [u8; 32] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(group.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(node.as_str().as_bytes());
    *hasher.finalize().as_bytes()
}
