//! The nodes of the fleet and the election of relays among them.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use dalestand_routing::staged::{EngineKey, rendezvous_weight};
use dalestand_types::ZoneName;
use serde::{Deserialize, Serialize};

/// Minimum number of relays per zone. A zone loses all three only if these machines fail within the
/// time to live of their entries. With up to three nodes per zone, all nodes exchange directly.
pub const RELAYS_PER_ZONE: usize = 3;

/// Members per relay in zones that need more than [`RELAYS_PER_ZONE`]. Sending tables to 64 members
/// at 29 KB/s each takes a relay 15 Mbit/s, a twelfth of its expected link capacity. After a start,
/// sending an entry of each of 10,000 engines to all of them takes its link two seconds.
pub const NODES_PER_RELAY: usize = 64;

/// A relay leaves members to those of its zone whose links are at least this many times as fast: tables for a
/// whole zone fill a link that callers' requests use as well.
const FASTER_LINK_FACTOR: u32 = 2;

/// Number of relays for a zone of `nodes` nodes.
fn relay_count(nodes: usize) -> usize {
    nodes.div_ceil(NODES_PER_RELAY).max(RELAYS_PER_ZONE)
}

/// A numeric id of a node, derived from its name.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeNumber(pub u64);

impl NodeNumber {
    /// The id of the node named `name`.
    pub fn of(name: &str) -> Self {
        Self(EngineKey::of(name).0)
    }
}

/// A node's own entry in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// Its UDP address for other nodes.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Speed of its link in Mbit/s; 0 if unknown.
    pub link_mbps: u32,
}

impl NodeEntry {
    /// Serializes the entry for the key-value service.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }

    /// Parses the text of [`Self::to_text`].
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}

/// A node that relays fleet-wide state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Its numeric id.
    pub number: NodeNumber,
    /// Its UDP address for other nodes.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

/// The nodes by name, as registered in the key-value service.
#[derive(Clone, Debug, Default)]
pub struct NodeDirectory {
    nodes: BTreeMap<String, NodeEntry>,
}

impl NodeDirectory {
    /// Sets a node's entry, or removes it if `entry` is `None`.
    pub fn set(&mut self, name: &str, entry: Option<NodeEntry>) {
        match entry {
            Some(entry) => self.nodes.insert(name.to_owned(), entry),
            None => self.nodes.remove(name),
        };
    }

    /// A node's entry.
    pub fn get(&self, name: &str) -> Option<&NodeEntry> {
        self.nodes.get(name)
    }

    /// Removes all nodes.
    pub fn clear(&mut self) {
        self.nodes.clear();
    }

    /// The nodes with their names.
    pub fn nodes(&self) -> impl Iterator<Item = (&str, &NodeEntry)> {
        let nodes = self.nodes.iter();
        nodes.map(|(name, entry)| (name.as_str(), entry))
    }

    /// Names of the nodes.
    pub fn names(&self) -> Vec<String> {
        self.nodes.keys().cloned().collect()
    }

    /// Number of nodes.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Whether no node is known.
    pub fn is_empty(&self) -> bool {
        self.nodes.is_empty()
    }

    /// The relays of all zones, ordered by number. The result depends only on the nodes' entries.
    pub fn relays(&self) -> Vec<Relay> {
        let mut by_zone: HashMap<&ZoneName, Vec<(NodeNumber, &NodeEntry)>> = HashMap::new();
        for (name, entry) in &self.nodes {
            let zone = by_zone.entry(&entry.zone).or_default();
            zone.push((NodeNumber::of(name), entry));
        }
        let mut relays = Vec::new();
        for (zone, mut nodes) in by_zone {
            let zone_number = NodeNumber::of(zone.as_str()).0;
            nodes.sort_by_key(|(number, entry)| {
                let weight = rendezvous_weight(zone_number, number.0);
                (Reverse(entry.link_mbps), Reverse(weight), *number)
            });
            let wanted = relay_count(nodes.len());
            let elected = nodes.into_iter().take(wanted);
            relays.extend(elected.map(|(number, entry)| Relay {
                number,
                address: entry.address,
                zone: entry.zone.clone(),
            }));
        }
        relays.sort_by_key(|relay| relay.number);
        relays
    }

    /// Addresses of the `relays` of `node`'s zone whose links are much faster than its own; none if its own speed is
    /// unknown.
    pub fn faster_relays(&self, node: NodeNumber, relays: &[Relay]) -> Vec<SocketAddr> {
        let entry_of = |number: NodeNumber| {
            let mut nodes = self.nodes.iter();
            let found = nodes.find(|(name, _)| NodeNumber::of(name) == number);
            found.map(|(_, entry)| entry)
        };
        let Some(own) = entry_of(node).filter(|own| own.link_mbps > 0) else {
            return Vec::new();
        };
        let fast = own.link_mbps.saturating_mul(FASTER_LINK_FACTOR);
        let of_zone = relays.iter().filter(|relay| relay.zone == own.zone);
        let faster = of_zone
            .filter(|relay| entry_of(relay.number).is_some_and(|entry| entry.link_mbps >= fast));
        faster.map(|relay| relay.address).collect()
    }
}
