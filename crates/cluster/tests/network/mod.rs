//! Simulated network of cluster cores in virtual time, with loss, duplication, delay and
//! partitions.

#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use dalestand_cluster::{
    Cluster, ClusterConfig, MAX_DATAGRAM_BYTES, Member, Output, Record, RecordKey, RecordVersion,
};
use dalestand_types::{Incarnation, MonotonicTime, NodeId, ZoneName};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

const TICK: Duration = Duration::from_millis(50);

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    pub loss: f64,
    pub duplication: f64,
}

pub struct Node {
    pub cluster: Cluster,
    pub alive: bool,
    pub up_notifications: Vec<NodeId>,
    pub down_notifications: Vec<NodeId>,
    pub versions: BTreeMap<RecordKey, Vec<RecordVersion>>,
    pub bytes_sent: usize,
    pub datagrams_received: usize,
}

pub struct Network {
    pub now: MonotonicTime,
    pub nodes: Vec<Node>,
    pub faults: Faults,
    /// Zones that are partitioned from all others.
    pub partitioned_zones: Vec<ZoneName>,
    addresses: HashMap<SocketAddr, usize>,
    in_transit: BTreeMap<(MonotonicTime, u64), (SocketAddr, SocketAddr, Bytes)>,
    sent_to: HashMap<SocketAddr, usize>,
    sequence: u64,
    random: ChaCha8Rng,
}

impl Network {
    pub fn new(seed: u64, faults: Faults) -> Self {
        Self {
            now: MonotonicTime::ZERO,
            nodes: Vec::new(),
            faults,
            partitioned_zones: Vec::new(),
            addresses: HashMap::new(),
            in_transit: BTreeMap::new(),
            sent_to: HashMap::new(),
            sequence: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// A network whose nodes are spread evenly over `zones` zones and have the first node as seed.
    pub fn with_nodes(seed: u64, faults: Faults, nodes: usize, zones: usize) -> Self {
        let mut network = Self::new(seed, faults);
        for index in 0..nodes {
            network.start(&format!("n{index:03}"), 1, &format!("z{}", index % zones));
        }
        network
    }

    pub fn start(&mut self, name: &str, incarnation: u64, zone: &str) -> usize {
        let index = self.nodes.len();
        let address = SocketAddr::from(([127, 0, 0, 1], 1_000 + index as u16));
        let member = Member {
            node: NodeId::from(name),
            incarnation: Incarnation(incarnation),
            zone: ZoneName::from(zone),
            address,
            operator_address: address,
        };
        let seeds = vec![SocketAddr::from(([127, 0, 0, 1], 1_000))];
        self.addresses.insert(address, index);
        self.nodes.push(Node {
            cluster: Cluster::new(member, seeds, ClusterConfig::default()),
            alive: true,
            up_notifications: Vec::new(),
            down_notifications: Vec::new(),
            versions: BTreeMap::new(),
            bytes_sent: 0,
            datagrams_received: 0,
        });
        index
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until `condition` holds and returns the elapsed time; panics after `limit`.
    pub fn run_until(&mut self, limit: Duration, condition: impl Fn(&Self) -> bool) -> Duration {
        let start = self.now;
        while !condition(self) {
            assert!(
                self.now.since(start) < limit,
                "the condition did not hold within {limit:?}"
            );
            self.step();
        }
        self.now.since(start)
    }

    /// Stops a node after it has announced that it leaves.
    pub fn leave(&mut self, index: usize) {
        let outputs = self.nodes[index].cluster.leave(&mut self.random);
        self.process_outputs(index, outputs);
        self.nodes[index].alive = false;
    }

    pub fn live(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.alive)
    }

    /// Whether every live node knows exactly the other live nodes.
    pub fn agrees(&self) -> bool {
        let live = self.live().count();
        self.live().all(|node| {
            node.cluster.member_count() == live - 1
                && node.cluster.members().all(|member| {
                    let index = self.addresses[&member.address];
                    self.nodes[index].alive
                })
        })
    }

    pub fn all_have(&self, key: &RecordKey, version: RecordVersion) -> bool {
        self.live()
            .all(|node| node.cluster.record(key).map(|one| one.version) == Some(version))
    }

    /// Number of datagrams sent to an address.
    pub fn sent_to(&self, address: SocketAddr) -> usize {
        self.sent_to.get(&address).copied().unwrap_or(0)
    }

    pub fn down_notifications(&self) -> usize {
        self.nodes
            .iter()
            .map(|node| node.down_notifications.len())
            .sum()
    }

    fn step(&mut self) {
        for index in 0..self.nodes.len() {
            if self.nodes[index].alive {
                let outputs = self.nodes[index].cluster.tick(self.now, &mut self.random);
                self.process_outputs(index, outputs);
            }
        }
        let end = self.now + TICK;
        while let Some(entry) = self.in_transit.first_entry() {
            if entry.key().0 >= end {
                break;
            }
            let (at, _) = *entry.key();
            let (from, to, datagram) = entry.remove();
            self.now = self.now.max(at);
            self.deliver(from, to, &datagram);
        }
        self.now = end;
    }

    fn deliver(&mut self, from: SocketAddr, to: SocketAddr, datagram: &[u8]) {
        let Some(index) = self.addresses.get(&to).copied() else {
            return;
        };
        if !self.nodes[index].alive || self.is_partitioned(from, to) {
            return;
        }
        let node = &mut self.nodes[index];
        node.datagrams_received += 1;
        let outputs = node
            .cluster
            .receive(self.now, from, datagram, &mut self.random)
            .expect("a datagram of another node");
        self.process_outputs(index, outputs);
    }

    fn is_partitioned(&self, from: SocketAddr, to: SocketAddr) -> bool {
        let zone = |address| {
            &self.nodes[self.addresses[&address]]
                .cluster
                .local_member()
                .zone
        };
        zone(from) != zone(to)
            && (self.partitioned_zones.contains(zone(from))
                || self.partitioned_zones.contains(zone(to)))
    }

    fn process_outputs(&mut self, index: usize, outputs: Vec<Output>) {
        let from = self.nodes[index].cluster.local_member().address;
        for output in outputs {
            let node = &mut self.nodes[index];
            match output {
                Output::Send { to, datagram } => {
                    assert!(datagram.len() <= MAX_DATAGRAM_BYTES, "{}", datagram.len());
                    node.bytes_sent += datagram.len();
                    self.transmit(from, to, datagram);
                }
                Output::RecordChanged(record) => {
                    let versions = node.versions.entry(record.key).or_default();
                    versions.push(record.version);
                }
                Output::RecordAnnounced { record, .. } => {
                    // The content counts as fetched at once.
                    if node.cluster.publish(record.clone()) == Ok(true) {
                        let versions = node.versions.entry(record.key).or_default();
                        versions.push(record.version);
                    }
                }
                Output::MemberUp(member) => node.up_notifications.push(member.node),
                Output::MemberDown(member) => node.down_notifications.push(member),
            }
        }
    }

    fn transmit(&mut self, from: SocketAddr, to: SocketAddr, datagram: Bytes) {
        *self.sent_to.entry(to).or_default() += 1;
        let copies = 1 + usize::from(self.random.random_bool(self.faults.duplication));
        for _ in 0..copies {
            if self.random.random_bool(self.faults.loss) {
                continue;
            }
            let delay = Duration::from_micros(self.random.random_range(200..30_000));
            self.sequence += 1;
            let key = (self.now + delay, self.sequence);
            self.in_transit.insert(key, (from, to, datagram.clone()));
        }
    }
}

pub fn record(key: RecordKey, major: u64, payload: usize) -> Record {
    Record {
        key,
        version: RecordVersion { major, minor: 0 },
        payload: Bytes::from(vec![7; payload]),
    }
}
