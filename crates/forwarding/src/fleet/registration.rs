//! Nodes of the fleet: each keeps an entry under a lease, and follows the entries of the others.

use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::sleep;
use dalestand_dissemination::{News, NodeDirectory, NodeEntry};
use dalestand_edge::{
    CasOutcome, KeyValue, LeaseId, Listing, PlatformError, WatchEvent, WriteExpectation,
};
use dalestand_telemetry::{Event, log_event};
use error_stack::{Report, ResultExt as _};

use crate::context::Context;
use crate::fleet::follow::Follower;
use crate::node::settings::ForwardingSettings;
use crate::quarantine::fleet_key::QUARANTINE_PREFIX;
use crate::quarantine::stopped_entries::apply_stored;
use crate::roles::fleet_lease::FleetLease;
use crate::roles::lease_keeper::HOLDER_KEY;

/// Leading part of the keys of nodes' entries; the zone and the name follow.
const NODE_PREFIX: &str = "dalestand/nodes/";

/// Leading part of all keys that nodes write.
pub(crate) const OWN_PREFIX: &str = "dalestand/";

/// An entry outlives its node by this time at most.
const TIME_TO_LIVE: Duration = Duration::from_secs(15);

/// How often the lease is renewed.
const RENEWAL: Duration = Duration::from_secs(5);

/// Changes of nodes' entries are gathered for this time for each node that follows them.
const NODES_GATHERED_PER_FOLLOWER: Duration = Duration::from_millis(16);

/// Longest time for which they are gathered. A node that is missed for so long is sent no sums, and
/// the shares of what nodes divide among them are as old.
const NODES_GATHERED: Duration = Duration::from_secs(1);

/// Machines start within 0.3 s of one another; a node is registered some calls later.
const FIRST_START: Duration = Duration::from_millis(500);

/// Pause after the nodes of the zone could not be read.
const SHORT_PAUSE: Duration = Duration::from_millis(100);

/// Leases may run out while the service is away. A node finds out with its next renewal, and
/// registers again within some calls.
const LAPSED_NODES_RETURN: Duration = RENEWAL.saturating_add(Duration::from_secs(2));

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);

/// Takes the entries of nodes into account.
#[derive(Clone)]
pub(crate) struct NodeFollower {
    context: Rc<Context>,
    fleet_lease: FleetLease,
    /// Nodes whose entries had lapsed when the service came back, and that have not registered since.
    lapsed: Rc<RefCell<HashSet<String>>>,
    /// Name and token of the node that holds the lease.
    holder: Rc<RefCell<Option<(String, u64)>>>,
}

impl NodeFollower {
    /// A follower that tells `fleet_lease` whether some node holds it.
    pub(crate) fn new(context: Rc<Context>, fleet_lease: FleetLease) -> Self {
        Self {
            context,
            fleet_lease,
            lapsed: Rc::default(),
            holder: Rc::default(),
        }
    }

    /// Forgets lapsed nodes that had time to register again.
    async fn forget_lapsed(self) {
        sleep(LAPSED_NODES_RETURN).await;
        let lapsed = std::mem::take(&mut *self.lapsed.borrow_mut());
        self.context.dissemination.update_directory(|directory| {
            for name in &lapsed {
                directory.set(name, None);
            }
        });
        self.count();
    }

    fn set(&self, directory: &mut NodeDirectory, key: &str, value: Option<&str>, revision: u64) {
        if key == HOLDER_KEY {
            self.fleet_lease.set_taken(value.is_some());
            let holder = value.map(|name| (name.to_owned(), revision));
            self.holder.replace(holder);
        } else if key.starts_with(QUARANTINE_PREFIX) {
            let crashes = apply_stored(&self.context, key, value);
            // Members do not read the key-value service.
            let origin = self.context.dissemination.node;
            let news = News {
                crashes,
                ..News::none(origin)
            };
            self.context
                .dissemination
                .table_news
                .borrow_mut()
                .push(news);
        } else {
            if let Some((_, name)) = node_of(key) {
                self.lapsed.borrow_mut().remove(name);
            }
            set_node(&self.context, directory, key, value);
        }
    }

    fn count(&self) {
        let dissemination = &self.context.dissemination;
        if let Some((name, token)) = &*self.holder.borrow() {
            dissemination.set_lease_holder_by_name(name, *token);
        }
        self.context.set_node_count(dissemination.node_count());
    }
}

/// The zone and the name of the node whose entry has this key.
fn node_of(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(NODE_PREFIX)?.split_once('/')
}

/// Notes a node's entry. One that cannot be read is logged and counts as gone.
fn set_node(context: &Context, directory: &mut NodeDirectory, key: &str, value: Option<&str>) {
    let Some((_, name)) = node_of(key) else {
        return;
    };
    let entry = value.and_then(|value| match NodeEntry::parse(value) {
        Ok(entry) => Some(entry),
        Err(error) => {
            log_event!(context.logger, Event::NodeUnreadable, "key" => key, "error" => %error);
            None
        }
    });
    directory.set(name, entry);
}

impl Follower for NodeFollower {
    fn listed(&self, listing: Listing, after_outage: bool) {
        self.fleet_lease.set_taken(false);
        self.holder.replace(None);
        self.context.dissemination.update_directory(|directory| {
            if after_outage {
                self.lapsed.borrow_mut().extend(directory.names());
            } else {
                directory.clear();
            }
            for entry in &listing.entries {
                self.set(directory, &entry.key, Some(&entry.value), entry.revision.0);
            }
        });
        self.context.dissemination.set_nodes_listed();
        self.count();
        if !self.lapsed.borrow().is_empty() {
            actix_rt::spawn(self.clone().forget_lapsed());
        }
    }

    fn changed(&self, events: Vec<WatchEvent>) {
        self.context.dissemination.update_directory(|directory| {
            for event in &events {
                let value = event.value.as_deref();
                self.set(directory, &event.key, value, event.revision.0);
            }
        });
        self.count();
    }

    fn gather(&self) -> Duration {
        let followers = self.context.dissemination.other_relays().len() as u32 + 1;
        (NODES_GATHERED_PER_FOLLOWER * followers).min(NODES_GATHERED)
    }
}

/// Reads the nodes of this node's zone once, which tells the zone's relays: if this node is one, it
/// reads on by itself; if not, it has its relays to ask. Ends without them if the service fails
/// until this node reads by itself anyway.
pub(crate) async fn find_relays(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    if context.settings.first_start {
        // At the first start of the fleet nobody has registered yet.
        sleep(FIRST_START).await;
    }
    let prefix = format!("{NODE_PREFIX}{}/", context.settings.zone);
    while !context.dissemination.role(context.now()).reads_store {
        match store.range(&prefix).await {
            Ok(listing) => {
                context.dissemination.update_directory(|directory| {
                    for entry in &listing.entries {
                        set_node(&context, directory, &entry.key, Some(&entry.value));
                    }
                    let name = context.settings.node.as_str();
                    directory.set(name, Some(own_entry(&context.settings)));
                });
                context.work_changed.notify_one();
                return;
            }
            Err(error) => {
                log_event!(context.logger, Event::KeyValueFailed, "prefix" => &prefix,
                    "error" => %error.current_context());
                sleep(SHORT_PAUSE).await;
            }
        }
    }
}

/// What this node tells of itself.
fn own_entry(settings: &ForwardingSettings) -> NodeEntry {
    NodeEntry {
        address: settings.peer_listen,
        zone: settings.zone.clone(),
        link_mbps: settings.link_mbps.map_or(0, |mbps| mbps as u32),
    }
}

/// Keeps this node's entry for as long as it is polled.
pub(crate) async fn keep_registered(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    loop {
        match register(&context, &*store).await {
            Ok(lease) => {
                let mut era = context.store_era.subscribe();
                tokio::select! {
                    () = keep_lease(&*store, lease) => {}
                    // Who else is registered is looked at by all: they need this node's entry soon.
                    _ = era.changed() => {}
                }
            }
            Err(error) => {
                log_event!(context.logger, Event::RegistrationFailed,
                    "error" => %error.current_context());
                sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

async fn register(
    context: &Context,
    store: &dyn KeyValue,
) -> Result<LeaseId, Report<PlatformError>> {
    let settings = &context.settings;
    let key = format!("{NODE_PREFIX}{}/{}", settings.zone, settings.node);
    let text = own_entry(settings).to_text();
    let text = text.change_context_lazy(|| PlatformError::Malformed {
        system: "own entry",
        message: "cannot be written".to_owned(),
    })?;
    let lease = store.grant_lease(TIME_TO_LIVE).await?;
    let mut expectation = WriteExpectation::Absent;
    // The entry of this node's former life is replaced.
    loop {
        let written = store
            .compare_and_swap(&key, expectation, Some(&text), Some(lease))
            .await?;
        expectation = match written {
            CasOutcome::Written { .. } => return Ok(lease),
            CasOutcome::Conflict {
                current: Some(current),
            } => WriteExpectation::At(current.revision),
            CasOutcome::Conflict { current: None } => WriteExpectation::Absent,
        };
    }
}

/// Renews the lease until it is gone.
async fn keep_lease(store: &dyn KeyValue, lease: LeaseId) {
    loop {
        sleep(RENEWAL).await;
        if matches!(store.renew_lease(lease).await, Ok(false)) {
            return;
        }
    }
}
