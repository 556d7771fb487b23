//! Fleet-wide state at this node: the elected relays, this node's role, the known entries, and the
//! changes that remain to be sent.
//!
//! The protocol and its messages are defined in `dalestand_dissemination`; [`send`] and [`receive`]
//! do the I/O.

pub(crate) mod bulk;
mod bulk_queue;
mod contents;
mod datagram;
pub(crate) mod engine_notices;
mod fingerprint_key;
mod freshness;
mod news_queue;
pub(crate) mod notice_queue;
pub(crate) mod own_figures;
mod own_reports;
mod pacing;
mod page_cache;
pub(crate) mod part_evidence;
pub(crate) mod receive;
pub(crate) mod recent_changes;
pub(crate) mod retransmit_queue;
pub(crate) mod send;
mod software;
pub(crate) mod sums;
pub(crate) mod tables;
#[cfg(test)]
mod tests;
pub(crate) mod transmit;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use dalestand_dissemination::{
    DeclarationSync, EntryRecord, EntrySync, EntryTable, LeaseHolder, NodeDirectory, NodeNumber,
    Relay, Subscribers, Subscription,
};
use dalestand_routing::reachability::Peer;
use dalestand_routing::staged::{EngineKey, rendezvous_weight};
use dalestand_stream_origins::StreamKey;
use dalestand_types::{MonotonicTime, ZoneName};
use rand::RngExt as _;
use tokio::sync::watch;

use crate::dissemination::bulk_queue::BulkQueue;
use crate::dissemination::fingerprint_key::KeyRequests;
use crate::dissemination::news_queue::NewsQueue;
use crate::dissemination::notice_queue::NoticeQueue;
use crate::dissemination::own_reports::OwnReports;
use crate::dissemination::page_cache::PageCache;
use crate::dissemination::recent_changes::RecentChanges;
use crate::fleet::declaration_text::DeclarationText;
use crate::fleet::restored_entries::WithheldEntries;
use crate::node::settings::ForwardingSettings;

/// Longest interval between two tables of a relay.
pub(crate) const TABLE_INTERVAL: Duration = Duration::from_millis(100);

/// A member considers its relay lost after this time without a table: six table intervals. The switch
/// to another relay must fit within the shortest drain bound (2 s).
const RELAY_SILENCE_LIMIT: Duration = Duration::from_millis(600);

/// A relay sends no more tables to a member that was silent for this long. Members without work send
/// several reports in that time.
const MEMBER_SILENCE_LIMIT: Duration = Duration::from_secs(2);

/// A node that has received nothing from a relay for this long reads the key-value service itself.
/// Probing other relays takes one round trip, so this happens only if none is reachable.
const STORE_READ_DELAY: Duration = Duration::from_millis(1_200);

/// Range of the random jitter added to [`STORE_READ_DELAY`] in small fleets, so that nodes that lost their
/// relays together do not read at the same moment.
const STORE_READ_JITTER: Duration = Duration::from_millis(800);

/// Range of the jitter per known node, where that is larger. Listing all entries of 10,000 engines takes
/// the key-value service's link 20 ms, and concurrent listings would delay those of relays.
const STORE_READ_JITTER_PER_NODE: Duration = Duration::from_millis(20);

/// How long a node acts as a relay after another relay sent it an exchange, whether elected or not.
const EXCHANGE_PEER_TTL: Duration = Duration::from_secs(3);

/// A node that has received nothing from other nodes for this long considers itself isolated: well
/// before its entry expires and the others remove it.
const ISOLATION_TIMEOUT: Duration = Duration::from_secs(4);

/// A relay from which another has received nothing for this long is skipped as permit issuer: three
/// of its messages, which are at most 0.3 s apart.
const PEER_RELAY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for the answer to a request for entries: the whole of a large fleet's at the pace of a slow link.
const ENTRIES_ANSWER_TIME: Duration = Duration::from_secs(3);

/// Relays that keep the origins of a node that does not know which of them should: all of a large fleet.
const MAX_UNLISTED_HOLDERS: usize = 18;

/// The entries that a relay announced.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct AnnouncedEntries {
    pub(crate) relay: NodeNumber,
    pub(crate) address: SocketAddr,
    /// Digest of its entries.
    pub(crate) digest: u64,
    pub(crate) announced_at: MonotonicTime,
}

/// This node's role in dissemination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DisseminationRole {
    /// It sends state to members and exchanges sums with other relays.
    pub(crate) is_relay: bool,
    /// It reads engine and node entries from the key-value service.
    pub(crate) reads_store: bool,
}

/// Fleet-wide state at this node.
pub(crate) struct Dissemination {
    pub(crate) node: NodeNumber,
    zone: ZoneName,
    /// Registered nodes, including this one. Updated only while this node reads the key-value service.
    directory: RefCell<NodeDirectory>,
    /// Relays elected from `directory`.
    relays: RefCell<Vec<Relay>>,
    /// Relays of the own zone whose links are much faster than this node's.
    faster_relays: RefCell<Vec<SocketAddr>>,
    /// Relays that sent this node an exchange, with the time of the last one.
    exchange_peers: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    /// Until when this node acts as a relay because another relay sent it an exchange.
    relay_until: Cell<MonotonicTime>,
    /// This node's fraction of the jitter before it reads the key-value service, from 0 to 1.
    read_jitter_fraction: f64,
    /// Number of nodes according to this node's relay.
    reported_node_count: Cell<usize>,
    reads_store: watch::Sender<bool>,
    /// Whether the entries of all nodes have been listed since the start.
    nodes_listed: Cell<bool>,
    /// The active declaration, if it is short enough to be sent to other nodes.
    pub(crate) declaration: RefCell<Option<DeclarationText>>,
    /// Transfer of a newer declaration from a relay.
    pub(crate) declaration_sync: RefCell<DeclarationSync>,
    pub(crate) subscription: RefCell<Subscription>,
    pub(crate) subscribers: RefCell<Subscribers>,
    pub(crate) entries: RefCell<EntryTable>,
    /// Keys of unreadable engine entries that were logged.
    pub(crate) unreadable_entries: RefCell<HashSet<String>>,
    /// Entries withheld after the key-value service was restored from a backup.
    withheld_entries: RefCell<WithheldEntries>,
    pub(crate) changes: RefCell<RecentChanges>,
    /// Schedule of requests for entries that differ from the relay's.
    pub(crate) entry_sync: RefCell<EntrySync>,
    /// Entries of a relay that differed from this node's when they were announced, until they agree.
    pub(crate) differing_entries: Cell<Option<AnnouncedEntries>>,
    /// Relays that this node requested entries from, with the time of the last request.
    entries_requests: RefCell<HashMap<NodeNumber, MonotonicTime>>,
    /// Since when software versions of engines are missing.
    software_missing_since: Cell<Option<MonotonicTime>>,
    /// When this node last requested software versions of engines.
    software_requested_at: Cell<MonotonicTime>,
    /// Requests for software versions since none was missing.
    software_requests: Cell<usize>,
    /// Requests for the fleet's fingerprint key.
    key_requests: KeyRequests,
    /// Pages of the last answer to an entries request.
    pub(crate) page_cache: RefCell<Option<PageCache>>,
    /// Nodes that wait for the known cached prompt parts.
    pub(crate) parts_requesters: RefCell<Vec<SocketAddr>>,
    /// Announcements by engines that are to be sent to other nodes.
    pub(crate) notices: NoticeQueue,
    /// Long answers that are to be sent to requesting nodes.
    pub(crate) bulk: BulkQueue,
    /// News to send to members.
    pub(crate) table_news: RefCell<NewsQueue>,
    /// News to send to relays.
    pub(crate) exchange_news: RefCell<NewsQueue>,
    pub(crate) own_reports: RefCell<OwnReports>,
    /// The lease holder according to the key-value service or a relay.
    lease_holder: Cell<Option<LeaseHolder>>,
}

impl Dissemination {
    pub(crate) fn new(settings: &ForwardingSettings) -> Self {
        let node = NodeNumber::of(settings.node.as_str());
        let subscription = Subscription::new(node, settings.zone.clone(), RELAY_SILENCE_LIMIT);
        Self {
            node,
            zone: settings.zone.clone(),
            directory: RefCell::default(),
            relays: RefCell::default(),
            faster_relays: RefCell::default(),
            exchange_peers: RefCell::default(),
            relay_until: Cell::new(MonotonicTime::ZERO),
            read_jitter_fraction: rand::rng().random_range(0.0..1.0),
            reported_node_count: Cell::new(1),
            reads_store: watch::Sender::new(false),
            nodes_listed: Cell::new(false),
            declaration: RefCell::default(),
            declaration_sync: RefCell::default(),
            subscription: RefCell::new(subscription),
            subscribers: RefCell::new(Subscribers::new(MEMBER_SILENCE_LIMIT)),
            entries: RefCell::default(),
            unreadable_entries: RefCell::default(),
            withheld_entries: RefCell::default(),
            changes: RefCell::default(),
            entry_sync: RefCell::new(EntrySync::new(settings.engine_drain())),
            differing_entries: Cell::new(None),
            entries_requests: RefCell::default(),
            software_missing_since: Cell::new(None),
            software_requested_at: Cell::new(MonotonicTime::ZERO),
            software_requests: Cell::new(0),
            key_requests: KeyRequests::default(),
            page_cache: RefCell::default(),
            parts_requesters: RefCell::default(),
            notices: NoticeQueue::default(),
            bulk: BulkQueue::default(),
            table_news: RefCell::default(),
            exchange_news: RefCell::default(),
            own_reports: RefCell::default(),
            lease_holder: Cell::new(None),
        }
    }

    /// Updates the registered nodes and elects the relays again.
    pub(crate) fn update_directory(&self, change: impl FnOnce(&mut NodeDirectory)) {
        let mut directory = self.directory.borrow_mut();
        change(&mut directory);
        let relays = directory.relays();
        let faster = directory.faster_relays(self.node, &relays);
        self.faster_relays.replace(faster);
        self.subscription.borrow_mut().set_relays(relays.clone());
        self.relays.replace(relays);
    }

    /// Sets the lease holder by its node name and fencing token.
    pub(crate) fn set_lease_holder_by_name(&self, name: &str, token: u64) {
        let entry = self.directory.borrow().get(name).cloned();
        self.set_lease_holder(entry.map(|entry| LeaseHolder {
            node: NodeNumber::of(name),
            address: entry.address,
            token,
        }));
    }

    /// Sets the lease holder unless a newer one is known. The last holder is kept until there is a newer
    /// one.
    pub(crate) fn set_lease_holder(&self, holder: Option<LeaseHolder>) {
        let known = self.lease_holder.get().map_or(0, |known| known.token);
        if holder.is_some_and(|holder| holder.token > known) {
            self.lease_holder.set(holder);
        }
    }

    /// `records` without those withheld since a restore of the key-value service.
    pub(crate) fn drop_withheld(
        &self,
        now: MonotonicTime,
        records: Vec<EntryRecord>,
    ) -> Vec<EntryRecord> {
        let entries = self.entries.borrow();
        let mut withheld = self.withheld_entries.borrow_mut();
        withheld.drop_withheld(&entries, now, records)
    }

    /// Records that this node requests entries from `relay`.
    fn record_entries_request(&self, now: MonotonicTime, relay: NodeNumber) {
        let mut requests = self.entries_requests.borrow_mut();
        requests.retain(|_, asked_at| now.since(*asked_at) < ENTRIES_ANSWER_TIME);
        requests.insert(relay, now);
    }

    /// Whether pages of entries from `node` are to be applied: those of the relay that this node follows or has
    /// requested entries from.
    fn takes_entries_from(&self, now: MonotonicTime, node: NodeNumber) -> bool {
        let subscription = self.subscription.borrow();
        let current = subscription.current();
        let asked_at = self.entries_requests.borrow().get(&node).copied();
        current.is_some_and(|relay| relay.number == node)
            || asked_at.is_some_and(|asked_at| now.since(asked_at) < ENTRIES_ANSWER_TIME)
    }

    /// A relay other than `relay`, those of the own zone first; `index` counts through them in turn.
    fn other_entries_source(&self, relay: NodeNumber, index: usize) -> Option<Relay> {
        let subscription = self.subscription.borrow();
        let others = subscription.relays().iter();
        let others = others.filter(|other| other.number != relay);
        let (own, foreign): (Vec<&Relay>, Vec<&Relay>) =
            others.partition(|other| other.zone == self.zone);
        let others: Vec<&Relay> = own.into_iter().chain(foreign).collect();
        others
            .get(index.checked_rem(others.len())?)
            .copied()
            .cloned()
    }

    /// The lease holder, if known.
    pub(crate) fn lease_holder(&self) -> Option<LeaseHolder> {
        self.lease_holder.get()
    }

    /// Number of registered nodes, at least 1 for this one.
    pub(crate) fn node_count(&self) -> usize {
        self.directory.borrow().len().max(1)
    }

    /// The elected relays except this node.
    pub(crate) fn other_relays(&self) -> Vec<Relay> {
        let relays = self.relays.borrow();
        let others = relays.iter().filter(|relay| relay.number != self.node);
        others.cloned().collect()
    }

    /// Addresses of the relays that keep the origin of a stream, without this node: of the first `count` by preference, of
    /// different zones first. A relay that could not list the others, as the key-value service refuses it, takes those
    /// that send it exchanges.
    pub(crate) fn origin_holders(
        &self,
        now: MonotonicTime,
        stream: StreamKey,
        count: usize,
    ) -> Vec<SocketAddr> {
        let is_relay = self.role(now).is_relay;
        if is_relay && !self.has_listed_nodes() {
            let peers = self.exchange_addresses(now).into_iter();
            return peers.take(MAX_UNLISTED_HOLDERS).collect();
        }
        let relays = self.permit_issuers(EngineKey(stream.0), is_relay);
        let mut zones = HashSet::new();
        let (spread, others): (Vec<Relay>, Vec<Relay>) = relays
            .into_iter()
            .partition(|relay| zones.insert(relay.zone.clone()));
        let holders = spread.into_iter().chain(others).take(count);
        holders
            .filter(|holder| holder.number != self.node)
            .map(|holder| holder.address)
            .collect()
    }

    /// All known relays, by preference as permit issuer of an engine. A relay knows them from its
    /// directory, which includes itself; a member from its relay.
    pub(crate) fn permit_issuers(&self, engine: EngineKey, is_relay: bool) -> Vec<Relay> {
        let mut relays = if is_relay {
            self.relays.borrow().clone()
        } else {
            self.subscription.borrow().relays().to_vec()
        };
        relays.sort_by_cached_key(|relay| Reverse(rendezvous_weight(engine.0, relay.number.0)));
        relays
    }

    /// Whether the relay at `address` sent an exchange within [`PEER_RELAY_TIMEOUT`].
    pub(crate) fn was_heard_recently(&self, address: SocketAddr, now: MonotonicTime) -> bool {
        let peers = self.exchange_peers.borrow();
        let heard_at = peers.get(&address);
        heard_at.is_some_and(|heard_at| now.since(*heard_at) < PEER_RELAY_TIMEOUT)
    }

    /// Whether members are left to a relay of the zone with a much faster link. It is reachable: it sent an exchange
    /// recently.
    pub(crate) fn leaves_members_to_others(&self, now: MonotonicTime) -> bool {
        let faster = self.faster_relays.borrow();
        faster
            .iter()
            .any(|address| self.was_heard_recently(*address, now))
    }

    /// Whether this node knows of others but received nothing from them for [`ISOLATION_TIMEOUT`].
    pub(crate) fn is_isolated(&self, now: MonotonicTime) -> bool {
        let peers = self.exchange_peers.borrow();
        let relays_heard = peers.values().copied().max();
        let heard_at = relays_heard.max(Some(self.subscription.borrow().last_heard_at()));
        let silence = now.since(heard_at.unwrap_or(MonotonicTime::ZERO));
        let knows_others = self.reported_node_count.get().max(self.node_count()) > 1;
        knows_others && silence > ISOLATION_TIMEOUT
    }

    /// Records that the entries of all nodes were listed.
    pub(crate) fn set_nodes_listed(&self) {
        self.nodes_listed.set(true);
    }

    /// Whether the entries of all nodes have been listed since the start.
    pub(crate) fn has_listed_nodes(&self) -> bool {
        self.nodes_listed.get()
    }

    /// This node's index among the relays, ordered by number.
    pub(crate) fn relay_index(&self) -> u32 {
        let relays = self.relays.borrow();
        let before = relays.iter().filter(|relay| relay.number < self.node);
        before.count() as u32
    }

    /// Other known nodes: the registered ones as far as this node knows them, and the relays.
    pub(crate) fn peers(&self) -> Vec<Peer> {
        let directory = self.directory.borrow();
        let registered = directory.nodes().filter_map(|(name, entry)| {
            (NodeNumber::of(name) != self.node).then_some((entry.address, &entry.zone))
        });
        let subscription = self.subscription.borrow();
        let relays = subscription.relays().iter();
        let relays = relays.filter(|relay| relay.number != self.node);
        let relays = relays.map(|relay| (relay.address, &relay.zone));
        let known: BTreeMap<SocketAddr, bool> = registered
            .chain(relays)
            .map(|(address, zone)| (address, *zone == self.zone))
            .collect();
        let peers = known.into_iter();
        peers
            .map(|(address, is_own_zone)| Peer {
                address,
                is_own_zone,
            })
            .collect()
    }

    /// Whether a node is registered under this name at this address.
    pub(crate) fn knows_node(&self, name: &str, address: IpAddr) -> bool {
        let directory = self.directory.borrow();
        let entry = directory.get(name);
        entry.is_some_and(|entry| entry.address.ip() == address)
    }

    /// Whether this node's watches of the key-value service are short: the first relay of each zone bounds
    /// the time until a silent watch is noticed, and tells the others. So does a node that is no relay but reads
    /// the service, as it hears from none.
    pub(crate) fn watches_closely(&self) -> bool {
        let relays = self.relays.borrow();
        let first = relays.iter().find(|relay| relay.zone == self.zone);
        first.is_none_or(|first| first.number == self.node) || !self.is_elected()
    }

    fn is_elected(&self) -> bool {
        let relays = self.relays.borrow();
        relays.iter().any(|relay| relay.number == self.node)
    }

    /// Records an exchange from the relay at `address`, which treats this node as a relay.
    pub(crate) fn record_exchange(&self, now: MonotonicTime, address: SocketAddr) {
        self.relay_until.set(now + EXCHANGE_PEER_TTL);
        self.exchange_peers.borrow_mut().insert(address, now);
    }

    /// Recipients of this node's exchanges: the elected relays and those that sent it one. The latter
    /// include relays whose entry expired because the key-value service refused them: they still have
    /// members, which must hear of engines that drain.
    pub(crate) fn exchange_addresses(&self, now: MonotonicTime) -> BTreeSet<SocketAddr> {
        let mut peers = self.exchange_peers.borrow_mut();
        peers.retain(|_, heard_at| now.since(*heard_at) < EXCHANGE_PEER_TTL);
        let known = self.other_relays().into_iter().map(|relay| relay.address);
        known.chain(peers.keys().copied()).collect()
    }

    /// Addresses of the relays that this node may ask: those that it exchanges with, or that it may follow.
    fn known_relays(&self, now: MonotonicTime) -> Vec<SocketAddr> {
        let subscription = self.subscription.borrow();
        let followed = subscription.current().into_iter();
        let relays = followed.chain(subscription.relays());
        let mut addresses = self.exchange_addresses(now);
        addresses.extend(
            relays
                .filter(|relay| relay.number != self.node)
                .map(|relay| relay.address),
        );
        addresses.into_iter().collect()
    }

    /// Sets the number of nodes reported by this node's relay.
    pub(crate) fn set_reported_node_count(&self, nodes: usize) {
        self.reported_node_count.set(nodes);
    }

    /// Time without a relay after which this node reads the key-value service.
    fn store_read_delay(&self) -> Duration {
        let nodes = self.reported_node_count.get().max(self.node_count());
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let jitter_range = STORE_READ_JITTER.max(STORE_READ_JITTER_PER_NODE.saturating_mul(nodes));
        STORE_READ_DELAY + jitter_range.mul_f64(self.read_jitter_fraction)
    }

    /// This node's role at `now`.
    pub(crate) fn role(&self, now: MonotonicTime) -> DisseminationRole {
        let is_relay = self.is_elected() || now < self.relay_until.get();
        let subscription = self.subscription.borrow();
        let relay_is_lost = now.since(subscription.last_heard_at()) > self.store_read_delay();
        let reads_store = is_relay || relay_is_lost;
        DisseminationRole {
            is_relay,
            reads_store,
        }
    }

    /// Revision of the declaration that this node can send; 0 if there is none.
    pub(crate) fn offered_declaration_revision(&self) -> u64 {
        let declaration = self.declaration.borrow();
        declaration.as_ref().map_or(0, |text| text.revision)
    }

    /// Starts or stops following the key-value service according to `role`.
    pub(crate) fn apply_role(&self, role: DisseminationRole) {
        self.reads_store.send_if_modified(|current| {
            let previous = std::mem::replace(current, role.reads_store);
            previous != role.reads_store
        });
    }

    /// Signals whether to follow engine and node entries in the key-value service.
    pub(crate) fn subscribe_reads_store(&self) -> watch::Receiver<bool> {
        self.reads_store.subscribe()
    }
}
