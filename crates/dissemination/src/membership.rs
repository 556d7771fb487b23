//! The nodes of the fleet, and which of them are relays.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use dalestand_routing::staged::{EngineKey, rendezvous_weight};
use dalestand_types::ZoneName;
use serde::{Deserialize, Serialize};

/// Relays in each zone. With three, a zone loses its relays only if three given machines fail
/// within the time in which their entries lapse; a fleet of up to three nodes a zone exchanges
/// directly.
pub const RELAYS_PER_ZONE: usize = 3;

/// Nodes of a zone for each relay beyond the first three. A relay sends tables to so many members: at
/// 29 KB a second each that is 15 Mbit/s, a twelfth of the links that relays are chosen for, and an
/// entry of each of 10,000 engines to all of them after a start takes its link two seconds.
pub const NODES_PER_RELAY: usize = 64;

/// Relays of a zone with so many nodes.
fn relays_of_zone(nodes: usize) -> usize {
    nodes.div_ceil(NODES_PER_RELAY).max(RELAYS_PER_ZONE)
}

/// A number for a node that all nodes agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NodeNumber(pub u64);

impl NodeNumber {
    /// The number of the node of this name.
    pub fn of(name: &str) -> Self {
        Self(EngineKey::of(name).0)
    }
}

/// What a node tells of itself in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeEntry {
    /// Where other nodes reach it (UDP).
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Speed of its link, in megabits a second; 0 if it is not known.
    pub link_mbps: u32,
}

impl NodeEntry {
    /// The entry as text for the key-value service.
    pub fn to_text(&self) -> Result<String, serde_json::Error> {
        serde_json::to_string(self)
    }

    /// Reads an entry that [`Self::to_text`] wrote.
    pub fn parse(text: &str) -> Result<Self, serde_json::Error> {
        serde_json::from_str(text)
    }
}

/// A node that passes fleet-wide state on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Relay {
    /// Its number.
    pub number: NodeNumber,
    /// Where other nodes reach it (UDP).
    pub address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
}

/// The nodes by name, as their entries in the key-value service tell.
#[derive(Clone, Debug, Default)]
pub struct NodeDirectory {
    nodes: BTreeMap<String, NodeEntry>,
}

impl NodeDirectory {
    /// Notes a node's entry, or that it is gone.
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

    /// Forgets all nodes.
    pub fn clear(&mut self) {
        self.nodes.clear();
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

    /// The relays of all zones, ordered by number. Nodes that know the same entries elect the same.
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
            let wanted = relays_of_zone(nodes.len());
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
}
