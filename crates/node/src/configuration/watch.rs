//! Watches the key-value service for new configurations.
//!
//! Two nodes of each zone, chosen by hash among its live members, keep a watch open. The other
//! nodes poll infrequently, in case none of the watchers can reach the service; their total rate
//! does not grow with the fleet.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dalestand_cluster::{Cluster, Member};
use dalestand_edge::{KeyValue, PlatformError, WatchBatch};
use dalestand_gateway::SharedState;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{NodeId, Revision};
use error_stack::Report;
use rand::RngExt as _;

use super::CONFIGURATION_KEY;
use super::store::ConfigurationStore;

const WATCHERS_PER_ZONE: usize = 2;

/// Time for which a watch call waits for changes.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Delay after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Delay of a starting node before its first call.
const INITIAL_DELAY: Duration = Duration::from_millis(300);

/// Delay of a starting node before its first call if it has addresses of peers. A node that knows
/// no peers yet considers itself a watcher, so with a shorter delay all nodes of a fleet that
/// starts at once would call the service.
const INITIAL_DELAY_WITH_PEERS: Duration = Duration::from_millis(1_500);

/// Average time between two polls across all nodes that do not watch.
const FLEET_POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Shortest average time between two polls by one node.
const MIN_POLL_INTERVAL: Duration = Duration::from_secs(10);

/// Interval at which a node that does not watch checks whether it should.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Watches or polls until dropped.
pub(crate) async fn watch(
    shared: Arc<SharedState>,
    key_value: Rc<dyn KeyValue>,
    cluster: Rc<RefCell<Cluster>>,
    store: Rc<ConfigurationStore>,
) {
    actix_rt::time::sleep(INITIAL_DELAY.mul_f64(jitter())).await;
    if cluster.borrow().has_contacts() {
        let extra_delay = INITIAL_DELAY_WITH_PEERS - INITIAL_DELAY;
        actix_rt::time::sleep(extra_delay.mul_f64(jitter())).await;
    }
    let mut next_poll = shared.clock.now();
    loop {
        let watches = is_watcher(&cluster.borrow());
        let now = shared.clock.now();
        let wait = if watches { WATCH_WAIT } else { Duration::ZERO };
        if watches || now >= next_poll {
            shared.metrics.key_value_calls.inc();
            if let Err(error) = poll(&*key_value, &store, wait).await {
                log_event!(shared.logger, Event::KeyValueFailed, "error" => %error);
                actix_rt::time::sleep(RETRY_DELAY.mul_f64(jitter())).await;
            }
            let nodes = cluster.borrow().member_count() as u32 + 1;
            let interval = MIN_POLL_INTERVAL.max(FLEET_POLL_INTERVAL * nodes);
            next_poll = shared.clock.now() + interval.mul_f64(jitter());
        }
        if !watches {
            actix_rt::time::sleep(WATCHER_CHECK_INTERVAL).await;
        }
    }
}

/// Reads a newer configuration, if there is one or one is applied within `wait`.
async fn poll(
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
    apply_batch(store, batch);
    Ok(())
}

async fn read(
    key_value: &dyn KeyValue,
    store: &ConfigurationStore,
) -> Result<(), Report<PlatformError>> {
    match key_value.get(CONFIGURATION_KEY).await? {
        Some(entry) => store.apply_entry(entry.revision, &entry.value),
        // No configuration has been applied yet; wait for the first one.
        None => {
            let batch = key_value
                .watch(CONFIGURATION_KEY, Revision(0), WATCH_WAIT)
                .await?;
            apply_batch(store, batch);
        }
    }
    Ok(())
}

fn apply_batch(store: &ConfigurationStore, batch: WatchBatch) {
    let events = batch.events.into_iter();
    let events = events.filter(|event| event.key == CONFIGURATION_KEY);
    if let Some(event) = events.max_by_key(|event| event.revision)
        && let Some(value) = event.value
    {
        store.apply_entry(event.revision, &value);
    }
}

fn is_watcher(cluster: &Cluster) -> bool {
    let me: &Member = cluster.local_member();
    let zone = cluster.members().filter(|member| member.zone == me.zone);
    let own_rank = watcher_rank(&me.node);
    let ahead = zone.filter(|member| watcher_rank(&member.node) < own_rank);
    ahead.count() < WATCHERS_PER_ZONE
}

fn watcher_rank(node: &NodeId) -> [u8; 32] {
    *blake3::hash(node.as_str().as_bytes()).as_bytes()
}

fn jitter() -> f64 {
    rand::rng().random_range(0.75..1.25)
}
