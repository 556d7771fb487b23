//! Nodes of the fleet: each keeps an entry under a lease, and follows the entries of the others.

use std::rc::Rc;
use std::time::Duration;

use dalestand_dissemination::{NodeDirectory, NodeEntry};
use dalestand_edge::{
    CasOutcome, KeyValue, LeaseId, Listing, PlatformError, WatchEvent, WriteExpectation,
};
use dalestand_telemetry::{Event, log_event};
use error_stack::{Report, ResultExt as _};

use crate::authority::{Authority, HOLDER_KEY};
use crate::context::Context;
use crate::follow::Follower;
use crate::settings::ForwardingSettings;

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

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);

/// Takes the entries of nodes into account.
pub(crate) struct NodeFollower {
    pub(crate) context: Rc<Context>,
    pub(crate) authority: Authority,
}

impl NodeFollower {
    fn set(&self, directory: &mut NodeDirectory, key: &str, value: Option<&str>) {
        if key == HOLDER_KEY {
            self.authority.set_taken(value.is_some());
        } else {
            set_node(&self.context, directory, key, value);
        }
    }

    fn count(&self) {
        self.context.set_nodes(self.context.spread.node_count());
    }
}

/// Notes a node's entry. One that cannot be read is logged and counts as gone.
fn set_node(context: &Context, directory: &mut NodeDirectory, key: &str, value: Option<&str>) {
    let Some((_, name)) = key
        .strip_prefix(NODE_PREFIX)
        .and_then(|key| key.split_once('/'))
    else {
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
    fn listed(&self, listing: Listing) {
        self.authority.set_taken(false);
        self.context.spread.change_directory(|directory| {
            directory.clear();
            for entry in &listing.entries {
                self.set(directory, &entry.key, Some(&entry.value));
            }
        });
        self.count();
    }

    fn changed(&self, event: WatchEvent) {
        self.context.spread.change_directory(|directory| {
            self.set(directory, &event.key, event.value.as_deref());
        });
        self.count();
    }

    fn gather(&self) -> Duration {
        let followers = self.context.spread.other_relays().len() as u32 + 1;
        (NODES_GATHERED_PER_FOLLOWER * followers).min(NODES_GATHERED)
    }
}

/// Reads the nodes of this node's zone once, which tells the zone's relays: if this node is one, it
/// reads on by itself; if not, it has its relays to ask. Ends without them if the service fails
/// until this node reads by itself anyway.
pub(crate) async fn find_relays(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    if context.settings.first_start {
        // At the first start of the fleet nobody has registered yet.
        actix_rt::time::sleep(FIRST_START).await;
    }
    let prefix = format!("{NODE_PREFIX}{}/", context.settings.zone);
    while !context.spread.role(context.now()).reads_store {
        match store.range(&prefix).await {
            Ok(listing) => {
                context.spread.change_directory(|directory| {
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
                actix_rt::time::sleep(SHORT_PAUSE).await;
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
            Ok(lease) => keep_lease(&*store, lease).await,
            Err(error) => {
                log_event!(context.logger, Event::RegistrationFailed,
                    "error" => %error.current_context());
                actix_rt::time::sleep(FAILURE_PAUSE).await;
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
        actix_rt::time::sleep(RENEWAL).await;
        if matches!(store.renew_lease(lease).await, Ok(false)) {
            return;
        }
    }
}
