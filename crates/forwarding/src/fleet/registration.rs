//! Registration of nodes: each keeps an entry under a lease, and follows the entries of the others.

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
use dalestand_types::Revision;
use error_stack::{Report, ResultExt as _};

use crate::context::Context;
use crate::fleet::follow::Follower;
use crate::node::settings::ForwardingSettings;
use crate::quarantine::fleet_key::QUARANTINE_PREFIX;
use crate::quarantine::parts::held_entries::apply_stored_part;
use crate::quarantine::stopped_entries::apply_stored;
use crate::roles::fleet_lease::FleetLease;
use crate::roles::lease_keeper::HOLDER_KEY;
use crate::streams::stored_versions;

/// Prefix of the keys of node entries; the zone and the name follow.
const NODE_PREFIX: &str = "dalestand/nodes/";

/// Prefix of all keys that nodes write.
pub(crate) const OWN_PREFIX: &str = "dalestand/";

/// Time to live of the lease of a node's entry.
const ENTRY_TTL: Duration = Duration::from_secs(15);

/// How often the lease is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Delay per relay before watching for further changes of node entries.
const BATCH_DELAY_PER_RELAY: Duration = Duration::from_millis(16);

/// Upper bound of that delay. Meanwhile a new node receives no exchanges, and values divided among the
/// nodes are out of date.
const MAX_BATCH_DELAY: Duration = Duration::from_secs(1);

/// Nodes of a new fleet start within 0.3 s of one another and register a few calls later.
const FIRST_START_DELAY: Duration = Duration::from_millis(500);

/// Delay after the nodes of the zone could not be listed.
const LISTING_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Leases may expire while the service is unavailable. A node notices at its next renewal and registers
/// again within a few calls.
const LAPSED_NODE_GRACE: Duration = RENEWAL_INTERVAL.saturating_add(Duration::from_secs(2));

/// Delay after a failed registration.
const REGISTRATION_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Follows node entries, the lease holder and stopped requests in the key-value service.
#[derive(Clone)]
pub(crate) struct NodeFollower {
    context: Rc<Context>,
    fleet_lease: FleetLease,
    /// Nodes whose entries had expired when the service came back, and that have not registered since.
    lapsed: Rc<RefCell<HashSet<String>>>,
    /// Name and fencing token of the lease holder.
    holder: Rc<RefCell<Option<(String, u64)>>>,
}

impl NodeFollower {
    /// A follower that reports to `fleet_lease` whether some node holds it.
    pub(crate) fn new(context: Rc<Context>, fleet_lease: FleetLease) -> Self {
        Self {
            context,
            fleet_lease,
            lapsed: Rc::default(),
            holder: Rc::default(),
        }
    }

    /// Removes nodes that did not register again within the grace period.
    async fn remove_lapsed(self) {
        sleep(LAPSED_NODE_GRACE).await;
        let lapsed = std::mem::take(&mut *self.lapsed.borrow_mut());
        self.context.dissemination.update_directory(|directory| {
            for name in &lapsed {
                directory.set(name, None);
            }
        });
        self.update_node_count();
    }

    fn apply_entry(
        &self,
        directory: &mut NodeDirectory,
        key: &str,
        value: Option<&str>,
        revision: u64,
    ) {
        if key == HOLDER_KEY {
            self.fleet_lease.set_taken(value.is_some());
            let holder = value.map(|name| (name.to_owned(), revision));
            self.holder.replace(holder);
        } else if key.starts_with(QUARANTINE_PREFIX) {
            apply_stored_part(&self.context, key, value);
            let crashes = apply_stored(&self.context, key, value);
            // Forwarded, because members do not read the key-value service.
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
        } else if stored_versions::is_key(key) {
            let stored = value.map(|value| (value, Revision(revision)));
            stored_versions::apply(&self.context, key, stored);
        } else {
            if let Some((_, name)) = parse_node_key(key) {
                self.lapsed.borrow_mut().remove(name);
            }
            set_node(&self.context, directory, key, value);
        }
    }

    fn update_node_count(&self) {
        let dissemination = &self.context.dissemination;
        if let Some((name, token)) = &*self.holder.borrow() {
            dissemination.set_lease_holder_by_name(name, *token);
        }
        self.context.set_node_count(dissemination.node_count());
    }
}

/// Zone and name of the node whose entry has this key.
fn parse_node_key(key: &str) -> Option<(&str, &str)> {
    key.strip_prefix(NODE_PREFIX)?.split_once('/')
}

/// Sets a node's entry. An unreadable entry is logged and treated as removed.
fn set_node(context: &Context, directory: &mut NodeDirectory, key: &str, value: Option<&str>) {
    let Some((_, name)) = parse_node_key(key) else {
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
    fn apply_listing(&self, listing: Listing, after_outage: bool) {
        self.fleet_lease.set_taken(false);
        self.holder.replace(None);
        self.context.dissemination.update_directory(|directory| {
            if after_outage {
                self.lapsed.borrow_mut().extend(directory.names());
            } else {
                directory.clear();
            }
            for entry in &listing.entries {
                self.apply_entry(directory, &entry.key, Some(&entry.value), entry.revision.0);
            }
        });
        self.context.dissemination.set_nodes_listed();
        self.update_node_count();
        if !self.lapsed.borrow().is_empty() {
            actix_rt::spawn(self.clone().remove_lapsed());
        }
    }

    fn apply_events(&self, events: Vec<WatchEvent>) {
        self.context.dissemination.update_directory(|directory| {
            for event in &events {
                let value = event.value.as_deref();
                self.apply_entry(directory, &event.key, value, event.revision.0);
            }
        });
        self.update_node_count();
    }

    fn batch_delay(&self) -> Duration {
        let relays = self.context.dissemination.other_relays().len() as u32 + 1;
        (BATCH_DELAY_PER_RELAY * relays).min(MAX_BATCH_DELAY)
    }
}

/// Lists the nodes of this node's zone once to find its relays. If this node is a relay it continues to
/// follow all nodes; otherwise its relays inform it. Retries until this node reads the service anyway.
pub(crate) async fn find_relays(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    if context.settings.first_start {
        // At the first start of the fleet no node has registered yet.
        sleep(FIRST_START_DELAY).await;
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
                sleep(LISTING_RETRY_DELAY).await;
            }
        }
    }
}

/// This node's own entry.
fn own_entry(settings: &ForwardingSettings) -> NodeEntry {
    NodeEntry {
        address: settings.peer_listen,
        zone: settings.zone.clone(),
        link_mbps: settings.link_mbps.map_or(0, |mbps| mbps as u32),
    }
}

/// Keeps this node registered until dropped.
pub(crate) async fn keep_registered(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    loop {
        match register(&context, &*store).await {
            Ok(lease) => {
                let mut era = context.store_era.subscribe();
                tokio::select! {
                    () = keep_lease(&*store, lease) => {}
                    // After a restore all nodes list the entries, so register again at once.
                    _ = era.changed() => {}
                }
            }
            Err(error) => {
                log_event!(context.logger, Event::RegistrationFailed,
                    "error" => %error.current_context());
                sleep(REGISTRATION_RETRY_DELAY).await;
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
    let lease = store.grant_lease(ENTRY_TTL).await?;
    let mut expectation = WriteExpectation::Absent;
    // Replaces the entry of this node's previous incarnation.
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

/// Renews the lease until it has expired.
async fn keep_lease(store: &dyn KeyValue, lease: LeaseId) {
    loop {
        sleep(RENEWAL_INTERVAL).await;
        if matches!(store.renew_lease(lease).await, Ok(false)) {
            return;
        }
    }
}
