//! The pure core: heartbeats and records spread to a few random peers each tick.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use dalestand_types::{MonotonicTime, NodeId};
use rand::{Rng, RngExt as _};

use crate::message::Message;
use crate::record::{Member, Record, RecordKey};

/// Settings of the cluster.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClusterConfig {
    /// Peers told in one tick.
    pub fan_out: usize,
    /// A member whose heartbeat stood still for this long is down.
    pub failure_timeout: Duration,
}

impl Default for ClusterConfig {
    fn default() -> Self {
        Self {
            fan_out: 2,
            failure_timeout: Duration::from_secs(4),
        }
    }
}

/// What the driver is to do or to know.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send { to: SocketAddr, message: Message },
    /// A record changed.
    RecordChanged(Record),
    /// A member came up.
    MemberUp(Member),
    /// A member went down.
    MemberDown(NodeId),
}

struct Peer {
    member: Member,
    heartbeat: u64,
    heard_at: MonotonicTime,
    alive: bool,
}

/// One node's part of the cluster.
pub struct Cluster {
    config: ClusterConfig,
    me: Member,
    heartbeat: u64,
    seeds: Vec<SocketAddr>,
    peers: BTreeMap<NodeId, Peer>,
    records: BTreeMap<RecordKey, Record>,
}

impl Cluster {
    /// A node that knows only its seeds.
    pub fn new(me: Member, seeds: Vec<SocketAddr>, config: ClusterConfig) -> Self {
        let peers = BTreeMap::new();
        Self {
            config,
            me,
            heartbeat: 0,
            seeds,
            peers,
            records: BTreeMap::new(),
        }
    }

    /// Live members, this one left out.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.peers
            .values()
            .filter(|peer| peer.alive)
            .map(|peer| &peer.member)
    }

    /// A record.
    pub fn record(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Adds addresses to find others by, such as the machine list's.
    pub fn add_seeds(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        for address in addresses {
            if address != self.me.address && !self.seeds.contains(&address) {
                self.seeds.push(address);
            }
        }
    }

    /// Publishes a record; one that is not newer than what is known is dropped.
    pub fn publish(&mut self, record: Record) -> bool {
        self.take_record(record).is_some()
    }

    /// Passes time: finds members that went silent and tells a few peers what is known.
    pub fn tick<R: Rng>(&mut self, now: MonotonicTime, random: &mut R) -> Vec<Output> {
        self.heartbeat += 1;
        let mut outputs = self.find_failures(now);
        let message = self.gossip();
        for to in self.draw_targets(random) {
            outputs.push(Output::Send {
                to,
                message: message.clone(),
            });
        }
        outputs
    }

    /// Takes a datagram in.
    pub fn receive(&mut self, now: MonotonicTime, message: Message) -> Vec<Output> {
        let Message::Gossip { members, records } = message;
        let mut outputs = Vec::new();
        for (member, heartbeat) in members {
            outputs.extend(self.hear(now, member, heartbeat));
        }
        for record in records {
            outputs.extend(self.take_record(record).map(Output::RecordChanged));
        }
        outputs
    }

    fn take_record(&mut self, record: Record) -> Option<Record> {
        let newer = self
            .records
            .get(&record.key)
            .is_none_or(|known| record.version > known.version);
        if !newer {
            return None;
        }
        self.records.insert(record.key.clone(), record.clone());
        Some(record)
    }

    fn hear(&mut self, now: MonotonicTime, member: Member, heartbeat: u64) -> Option<Output> {
        if member.node == self.me.node {
            return None;
        }
        let news = (member.incarnation, heartbeat);
        if let Some(peer) = self.peers.get_mut(&member.node) {
            if news <= (peer.member.incarnation, peer.heartbeat) {
                return None;
            }
            let was_alive = std::mem::replace(&mut peer.alive, true);
            *peer = Peer {
                member: member.clone(),
                heartbeat,
                heard_at: now,
                alive: true,
            };
            return (!was_alive).then_some(Output::MemberUp(member));
        }
        let peer = Peer {
            member: member.clone(),
            heartbeat,
            heard_at: now,
            alive: true,
        };
        self.peers.insert(member.node.clone(), peer);
        Some(Output::MemberUp(member))
    }

    fn find_failures(&mut self, now: MonotonicTime) -> Vec<Output> {
        let mut outputs = Vec::new();
        for (node, peer) in &mut self.peers {
            if peer.alive && now.since(peer.heard_at) > self.config.failure_timeout {
                peer.alive = false;
                outputs.push(Output::MemberDown(node.clone()));
            }
        }
        outputs
    }

    fn gossip(&self) -> Message {
        let mut members = vec![(self.me.clone(), self.heartbeat)];
        let alive = self.peers.values().filter(|peer| peer.alive);
        members.extend(alive.map(|peer| (peer.member.clone(), peer.heartbeat)));
        Message::Gossip {
            members,
            records: self.records.values().cloned().collect(),
        }
    }

    fn draw_targets<R: Rng>(&self, random: &mut R) -> Vec<SocketAddr> {
        let mut targets: Vec<SocketAddr> = self.members().map(|peer| peer.address).collect();
        for seed in &self.seeds {
            if !targets.contains(seed) {
                targets.push(*seed);
            }
        }
        let count = self.config.fan_out.min(targets.len());
        for place in 0..count {
            let other = random.random_range(place..targets.len());
            targets.swap(place, other);
        }
        targets.truncate(count);
        targets
    }
}
