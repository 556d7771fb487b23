//! Nodes of the fleet: each keeps an entry under a lease, and follows the entries of the others.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::{
    CasOutcome, KeyValue, LeaseId, Listing, PlatformError, WatchEvent, WriteExpectation,
};
use dalestand_routing::staged::EngineKey;
use dalestand_telemetry::{Event, log_event};
use error_stack::Report;

use crate::authority::{Authority, HOLDER_KEY};
use crate::context::Context;
use crate::follow::Follower;

/// Leading part of the keys of nodes' entries.
const NODE_PREFIX: &str = "dalestand/nodes/";

/// Leading part of all keys that nodes write.
pub(crate) const OWN_PREFIX: &str = "dalestand/";

/// An entry outlives its node by this time at most.
const TIME_TO_LIVE: Duration = Duration::from_secs(15);

/// How often the lease is renewed.
const RENEWAL: Duration = Duration::from_secs(5);

/// Changes of nodes' entries are gathered for this time for each node that follows them.
const PEERS_GATHERED_PER_NODE: Duration = Duration::from_millis(16);

/// Longest time for which they are gathered. A node that is missed for so long gets no notices, and
/// the shares of what nodes divide among them are as old.
const PEERS_GATHERED: Duration = Duration::from_secs(1);

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(700);

/// Addresses of the nodes, this one left out.
#[derive(Clone, Debug, Default)]
pub(crate) struct Peers(Rc<RefCell<HashMap<String, SocketAddr>>>);

impl Peers {
    /// Numbers of the nodes, the same at every node.
    pub(crate) fn numbers(&self) -> Vec<u64> {
        let peers = self.0.borrow();
        peers.keys().map(|node| EngineKey::of(node).0).collect()
    }

    /// How many nodes come before `node` by name.
    pub(crate) fn before(&self, node: &str) -> u32 {
        let peers = self.0.borrow();
        let before = peers.keys().filter(|peer| peer.as_str() < node);
        before.count() as u32
    }

    /// The addresses.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.0.borrow().values().copied().collect()
    }
}

/// Takes the entries of nodes into account.
pub(crate) struct PeerFollower {
    pub(crate) context: Rc<Context>,
    pub(crate) peers: Peers,
    pub(crate) authority: Authority,
}

impl PeerFollower {
    fn set(&self, key: &str, value: Option<&str>) {
        if key == HOLDER_KEY {
            self.authority.set_taken(value.is_some());
            return;
        }
        let Some(node) = key.strip_prefix(NODE_PREFIX) else {
            return;
        };
        if node == self.context.settings.node.as_str() {
            return;
        }
        let mut peers = self.peers.0.borrow_mut();
        match value.and_then(|value| value.parse().ok()) {
            Some(address) => peers.insert(node.to_owned(), address),
            None => peers.remove(node),
        };
    }

    fn count(&self) {
        let peers = self.peers.0.borrow().len();
        self.context.set_nodes(peers + 1);
    }
}

impl Follower for PeerFollower {
    fn listed(&self, listing: Listing) {
        self.peers.0.borrow_mut().clear();
        self.authority.set_taken(false);
        for entry in &listing.entries {
            self.set(&entry.key, Some(&entry.value));
        }
        self.count();
    }

    fn changed(&self, event: WatchEvent) {
        self.set(&event.key, event.value.as_deref());
        self.count();
    }

    fn gather(&self) -> Duration {
        let nodes = self.context.node_count() as u32;
        (PEERS_GATHERED_PER_NODE * nodes).min(PEERS_GATHERED)
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
    let key = format!("{NODE_PREFIX}{}", context.settings.node);
    let address = context.settings.peer_listen.to_string();
    let lease = store.grant_lease(TIME_TO_LIVE).await?;
    let mut expectation = WriteExpectation::Absent;
    // The entry of this node's former life is replaced.
    loop {
        let written = store
            .compare_and_swap(&key, expectation, Some(&address), Some(lease))
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
