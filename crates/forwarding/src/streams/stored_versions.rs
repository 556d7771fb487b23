//! The software versions that may have begun streams, in the key-value service.
//!
//! A version is stored for its pool before the first stream begins at one of its engines, by whichever relay lists such an
//! engine first. A node to which a caller comes with a stream that no node has a record of reads what is stored: if it is one
//! version, that version began the stream, whatever this node has missed and whichever nodes have ended since.
//! The holder of the fleet lease retires versions whose engines have ended, and removes them when their streams have expired.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::{TimedOut, timeout};
use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_stream_origins::StoredVersions;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{PoolName, Revision};
use error_stack::{Report, ResultExt as _};
use tokio::sync::oneshot;

use crate::context::Context;
use crate::fleet::follow::MIN_OUTAGE;
use crate::roles::fleet_lease::FleetLease;
use crate::streams::share::update_sharing;
use crate::streams::state::MAX_LOOKUPS;

/// Prefix of the keys; the pool follows. The value is a [`StoredVersions`] as JSON.
const PREFIX: &str = "dalestand/versions/";

/// How often each relay compares what is stored with the engines that it lists, if no change makes it do so earlier.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Longest delay before a relay that does not hold the fleet lease stores a version: the holder is to be first.
const MAX_RELAY_DELAY: Duration = Duration::from_millis(50);

/// Time limit of the writes of one pool. The last may still be carried out later; its precondition keeps it harmless.
const WRITE_TIMEOUT: Duration = Duration::from_millis(500);

/// Writes of one pool in a row, each after another node has written first.
const MAX_WRITES_IN_A_ROW: usize = 4;

/// Delay after the versions could not be read.
const READ_RETRY_DELAY: Duration = Duration::from_millis(300);

/// How often the versions are read while nothing is known of a pool, as at the first start of a fleet.
const UNKNOWN_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Longest time between reads of a member. An old view makes it send origins to relays for longer than needed.
const MEMBER_READ_INTERVAL: Duration = Duration::from_secs(60);

/// Time limit of a read for callers that wait: many times what the service takes, and less than callers notice.
const READ_TIMEOUT: Duration = Duration::from_millis(250);

/// What is stored for each pool.
pub(crate) type VersionsByPool = BTreeMap<PoolName, StoredVersions>;

/// Reads the stored versions after the start, and now and then at a member, which does not follow them; never returns.
pub(crate) async fn load(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    loop {
        let reads_store = context.dissemination.role(context.now()).reads_store;
        if (is_any_unknown(&context) || !reads_store)
            && let Err(error) = read_all(&context, &*store).await
        {
            report_failure(&context, &error);
            actix_rt::time::sleep(READ_RETRY_DELAY).await;
            continue;
        }
        let interval = if is_any_unknown(&context) {
            UNKNOWN_READ_INTERVAL
        } else {
            MEMBER_READ_INTERVAL.mul_f64(rand::random_range(0.5..1.0))
        };
        actix_rt::time::sleep(interval).await;
    }
}

/// Whether nothing is known to be stored for some pool, or no pool is known yet.
fn is_any_unknown(context: &Context) -> bool {
    let versions = context.engine_versions();
    let mut pools = versions.pools().peekable();
    pools.peek().is_none() || pools.any(|pool| versions.stored(pool).is_none())
}

/// Reads what is stored for all pools.
async fn read_all(
    context: &Context,
    store: &dyn KeyValue,
) -> Result<VersionsByPool, Report<PlatformError>> {
    let listing = store.range(PREFIX).await?;
    context.streams.observe_era(listing.revision.era());
    let mut by_pool = VersionsByPool::new();
    for entry in &listing.entries {
        apply(context, &entry.key, Some((&entry.value, entry.revision)));
        if let Some((pool, versions)) = parse(context, &entry.key, &entry.value) {
            by_pool.insert(pool, versions);
        }
    }
    Ok(by_pool)
}

/// Reads what is stored now for a lookup that waits; `None` if the service does not tell in time.
pub(crate) async fn read(context: &Context) -> Option<Rc<VersionsByPool>> {
    let (sender, receiver) = oneshot::channel();
    {
        let mut readers = context.streams.readers.borrow_mut();
        if readers.len() >= MAX_LOOKUPS {
            return None;
        }
        readers.push(sender);
    }
    context.streams.read_requested.notify_one();
    // Both errors mean that there is no answer in time.
    timeout(READ_TIMEOUT, receiver).await.ok()?.ok()
}

/// Reads what is stored for all lookups that wait, with one call at a time; never returns. A lookup gets the answer to a call
/// that was made after it began.
pub(crate) async fn serve_reads(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    loop {
        context.streams.read_requested.notified().await;
        let readers = std::mem::take(&mut *context.streams.readers.borrow_mut());
        if readers.is_empty() {
            // They came before the last call and got its answer.
            continue;
        }
        match timeout(READ_TIMEOUT, read_all(&context, &*store)).await {
            Ok(Ok(by_pool)) => {
                let by_pool = Rc::new(by_pool);
                for reader in readers {
                    // A lookup may have ended in the meantime.
                    let _ = reader.send(Rc::clone(&by_pool));
                }
            }
            Ok(Err(error)) => report_failure(&context, &error),
            Err(TimedOut) => {
                log_event!(context.logger, Event::KeyValueFailed, "prefix" => PREFIX,
                    "error" => "a read was not answered");
                store.discard_connections();
            }
        }
    }
}

fn report_failure(context: &Context, error: &Report<PlatformError>) {
    log_event!(context.logger, Event::KeyValueFailed, "prefix" => PREFIX,
        "error" => %error.current_context());
}

/// Whether a key is one of stored versions.
pub(crate) fn is_key(key: &str) -> bool {
    key.starts_with(PREFIX)
}

/// The pool of a key and what is stored under it, as it counts in the present era.
fn parse(context: &Context, key: &str, text: &str) -> Option<(PoolName, StoredVersions)> {
    let pool = key.strip_prefix(PREFIX).map(PoolName::from)?;
    match serde_json::from_str::<StoredVersions>(text) {
        Ok(versions) => Some((pool, versions.in_era(context.streams.era()))),
        Err(error) => {
            log_event!(context.logger, Event::VersionsUnreadable, "key" => key, "error" => %error);
            None
        }
    }
}

/// Applies what is stored under `key`, with its revision; `None` if it was removed. An unreadable value counts as
/// removed.
pub(crate) fn apply(context: &Context, key: &str, stored: Option<(&str, Revision)>) {
    let Some(pool) = key.strip_prefix(PREFIX).map(PoolName::from) else {
        return;
    };
    let revision = stored.map(|(_, revision)| revision);
    let known = context.streams.stored.borrow().get(&pool).copied();
    if revision.is_some() && revision <= known {
        return;
    }
    context
        .streams
        .observe_era(revision.map_or(0, Revision::era));
    match revision {
        Some(revision) => context
            .streams
            .stored
            .borrow_mut()
            .insert(pool.clone(), revision),
        None => context.streams.stored.borrow_mut().remove(&pool),
    };
    let versions = stored.and_then(|(text, _)| parse(context, key, text));
    context.record_stored_versions(&pool, versions.map(|(_, versions)| versions));
}

/// Stores the versions of listed engines while this node is a relay, and removes expired ones while it holds the fleet lease;
/// never returns.
pub(crate) async fn keep(context: Rc<Context>, store: Rc<dyn KeyValue>, fleet_lease: FleetLease) {
    loop {
        // Ends with an error when it is time for a check.
        let _ = timeout(CHECK_INTERVAL, context.streams.unstored.notified()).await;
        let is_holder = fleet_lease.held_token().is_some();
        if !is_holder && context.dissemination.role(context.now()).is_relay {
            let delay = MAX_RELAY_DELAY.mul_f64(rand::random_range(0.0..1.0));
            actix_rt::time::sleep(delay).await;
        }
        let pools: Vec<PoolName> = context.engine_versions().pools().cloned().collect();
        pools.iter().for_each(|pool| update_sharing(&context, pool));
        if !is_holder && !context.dissemination.role(context.now()).is_relay {
            continue;
        }
        if !keep_pools(&context, &*store, &pools, is_holder).await {
            // Not at once again, however many engines are listed meanwhile.
            actix_rt::time::sleep(CHECK_INTERVAL).await;
        }
    }
}

/// Writes the versions of pools, if they are to change; returns whether no write failed.
async fn keep_pools(
    context: &Context,
    store: &dyn KeyValue,
    pools: &[PoolName],
    is_holder: bool,
) -> bool {
    let mut is_kept = true;
    for pool in pools {
        match timeout(WRITE_TIMEOUT, keep_pool(context, store, pool, is_holder)).await {
            Ok(Ok(())) => {}
            Ok(Err(error)) => {
                report_failure(context, &error);
                is_kept = false;
            }
            Err(TimedOut) => {
                log_event!(context.logger, Event::KeyValueFailed, "prefix" => PREFIX,
                    "error" => "a write was not answered");
                store.discard_connections();
                is_kept = false;
            }
        }
    }
    is_kept
}

/// Writes the versions of one pool, if they are to change.
async fn keep_pool(
    context: &Context,
    store: &dyn KeyValue,
    pool: &PoolName,
    is_holder: bool,
) -> Result<(), Report<PlatformError>> {
    let key = format!("{PREFIX}{pool}");
    for _ in 0..MAX_WRITES_IN_A_ROW {
        let Some(wanted) = wanted(context, pool, is_holder) else {
            return Ok(());
        };
        let revision = context.streams.stored.borrow().get(pool).copied();
        let expectation = revision.map_or(WriteExpectation::Absent, WriteExpectation::At);
        let text =
            serde_json::to_string(&wanted).change_context_lazy(|| PlatformError::Malformed {
                system: "software versions",
                message: "cannot be written".to_owned(),
            })?;
        let written = store
            .compare_and_swap(&key, expectation, Some(&text), None)
            .await?;
        match written {
            CasOutcome::Written { revision } => {
                log_event!(context.logger, Event::VersionsStored, "pool" => %pool, "versions" => &text,
                    "revision" => revision.0);
                apply(context, &key, Some((&text, revision)));
                return Ok(());
            }
            CasOutcome::Conflict { current } => {
                let current = current.as_ref();
                let current = current.map(|current| (current.value.as_str(), current.revision));
                apply(context, &key, current);
            }
        }
    }
    Ok(())
}

/// What this node wants to be stored for a pool instead of what is stored.
fn wanted(context: &Context, pool: &PoolName, is_holder: bool) -> Option<StoredVersions> {
    let unstored = context.engine_versions().unstored(pool);
    if !unstored.is_empty() {
        let era = context.streams.era();
        let stored = context.engine_versions().stored(pool).cloned();
        let mut wanted = stored.unwrap_or_else(|| {
            let nothing_before = context.settings.first_start && era == 0;
            StoredVersions::new(era, nothing_before)
        });
        unstored
            .into_iter()
            .for_each(|software| wanted.serve(software));
        return Some(wanted);
    }
    let unproved_for = context.entries_proof.age();
    if !is_holder || unproved_for.is_none_or(|age| age >= MIN_OUTAGE) {
        context.restart_version_watch();
        return None;
    }
    context.expired_versions(pool)
}
