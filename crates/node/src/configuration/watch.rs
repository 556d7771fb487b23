//! Watches the key-value service for new configurations.
//!
//! Two nodes of each zone watch, chosen by hash among the members that are live as far as each
//! node knows. The others look seldom, in case no watcher can reach the service while they can;
//! all together they look at a rate that does not grow with the fleet.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_cluster::{Cluster, Member};
use dalestand_edge::{KeyValue, PlatformError, WatchBatch};
use dalestand_gateway::Shared;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{NodeId, Revision};
use error_stack::Report;
use rand::RngExt as _;

use super::CONFIGURATION_KEY;
use super::store::ConfigurationStore;

/// Watchers of a zone.
const WATCHERS_A_ZONE: usize = 2;

/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// How long a node that just started waits for word of peers before it looks at the service.
const FIRST_LOOK: Duration = Duration::from_millis(300);

/// How long it waits if there may be peers: until it knows them it would take itself for a
/// watcher, and a fleet that starts at once would ask the service once a node.
const FIRST_LOOK_WITH_PEERS: Duration = Duration::from_millis(1_500);

/// Time between two looks of all nodes that do not watch, together.
const LOOK_INTERVAL: Duration = Duration::from_millis(500);

/// Least time between two looks of one node.
const MIN_LOOK_INTERVAL: Duration = Duration::from_secs(10);

/// Time between two looks at whether this node watches.
const ROLE_INTERVAL: Duration = Duration::from_millis(500);

/// Watches, or looks seldom, until dropped.
pub(crate) async fn watch(
    shared: Arc<Shared>,
    key_value: Rc<dyn KeyValue>,
    cluster: Rc<RefCell<Cluster>>,
    store: Rc<ConfigurationStore>,
) {
    actix_rt::time::sleep(FIRST_LOOK.mul_f64(random_factor())).await;
    if cluster.borrow().has_contacts() {
        let longer = FIRST_LOOK_WITH_PEERS - FIRST_LOOK;
        actix_rt::time::sleep(longer.mul_f64(random_factor())).await;
    }
    let mut next_look = shared.clock.now();
    loop {
        let watches = is_watcher(&cluster.borrow());
        let now = shared.clock.now();
        let wait = if watches { WATCH_WAIT } else { Duration::ZERO };
        if watches || now >= next_look {
            shared.metrics.key_value_calls.inc();
            if let Err(error) = look(&*key_value, &store, wait).await {
                log_event!(shared.logger, Event::KeyValueFailed, "error" => %error);
                actix_rt::time::sleep(RETRY_PAUSE.mul_f64(random_factor())).await;
            }
            let nodes = cluster.borrow().member_count() as u32 + 1;
            let interval = MIN_LOOK_INTERVAL.max(LOOK_INTERVAL * nodes);
            next_look = shared.clock.now() + interval.mul_f64(random_factor());
        }
        if !watches {
            actix_rt::time::sleep(ROLE_INTERVAL).await;
        }
    }
}

/// Asks for what is newer than what this node holds.
async fn look(
    key_value: &dyn KeyValue,
    store: &ConfigurationStore,
    wait: Duration,
) -> Result<(), Report<PlatformError>> {
    let known = store.revision();
    if known == Revision(0) {
        return read(key_value, store).await;
    }
    let batch = key_value.watch(CONFIGURATION_KEY, known, wait).await?;
    if batch.compacted {
        return read(key_value, store).await;
    }
    take_batch(store, batch);
    Ok(())
}

async fn read(
    key_value: &dyn KeyValue,
    store: &ConfigurationStore,
) -> Result<(), Report<PlatformError>> {
    match key_value.get(CONFIGURATION_KEY).await? {
        Some(entry) => store.take_entry(entry.revision, &entry.value),
        // Nothing was applied yet: wait for the first.
        None => {
            let batch = key_value
                .watch(CONFIGURATION_KEY, Revision(0), WATCH_WAIT)
                .await?;
            take_batch(store, batch);
        }
    }
    Ok(())
}

fn take_batch(store: &ConfigurationStore, batch: WatchBatch) {
    let events = batch.events.into_iter();
    let events = events.filter(|event| event.key == CONFIGURATION_KEY);
    if let Some(event) = events.max_by_key(|event| event.revision)
        && let Some(value) = event.value
    {
        store.take_entry(event.revision, &value);
    }
}

fn is_watcher(cluster: &Cluster) -> bool {
    let me: &Member = cluster.local_member();
    let zone = cluster.members().filter(|member| member.zone == me.zone);
    let own = place(&me.node);
    let before_me = zone.filter(|member| place(&member.node) < own);
    before_me.count() < WATCHERS_A_ZONE
}

fn place(node: &NodeId) -> [u8; 32] {
    *blake3::hash(node.as_str().as_bytes()).as_bytes()
}

fn random_factor() -> f64 {
    rand::rng().random_range(0.75..1.25)
}
