//! State of the cluster core on one node, publishing, and the periodic work. It does no I/O.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::{GroupId, MonotonicTime, NodeId, ZoneName};
use rand::{Rng, RngExt as _};

use crate::budget::ByteBudget;
use crate::config::{ClusterConfig, Output};
use crate::membership::{Membership, MembershipChange};
use crate::message::{
    Body, CodecError, ITEM_OVERHEAD_BYTES, Item, MAX_ITEM_BYTES, Message, encode, encode_item,
};
use crate::probe::{ProbeAction, Prober};
use crate::record::{Member, MemberState, MemberUpdate, Record, RecordKey, RecordVersion};
use crate::retransmit_queue::{RetransmitQueue, Subject, Urgency};

/// Maximum number of bytes of gossip items piggybacked on a ping or an ack.
const PIGGYBACK_BYTES: usize = 400;

/// A load digest published by this node that is sent at the next tick.
pub(crate) struct PendingDigest {
    pub(crate) encoded: Bytes,
    pub(crate) home: ZoneName,
    pub(crate) key: RecordKey,
    pub(crate) version: RecordVersion,
}

/// The cluster protocol as run by one node.
pub struct Cluster {
    pub(crate) config: ClusterConfig,
    pub(crate) membership: Membership,
    pub(crate) prober: Prober,
    pub(crate) retransmit_queue: RetransmitQueue,
    pub(crate) records: BTreeMap<RecordKey, Record>,
    seeds: Vec<SocketAddr>,
    listed_addresses: Vec<SocketAddr>,
    changed_digests: BTreeSet<GroupId>,
    pub(crate) pending_digests: Vec<PendingDigest>,
    /// When a digest of each group was last sent to other zones.
    pub(crate) remote_sent_at: BTreeMap<RecordKey, MonotonicTime>,
    urgent_budget: ByteBudget,
    normal_budget: ByteBudget,
    /// Until when comparisons are made at the fast sync period; `None` before the first tick.
    pub(crate) fast_sync_until: Option<MonotonicTime>,
    pub(crate) next_sync: MonotonicTime,
    /// Time of the next comparison with an address that no live member has.
    pub(crate) next_reconnect_sync: MonotonicTime,
}

impl Cluster {
    /// A node that knows no members yet, only the addresses of its seeds.
    pub fn new(me: Member, seeds: Vec<SocketAddr>, config: ClusterConfig) -> Self {
        let per_second = config.gossip_bytes_per_second;
        Self {
            config,
            membership: Membership::new(me),
            prober: Prober::default(),
            retransmit_queue: RetransmitQueue::default(),
            records: BTreeMap::new(),
            seeds,
            listed_addresses: Vec::new(),
            changed_digests: BTreeSet::new(),
            pending_digests: Vec::new(),
            remote_sent_at: BTreeMap::new(),
            urgent_budget: ByteBudget::new(per_second),
            normal_budget: ByteBudget::new(per_second),
            fast_sync_until: None,
            next_sync: MonotonicTime::ZERO,
            next_reconnect_sync: MonotonicTime::ZERO,
        }
    }

    /// This node as a member.
    pub fn local_member(&self) -> &Member {
        &self.membership.local().member
    }

    /// Live members other than this node.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.live().iter()
    }

    /// The live member with this name, unless it is this node.
    pub fn member(&self, node: &NodeId) -> Option<&Member> {
        self.members().find(|member| member.node == *node)
    }

    /// Number of live members other than this node.
    pub fn member_count(&self) -> usize {
        self.membership.live().len()
    }

    /// The record with this key, if one is known.
    pub fn record(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Groups whose load digest changed since the last call.
    pub fn take_changed_digests(&mut self) -> BTreeSet<GroupId> {
        std::mem::take(&mut self.changed_digests)
    }

    /// Replaces the node addresses known from the machine list. They are contacted, like the seeds,
    /// to find other nodes; an address that is no longer listed is not contacted again.
    pub fn set_listed_addresses(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.listed_addresses = addresses.into_iter().collect();
    }

    /// Whether any seed or listed address other than this node's own is known.
    pub fn has_contacts(&self) -> bool {
        self.contacts().next().is_some()
    }

    /// Publishes a record to all nodes. Returns `false`, without effect, if it is not newer than
    /// the known version.
    pub fn publish(&mut self, record: Record) -> Result<bool, CodecError> {
        let encoded = encode_item(&Item::Record(record.clone()))?;
        Ok(self.store(record, encoded).is_some())
    }

    /// Publishes a load digest to all nodes of zone `home`, and at a lower rate to other zones. It
    /// is sent at the next tick. Returns `false` if it is not newer than the known version.
    pub fn publish_digest(&mut self, record: Record, home: &ZoneName) -> Result<bool, CodecError> {
        let encoded = encode_item(&Item::Record(record.clone()))?;
        let Some(stored) = self.store(record, encoded.clone()) else {
            return Ok(false);
        };
        self.pending_digests.push(PendingDigest {
            encoded,
            home: home.clone(),
            key: stored.key,
            version: stored.version,
        });
        Ok(true)
    }

    /// Runs the periodic work that is due at `now`.
    pub fn tick<R: Rng>(&mut self, now: MonotonicTime, random: &mut R) -> Vec<Output> {
        let fast_sync_duration = self.config.fast_sync_duration;
        self.fast_sync_until.get_or_insert(now + fast_sync_duration);
        let mut outputs = self.probe(now, random);
        self.send_digests(now, random, &mut outputs);
        self.sync_when_due(now, random, &mut outputs);
        self.gossip(now, random, &mut outputs);
        outputs
    }

    /// Announces to a few members that this node leaves.
    pub fn leave<R: Rng>(&mut self, random: &mut R) -> Vec<Output> {
        let update = self.membership.leave();
        self.gossip_update(update);
        let peers = self.membership.live().len();
        let items = self
            .retransmit_queue
            .take(MAX_ITEM_BYTES, Urgency::Normal, peers);
        let targets = self.random_live_peers(self.config.gossip_fan_out * 2, random);
        let message = Message {
            body: Body::Gossip,
            items,
        };
        targets
            .into_iter()
            .filter_map(|to| send(to, &message))
            .collect()
    }

    /// Seeds and listed addresses, without this node's own.
    pub(crate) fn contacts(&self) -> impl Iterator<Item = SocketAddr> {
        let own = self.local_member().address;
        let known = self.seeds.iter().chain(&self.listed_addresses).copied();
        known.filter(move |address| *address != own)
    }

    /// Stores a record if it is newer than the known version, and queues it for gossip unless it is
    /// a load digest.
    pub(crate) fn store(&mut self, record: Record, encoded: Bytes) -> Option<Record> {
        let known = self.records.get(&record.key);
        if known.is_some_and(|known| known.version >= record.version) {
            return None;
        }
        match &record.key {
            RecordKey::GroupDigest(group) => drop(self.changed_digests.insert(group.clone())),
            key => {
                let urgency = urgency_of_record(key);
                self.retransmit_queue
                    .add(Subject::Record(key.clone()), urgency, encoded);
            }
        }
        self.records.insert(record.key.clone(), record.clone());
        Some(record)
    }

    /// Gossips the update of a membership change and returns its output.
    pub(crate) fn apply_change(
        &mut self,
        now: MonotonicTime,
        change: MembershipChange,
    ) -> Option<Output> {
        if let Some(update) = change.update {
            if update.state == MemberState::Alive {
                self.fast_sync_until = Some(now + self.config.fast_sync_duration);
            }
            self.gossip_update(update);
        }
        change.output
    }

    /// Sends a message with queued gossip items, up to [`PIGGYBACK_BYTES`].
    pub(crate) fn send_with_piggyback(&mut self, to: SocketAddr, body: Body) -> Option<Output> {
        let peers = self.membership.live().len();
        let items = self
            .retransmit_queue
            .take(PIGGYBACK_BYTES, Urgency::Normal, peers);
        send(to, &Message { body, items })
    }

    fn gossip_update(&mut self, update: MemberUpdate) {
        let subject = Subject::Member(update.member.node.clone());
        let urgency = match update.state {
            MemberState::Alive => Urgency::Normal,
            MemberState::Down | MemberState::Left => Urgency::Urgent,
        };
        // An update of a member always fits into an item.
        if let Ok(encoded) = encode_item(&Item::Member(update)) {
            self.retransmit_queue.add(subject, urgency, encoded);
        }
    }

    fn probe<R: Rng>(&mut self, now: MonotonicTime, random: &mut R) -> Vec<Output> {
        let members = &self.membership;
        let actions = self.prober.tick(now, members, &self.config, random);
        let mut outputs = Vec::new();
        for action in actions {
            match action {
                ProbeAction::MarkDown(node) => {
                    let change = self.membership.mark_down(now, &node);
                    outputs.extend(self.apply_change(now, change));
                }
                ProbeAction::Ping {
                    target,
                    probe,
                    indirect,
                } => self.ping(&target, probe, indirect, random, &mut outputs),
            }
        }
        outputs
    }

    fn ping<R: Rng>(
        &mut self,
        target: &NodeId,
        probe: u32,
        indirect: bool,
        random: &mut R,
        outputs: &mut Vec<Output>,
    ) {
        let Some(update) = self.membership.update(target) else {
            return;
        };
        let address = update.member.address;
        let from = self.local_member().node.clone();
        let body = Body::Ping {
            probe,
            origin: self.local_member().address,
            target: target.clone(),
            from: from.clone(),
        };
        outputs.extend(self.send_with_piggyback(address, body));
        if !indirect {
            return;
        }
        for to in self.random_live_peers(self.config.indirect_probes, random) {
            let body = Body::PingRequest {
                probe,
                target: target.clone(),
                from: from.clone(),
            };
            outputs.extend(send_body(to, body));
        }
    }

    fn gossip<R: Rng>(&mut self, now: MonotonicTime, random: &mut R, outputs: &mut Vec<Output>) {
        let has_urgent_allowance = self.urgent_budget.has_allowance(now);
        if has_urgent_allowance && self.retransmit_queue.has_items(Urgency::Urgent) {
            let bytes = self.gossip_round(Urgency::Urgent, random, outputs);
            self.urgent_budget.spend(bytes);
        }
        let has_normal_allowance = self.normal_budget.has_allowance(now);
        if has_normal_allowance && self.retransmit_queue.has_items(Urgency::Normal) {
            let bytes = self.gossip_round(Urgency::Normal, random, outputs);
            self.normal_budget.spend(bytes);
        }
    }

    /// Sends queued items to a few peers; returns the bytes of these items.
    fn gossip_round<R: Rng>(
        &mut self,
        min_urgency: Urgency,
        random: &mut R,
        outputs: &mut Vec<Output>,
    ) -> usize {
        let peers = self.membership.live().len();
        let mut bytes = 0;
        for to in self.random_live_peers(self.config.gossip_fan_out, random) {
            let items = self
                .retransmit_queue
                .take(MAX_ITEM_BYTES, min_urgency, peers);
            if items.is_empty() {
                break;
            }
            let sizes = items.iter().map(|item| item.len() + ITEM_OVERHEAD_BYTES);
            bytes += sizes.sum::<usize>();
            let body = Body::Gossip;
            outputs.extend(send(to, &Message { body, items }));
        }
        bytes
    }

    pub(crate) fn random_live_peers<R: Rng>(
        &self,
        count: usize,
        random: &mut R,
    ) -> Vec<SocketAddr> {
        let live = self.membership.live();
        let indices = rand::seq::index::sample(random, live.len(), count.min(live.len()));
        indices.iter().map(|index| live[index].address).collect()
    }
}

fn urgency_of_record(key: &RecordKey) -> Urgency {
    match key {
        RecordKey::Configuration | RecordKey::Drain(_) | RecordKey::Machine(_) => Urgency::Urgent,
        RecordKey::GroupDigest(_) => Urgency::Normal,
    }
}

/// Chooses `count` of the addresses at random.
pub(crate) fn choose_random<R: Rng>(
    mut addresses: Vec<SocketAddr>,
    count: usize,
    random: &mut R,
) -> Vec<SocketAddr> {
    let count = count.min(addresses.len());
    for index in 0..count {
        let other = random.random_range(index..addresses.len());
        addresses.swap(index, other);
    }
    addresses.truncate(count);
    addresses
}

/// A datagram with a body and no items.
pub(crate) fn send_body(to: SocketAddr, body: Body) -> Option<Output> {
    let items = Vec::new();
    send(to, &Message { body, items })
}

/// A datagram with a message. Items were encoded and checked before, so encoding does not fail.
pub(crate) fn send(to: SocketAddr, message: &Message) -> Option<Output> {
    let datagram = encode(message).ok()?;
    Some(Output::Send { to, datagram })
}
