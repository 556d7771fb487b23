//! The operator's baseline engine counts: the engines that served when the first lease holder started
//! scaling. They are stored once, because a later holder sees the engines ordered since.

use std::collections::BTreeMap;
use std::fmt::Display;

use dalestand_edge::{CasOutcome, KeyValue, WriteExpectation};
use dalestand_planner::ZoneEngines;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{PoolName, ZoneName};
use slog::Logger;

/// Key prefix; the pool name follows.
const PREFIX: &str = "dalestand-engines/";

/// The baseline counts of a pool by zone, stored from `serving` if there are none yet. `None` if they
/// cannot be stored or read.
pub(in crate::duties) async fn load_or_store_baseline(
    logger: &Logger,
    store: &dyn KeyValue,
    pool: &PoolName,
    serving: &BTreeMap<ZoneName, ZoneEngines>,
) -> Option<BTreeMap<ZoneName, u32>> {
    if serving.is_empty() {
        return None;
    }
    let baseline = serving.iter().map(|(zone, engines)| {
        let count = engines.on_demand + engines.spot;
        (zone.clone(), count)
    });
    let baseline: BTreeMap<ZoneName, u32> = baseline.collect();
    let key = format!("{PREFIX}{pool}");
    let text = match serde_json::to_string(&baseline) {
        Ok(text) => text,
        Err(error) => {
            log_store_failure(logger, pool, "encode", &error);
            return None;
        }
    };
    let written = store
        .compare_and_swap(&key, WriteExpectation::Absent, Some(&text), None)
        .await;
    match written {
        Ok(CasOutcome::Written { .. }) => Some(baseline),
        Ok(CasOutcome::Conflict { current }) => match serde_json::from_str(&current?.value) {
            Ok(baseline) => Some(baseline),
            Err(error) => {
                log_store_failure(logger, pool, "read", &error);
                None
            }
        },
        Err(error) => {
            log_store_failure(logger, pool, "write", error.current_context());
            None
        }
    }
}

/// Logs that scaling state of a pool could not be stored or read.
pub(in crate::duties) fn log_store_failure(
    logger: &Logger,
    pool: &PoolName,
    step: &str,
    error: &dyn Display,
) {
    log_event!(logger, Event::EngineCountFailed, "pool" => %pool, "step" => step,
        "error" => %error);
}
