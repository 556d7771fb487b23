//! The operator's own numbers of engines: what stood when the first holder looked. They are written once, so that a
//! later holder does not take the ordered ones for them.

use std::collections::BTreeMap;
use std::fmt::Display;

use dalestand_edge::{CasOutcome, KeyValue, WriteExpectation};
use dalestand_planner::ZoneEngines;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{PoolName, ZoneName};
use slog::Logger;

/// Leading part of their keys.
const PREFIX: &str = "dalestand-engines/";

/// The own numbers of a pool where `standing` take work now; `None` if they could not be kept.
pub(in crate::duties) async fn own_numbers(
    logger: &Logger,
    store: &dyn KeyValue,
    pool: &PoolName,
    standing: &BTreeMap<ZoneName, ZoneEngines>,
) -> Option<BTreeMap<ZoneName, u32>> {
    if standing.is_empty() {
        return None;
    }
    let own = standing.iter().map(|(zone, engines)| {
        let count = engines.on_demand + engines.spot;
        (zone.clone(), count)
    });
    let own: BTreeMap<ZoneName, u32> = own.collect();
    let key = format!("{PREFIX}{pool}");
    let text = match serde_json::to_string(&own) {
        Ok(text) => text,
        Err(error) => {
            log_unkept(logger, pool, "encode", &error);
            return None;
        }
    };
    let written = store
        .compare_and_swap(&key, WriteExpectation::Absent, Some(&text), None)
        .await;
    match written {
        Ok(CasOutcome::Written { .. }) => Some(own),
        Ok(CasOutcome::Conflict { current }) => match serde_json::from_str(&current?.value) {
            Ok(own) => Some(own),
            Err(error) => {
                log_unkept(logger, pool, "read", &error);
                None
            }
        },
        Err(error) => {
            log_unkept(logger, pool, "write", error.current_context());
            None
        }
    }
}

/// Logs that something of a pool could not be kept.
pub(in crate::duties) fn log_unkept(
    logger: &Logger,
    pool: &PoolName,
    step: &str,
    error: &dyn Display,
) {
    log_event!(logger, Event::EngineCountFailed, "pool" => %pool, "step" => step,
        "error" => %error);
}
