//! The pure core of one node: what it knows, and what it does as time passes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use bytes::Bytes;
use dalestand_types::{GroupId, MonotonicTime, NodeId, ZoneName};
use rand::{Rng, RngExt as _};

use crate::budget::ByteBudget;
use crate::config::{ClusterConfig, Output};
use crate::membership::{Membership, Taken};
use crate::message::{
    Body, CodecError, ITEM_OVERHEAD_BYTES, Item, MAX_ITEM_BYTES, Message, encode, encode_item,
};
use crate::probe::{ProbeAction, Prober};
use crate::record::{Member, MemberState, MemberUpdate, Record, RecordKey, RecordVersion};
use crate::rumour::{Rumours, Subject, Urgency};

/// Bytes of news that ride on a ping or an ack.
const PIGGYBACK_BYTES: usize = 400;

/// A load digest of this node that waits for the next tick.
pub(crate) struct OwnDigest {
    pub(crate) encoded: Bytes,
    pub(crate) home: ZoneName,
    pub(crate) group: RecordKey,
    pub(crate) version: RecordVersion,
}

/// One node's part of the cluster.
pub struct Cluster {
    pub(crate) config: ClusterConfig,
    pub(crate) membership: Membership,
    pub(crate) prober: Prober,
    pub(crate) rumours: Rumours,
    pub(crate) records: BTreeMap<RecordKey, Record>,
    seeds: Vec<SocketAddr>,
    listed: Vec<SocketAddr>,
    changed_digests: BTreeSet<GroupId>,
    pub(crate) own_digests: Vec<OwnDigest>,
    pub(crate) far_sent_at: BTreeMap<RecordKey, MonotonicTime>,
    urgent_budget: ByteBudget,
    usual_budget: ByteBudget,
    /// Until when what this node knows is compared more often.
    pub(crate) unsettled_until: Option<MonotonicTime>,
    pub(crate) next_sync: MonotonicTime,
    pub(crate) next_contact: MonotonicTime,
}

impl Cluster {
    /// A node that knows only its seeds.
    pub fn new(me: Member, seeds: Vec<SocketAddr>, config: ClusterConfig) -> Self {
        let per_second = config.gossip_bytes_per_second;
        Self {
            config,
            membership: Membership::new(me),
            prober: Prober::default(),
            rumours: Rumours::default(),
            records: BTreeMap::new(),
            seeds,
            listed: Vec::new(),
            changed_digests: BTreeSet::new(),
            own_digests: Vec::new(),
            far_sent_at: BTreeMap::new(),
            urgent_budget: ByteBudget::new(per_second),
            usual_budget: ByteBudget::new(per_second),
            unsettled_until: None,
            next_sync: MonotonicTime::ZERO,
            next_contact: MonotonicTime::ZERO,
        }
    }

    /// This node.
    pub fn local_member(&self) -> &Member {
        &self.membership.local().member
    }

    /// Live members, this one left out.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.membership.live().iter()
    }

    /// A live member, this one left out.
    pub fn member(&self, node: &NodeId) -> Option<&Member> {
        self.members().find(|member| member.node == *node)
    }

    /// Number of live members, this one left out.
    pub fn member_count(&self) -> usize {
        self.membership.live().len()
    }

    /// A record.
    pub fn record(&self, key: &RecordKey) -> Option<&Record> {
        self.records.get(key)
    }

    /// All records.
    pub fn records(&self) -> impl Iterator<Item = &Record> {
        self.records.values()
    }

    /// Groups whose digest changed since the last call.
    pub fn take_changed_digests(&mut self) -> BTreeSet<GroupId> {
        std::mem::take(&mut self.changed_digests)
    }

    /// Replaces the addresses of nodes that the machine list names. They and the seeds are what
    /// others are found by; one that left the list is not asked any more.
    pub fn set_listed_addresses(&mut self, addresses: impl IntoIterator<Item = SocketAddr>) {
        self.listed = addresses.into_iter().collect();
    }

    /// Whether this node knows of addresses to find others by.
    pub fn has_contacts(&self) -> bool {
        self.contacts().next().is_some()
    }

    /// Publishes a record that every node is to get. Yields whether it is newer than what is known.
    pub fn publish(&mut self, record: Record) -> Result<bool, CodecError> {
        let encoded = encode_item(&Item::Record(record.clone()))?;
        Ok(self.store(record, encoded).is_some())
    }

    /// Publishes a load digest: to the whole of zone `home` each time, to other zones at a lower
    /// rate. It leaves with the next tick.
    pub fn publish_digest(&mut self, record: Record, home: &ZoneName) -> Result<bool, CodecError> {
        let encoded = encode_item(&Item::Record(record.clone()))?;
        let Some(stored) = self.store(record, encoded.clone()) else {
            return Ok(false);
        };
        self.own_digests.push(OwnDigest {
            encoded,
            home: home.clone(),
            group: stored.key,
            version: stored.version,
        });
        Ok(true)
    }

    /// Passes time.
    pub fn tick<R: Rng>(&mut self, now: MonotonicTime, random: &mut R) -> Vec<Output> {
        let fast_sync_duration = self.config.fast_sync_duration;
        self.unsettled_until.get_or_insert(now + fast_sync_duration);
        let mut outputs = self.probe(now, random);
        self.send_digests(now, random, &mut outputs);
        self.sync_when_due(now, random, &mut outputs);
        self.gossip(now, random, &mut outputs);
        outputs
    }

    /// Tells a few members that this node leaves as planned.
    pub fn leave<R: Rng>(&mut self, random: &mut R) -> Vec<Output> {
        let update = self.membership.leave();
        self.spread(update);
        let peers = self.membership.live().len();
        let items = self.rumours.take(MAX_ITEM_BYTES, Urgency::Usual, peers);
        let targets = self.draw_live(self.config.gossip_fan_out * 2, random);
        let message = Message {
            body: Body::Gossip,
            items,
        };
        targets
            .into_iter()
            .filter_map(|to| send(to, &message))
            .collect()
    }

    /// Addresses to find others by.
    pub(crate) fn contacts(&self) -> impl Iterator<Item = SocketAddr> {
        let own = self.local_member().address;
        let known = self.seeds.iter().chain(&self.listed).copied();
        known.filter(move |address| *address != own)
    }

    /// Stores a record that is newer than the known one and passes a durable one on.
    pub(crate) fn store(&mut self, record: Record, encoded: Bytes) -> Option<Record> {
        let known = self.records.get(&record.key);
        if known.is_some_and(|known| known.version >= record.version) {
            return None;
        }
        match &record.key {
            RecordKey::GroupDigest(group) => drop(self.changed_digests.insert(group.clone())),
            key => {
                let urgency = urgency_of_record(key);
                self.rumours
                    .add(Subject::Record(key.clone()), urgency, encoded);
            }
        }
        self.records.insert(record.key.clone(), record.clone());
        Some(record)
    }

    /// Passes on what a claim changed.
    pub(crate) fn absorb(&mut self, now: MonotonicTime, taken: Taken) -> Option<Output> {
        if let Some(update) = taken.news {
            if update.state == MemberState::Alive {
                self.unsettled_until = Some(now + self.config.fast_sync_duration);
            }
            self.spread(update);
        }
        taken.output
    }

    /// Sends a message with as much news as may ride on it.
    pub(crate) fn send_with_news(&mut self, to: SocketAddr, body: Body) -> Option<Output> {
        let peers = self.membership.live().len();
        let items = self.rumours.take(PIGGYBACK_BYTES, Urgency::Usual, peers);
        send(to, &Message { body, items })
    }

    fn spread(&mut self, update: MemberUpdate) {
        let subject = Subject::Member(update.member.node.clone());
        let urgency = match update.state {
            MemberState::Alive => Urgency::Usual,
            MemberState::Down | MemberState::Left => Urgency::Urgent,
        };
        // A claim about a member always fits; one that does not is not spread.
        if let Ok(encoded) = encode_item(&Item::Member(update)) {
            self.rumours.add(subject, urgency, encoded);
        }
    }

    fn probe<R: Rng>(&mut self, now: MonotonicTime, random: &mut R) -> Vec<Output> {
        let members = &self.membership;
        let actions = self.prober.tick(now, members, &self.config, random);
        let mut outputs = Vec::new();
        for action in actions {
            match action {
                ProbeAction::CallDown(node) => {
                    let taken = self.membership.call_down(now, &node);
                    outputs.extend(self.absorb(now, taken));
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
        outputs.extend(self.send_with_news(address, body));
        if !indirect {
            return;
        }
        for to in self.draw_live(self.config.indirect_probes, random) {
            let body = Body::PingRequest {
                probe,
                target: target.clone(),
                from: from.clone(),
            };
            outputs.extend(send_body(to, body));
        }
    }

    fn gossip<R: Rng>(&mut self, now: MonotonicTime, random: &mut R, outputs: &mut Vec<Output>) {
        let urgent = self.urgent_budget.is_open(now);
        if urgent && self.rumours.has(Urgency::Urgent) {
            let bytes = self.gossip_round(Urgency::Urgent, random, outputs);
            self.urgent_budget.spend(bytes);
        }
        let usual = self.usual_budget.is_open(now);
        if usual && self.rumours.has(Urgency::Usual) {
            let bytes = self.gossip_round(Urgency::Usual, random, outputs);
            self.usual_budget.spend(bytes);
        }
    }

    /// Tells a few peers some of the news; yields the bytes that it took.
    fn gossip_round<R: Rng>(
        &mut self,
        least: Urgency,
        random: &mut R,
        outputs: &mut Vec<Output>,
    ) -> usize {
        let peers = self.membership.live().len();
        let mut bytes = 0;
        for to in self.draw_live(self.config.gossip_fan_out, random) {
            let items = self.rumours.take(MAX_ITEM_BYTES, least, peers);
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

    pub(crate) fn draw_live<R: Rng>(&self, count: usize, random: &mut R) -> Vec<SocketAddr> {
        let live = self.membership.live();
        let places = rand::seq::index::sample(random, live.len(), count.min(live.len()));
        places.iter().map(|place| live[place].address).collect()
    }
}

fn urgency_of_record(key: &RecordKey) -> Urgency {
    match key {
        RecordKey::Configuration | RecordKey::Drain(_) | RecordKey::Machine(_) => Urgency::Urgent,
        RecordKey::GroupDigest(_) => Urgency::Usual,
    }
}

/// Draws `count` different addresses.
pub(crate) fn draw<R: Rng>(
    mut addresses: Vec<SocketAddr>,
    count: usize,
    random: &mut R,
) -> Vec<SocketAddr> {
    let count = count.min(addresses.len());
    for place in 0..count {
        let other = random.random_range(place..addresses.len());
        addresses.swap(place, other);
    }
    addresses.truncate(count);
    addresses
}

/// A datagram without items.
pub(crate) fn send_body(to: SocketAddr, body: Body) -> Option<Output> {
    let items = Vec::new();
    send(to, &Message { body, items })
}

/// A datagram. Its parts were checked when they were taken in, so encoding does not fail.
pub(crate) fn send(to: SocketAddr, message: &Message) -> Option<Output> {
    let datagram = encode(message).ok()?;
    Some(Output::Send { to, datagram })
}
