//! Fleet-wide state at this node: which nodes are relays, whether this is one, which entries are
//! known, and what is still to be passed on.
//!
//! Rules and messages are those of `dalestand_dissemination`; [`send`] and [`receive`] move the
//! datagrams.

pub(crate) mod bulk;
mod bulk_queue;
mod contents;
mod datagram;
pub(crate) mod engine_notices;
mod news_queue;
pub(crate) mod notice_queue;
pub(crate) mod own_figures;
mod own_reports;
mod pacing;
pub(crate) mod receive;
pub(crate) mod recent_changes;
pub(crate) mod retransmit_queue;
pub(crate) mod send;
mod sent_pages;
pub(crate) mod sums;
pub(crate) mod tables;
#[cfg(test)]
mod tests;
pub(crate) mod transmit;

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use dalestand_dissemination::{
    DeclarationSync, EntryRecord, EntrySync, EntryTable, LeaseHolder, NodeDirectory, NodeNumber,
    Relay, Subscribers, Subscription,
};
use dalestand_routing::staged::{EngineKey, rendezvous_weight};
use dalestand_types::MonotonicTime;
use rand::RngExt as _;
use tokio::sync::watch;

use crate::dissemination::bulk_queue::BulkQueue;
use crate::dissemination::news_queue::NewsQueue;
use crate::dissemination::notice_queue::NoticeQueue;
use crate::dissemination::own_reports::OwnReports;
use crate::dissemination::recent_changes::RecentChanges;
use crate::dissemination::sent_pages::SentPages;
use crate::fleet::declaration_text::DeclarationText;
use crate::fleet::restored_entries::HeldEntries;
use crate::node::settings::ForwardingSettings;

/// Longest time between two tables of a relay.
pub(crate) const TABLE_INTERVAL: Duration = Duration::from_millis(100);

/// A relay that was not heard for this long is taken for lost: six tables. Engines' entries must
/// reach a member within the shortest drain bound (2 s), another relay included.
const RELAY_SILENCE: Duration = Duration::from_millis(600);

/// A member that was not heard of for this long gets no more tables. It reports several times in
/// that time even when it has no work.
const MEMBER_SILENCE: Duration = Duration::from_secs(2);

/// A node that heard no relay for this long reads the key-value service itself. Probing other relays
/// takes a round trip, so this is reached only where no relay can be.
const READ_AFTER: Duration = Duration::from_millis(1_200);

/// Added to [`READ_AFTER`], at random for each node, so that nodes which lost their relays together
/// do not all read at the same moment: in small fleets.
const READ_SPREAD: Duration = Duration::from_millis(800);

/// The same for each node known, where that is longer. A reading of all entries of 10,000 engines takes
/// the key-value service's link (1,000 Mbit/s) 20 ms; nodes that read more often than it can answer keep
/// those from it that relays need.
const READ_SPREAD_PER_NODE: Duration = Duration::from_millis(20);

/// A node that relays send their sums to is a relay for this long, whatever it knows itself.
const ADDRESSED: Duration = Duration::from_secs(3);

/// A node that has heard no other for this long counts itself as cut off: well before the others take it for gone,
/// whose entries outlive it by ten seconds or more.
const CUT_OFF: Duration = Duration::from_secs(4);

/// A relay that was not heard by another for this long issues no permits any more: three of its messages, which
/// go out each 0.3 s at least.
const UNHEARD: Duration = Duration::from_secs(1);

/// What this node does with fleet-wide state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct DisseminationRole {
    /// It passes state on to members and exchanges sums with relays.
    pub(crate) is_relay: bool,
    /// It reads engines' and nodes' entries from the key-value service.
    pub(crate) reads_store: bool,
}

/// Fleet-wide state at this node.
pub(crate) struct Dissemination {
    /// This node's number.
    pub(crate) node: NodeNumber,
    /// Nodes as their entries tell, this one among them. Kept up only while this node reads.
    directory: RefCell<NodeDirectory>,
    /// The relays that follow from `directory`.
    relays: RefCell<Vec<Relay>>,
    /// Nodes that sent this one their sums as relays, with when they last did.
    exchanging: RefCell<HashMap<SocketAddr, MonotonicTime>>,
    /// Until when relays count this node among them.
    addressed_until: Cell<MonotonicTime>,
    /// This node's place, from 0 to 1, among those that read because they hear no relay.
    read_place: f64,
    /// Nodes of the fleet, as this node's relay counts them.
    fleet_nodes: Cell<usize>,
    reads_store: watch::Sender<bool>,
    /// Whether the entries of all nodes were read once.
    nodes_listed: Cell<bool>,
    /// The declaration in force, where it is short enough to be passed on.
    pub(crate) declaration: RefCell<Option<DeclarationText>>,
    /// What is known of a newer one.
    pub(crate) declaration_sync: RefCell<DeclarationSync>,
    pub(crate) subscription: RefCell<Subscription>,
    pub(crate) subscribers: RefCell<Subscribers>,
    pub(crate) entries: RefCell<EntryTable>,
    /// Keys of engines' entries that could not be read and were logged.
    pub(crate) unreadable_entries: RefCell<HashSet<String>>,
    /// Entries that a restored service has again.
    held_entries: RefCell<HeldEntries>,
    pub(crate) changes: RefCell<RecentChanges>,
    /// When this node asks its relay for entries that differ.
    pub(crate) entry_sync: RefCell<EntrySync>,
    /// Pages of entries that a member was last sent.
    pub(crate) sent_pages: RefCell<Option<SentPages>>,
    /// Nodes that wait to be told of known parts.
    pub(crate) parts_askers: RefCell<Vec<SocketAddr>>,
    /// What engines said of themselves, on its way to other nodes.
    pub(crate) notices: NoticeQueue,
    /// Long answers on their way to nodes that asked.
    pub(crate) bulk: BulkQueue,
    /// News for members.
    pub(crate) table_news: RefCell<NewsQueue>,
    /// News for relays.
    pub(crate) exchange_news: RefCell<NewsQueue>,
    pub(crate) own_reports: RefCell<OwnReports>,
    /// The holder of the lease, as the key-value service or a relay told.
    holder: Cell<Option<LeaseHolder>>,
}

impl Dissemination {
    pub(crate) fn new(settings: &ForwardingSettings) -> Self {
        let node = NodeNumber::of(settings.node.as_str());
        let subscription = Subscription::new(node, settings.zone.clone(), RELAY_SILENCE);
        Self {
            node,
            directory: RefCell::default(),
            relays: RefCell::default(),
            exchanging: RefCell::default(),
            addressed_until: Cell::new(MonotonicTime::ZERO),
            read_place: rand::rng().random_range(0.0..1.0),
            fleet_nodes: Cell::new(1),
            reads_store: watch::Sender::new(false),
            nodes_listed: Cell::new(false),
            declaration: RefCell::default(),
            declaration_sync: RefCell::default(),
            subscription: RefCell::new(subscription),
            subscribers: RefCell::new(Subscribers::new(MEMBER_SILENCE)),
            entries: RefCell::default(),
            unreadable_entries: RefCell::default(),
            held_entries: RefCell::default(),
            changes: RefCell::default(),
            entry_sync: RefCell::default(),
            sent_pages: RefCell::default(),
            parts_askers: RefCell::default(),
            notices: NoticeQueue::default(),
            bulk: BulkQueue::default(),
            table_news: RefCell::default(),
            exchange_news: RefCell::default(),
            own_reports: RefCell::default(),
            holder: Cell::new(None),
        }
    }

    /// Changes what is known of the nodes, and elects the relays anew.
    pub(crate) fn change_directory(&self, change: impl FnOnce(&mut NodeDirectory)) {
        let mut directory = self.directory.borrow_mut();
        change(&mut directory);
        let relays = directory.relays();
        self.subscription.borrow_mut().set_relays(relays.clone());
        self.relays.replace(relays);
    }

    /// Notes the name and the token of the node that holds the lease.
    pub(crate) fn set_lease_holder_by_name(&self, name: &str, token: u64) {
        let entry = self.directory.borrow().get(name).cloned();
        self.set_lease_holder(entry.map(|entry| LeaseHolder {
            node: NodeNumber::of(name),
            address: entry.address,
            token,
        }));
    }

    /// Notes the holder of the lease, unless a newer one is known. The last one stays known until
    /// there is a newer.
    pub(crate) fn set_lease_holder(&self, holder: Option<LeaseHolder>) {
        let known = self.holder.get().map_or(0, |known| known.token);
        if holder.is_some_and(|holder| holder.token > known) {
            self.holder.set(holder);
        }
    }

    /// What of `records` is to be taken: entries of engines that had gone are held back for a time.
    pub(crate) fn without_held(
        &self,
        now: MonotonicTime,
        records: Vec<EntryRecord>,
    ) -> Vec<EntryRecord> {
        let entries = self.entries.borrow();
        let mut held = self.held_entries.borrow_mut();
        held.without_held(&entries, now, records)
    }

    /// The holder of the lease, as far as is known.
    pub(crate) fn lease_holder(&self) -> Option<LeaseHolder> {
        self.holder.get()
    }

    /// Nodes known, this one among them.
    pub(crate) fn node_count(&self) -> usize {
        self.directory.borrow().len().max(1)
    }

    /// The relays that this node would send its sums to, itself left out.
    pub(crate) fn other_relays(&self) -> Vec<Relay> {
        let relays = self.relays.borrow();
        let others = relays.iter().filter(|relay| relay.number != self.node);
        others.cloned().collect()
    }

    /// All relays that are known, in the order in which they are to issue an engine's permits. Of a relay this
    /// node is one of them; a member has heard of them from its relay.
    pub(crate) fn permit_issuers(&self, engine: EngineKey, is_relay: bool) -> Vec<Relay> {
        let mut relays = if is_relay {
            self.relays.borrow().clone()
        } else {
            self.subscription.borrow().relays().to_vec()
        };
        relays.sort_by_cached_key(|relay| Reverse(rendezvous_weight(engine.0, relay.number.0)));
        relays
    }

    /// Whether the relay at `address` was heard lately.
    pub(crate) fn was_heard_recently(&self, address: SocketAddr, now: MonotonicTime) -> bool {
        let exchanging = self.exchanging.borrow();
        let heard_at = exchanging.get(&address);
        heard_at.is_some_and(|heard_at| now.since(*heard_at) < UNHEARD)
    }

    /// Whether this node has heard no other for a time, though it knows of some.
    pub(crate) fn is_isolated(&self, now: MonotonicTime) -> bool {
        let exchanging = self.exchanging.borrow();
        let relays_heard = exchanging.values().copied().max();
        let heard_at = relays_heard.max(Some(self.subscription.borrow().last_heard_at()));
        let unheard = now.since(heard_at.unwrap_or(MonotonicTime::ZERO));
        let knows_others = self.fleet_nodes.get().max(self.node_count()) > 1;
        knows_others && unheard > CUT_OFF
    }

    /// Notes that the entries of all nodes were read.
    pub(crate) fn set_nodes_listed(&self) {
        self.nodes_listed.set(true);
    }

    /// Whether the entries of all nodes were read once since the start.
    pub(crate) fn has_listed_nodes(&self) -> bool {
        self.nodes_listed.get()
    }

    /// This node's place among the relays.
    pub(crate) fn relay_index(&self) -> u32 {
        let relays = self.relays.borrow();
        let before = relays.iter().filter(|relay| relay.number < self.node);
        before.count() as u32
    }

    fn is_elected(&self) -> bool {
        let relays = self.relays.borrow();
        relays.iter().any(|relay| relay.number == self.node)
    }

    /// Notes that the relay at `address` counts this node among the relays.
    pub(crate) fn addressed(&self, now: MonotonicTime, address: SocketAddr) {
        self.addressed_until.set(now + ADDRESSED);
        self.exchanging.borrow_mut().insert(address, now);
    }

    /// Where this node sends its sums: the relays that it knows, and those that send it theirs. A relay
    /// whose entry was revoked while the key-value service turns it away does not know that it is none,
    /// and its members listen to it: left out, it would not tell them of engines that leave.
    pub(crate) fn exchange_addresses(&self, now: MonotonicTime) -> BTreeSet<SocketAddr> {
        let mut exchanging = self.exchanging.borrow_mut();
        exchanging.retain(|_, heard_at| now.since(*heard_at) < ADDRESSED);
        let known = self.other_relays().into_iter().map(|relay| relay.address);
        known.chain(exchanging.keys().copied()).collect()
    }

    /// Notes how many nodes this node's relay counts.
    pub(crate) fn set_fleet_nodes(&self, nodes: usize) {
        self.fleet_nodes.set(nodes);
    }

    /// How long this node goes without a relay before it reads.
    fn read_after(&self) -> Duration {
        let nodes = self.fleet_nodes.get().max(self.node_count());
        let nodes = u32::try_from(nodes).unwrap_or(u32::MAX);
        let jitter = READ_SPREAD.max(READ_SPREAD_PER_NODE.saturating_mul(nodes));
        READ_AFTER + jitter.mul_f64(self.read_place)
    }

    /// What this node does at `now`.
    pub(crate) fn role(&self, now: MonotonicTime) -> DisseminationRole {
        let is_relay = self.is_elected() || now < self.addressed_until.get();
        let subscription = self.subscription.borrow();
        let unheard = now.since(subscription.last_heard_at()) > self.read_after();
        let reads_store = is_relay || unheard;
        DisseminationRole {
            is_relay,
            reads_store,
        }
    }

    /// Revision of the declaration that this node passes on; 0 if there is none.
    pub(crate) fn declaration_offered(&self) -> u64 {
        let declaration = self.declaration.borrow();
        declaration.as_ref().map_or(0, |text| text.revision)
    }

    /// Lets the followers of the key-value service run or stops them, as `role` has it.
    pub(crate) fn follow_as(&self, role: DisseminationRole) {
        self.reads_store.send_if_modified(|current| {
            let former = std::mem::replace(current, role.reads_store);
            former != role.reads_store
        });
    }

    /// Tells followers of engines' and nodes' entries whether they are to run.
    pub(crate) fn subscribe_reads_store(&self) -> watch::Receiver<bool> {
        self.reads_store.subscribe()
    }
}
