//! Stopped requests in the key-value service: what keeps them stopped when all nodes are lost.

use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::{CrashRecord, RequestFingerprint, StoppedRequestEntry, TRIAL_INTERVAL};
use dalestand_telemetry::{Event, log_event};
use error_stack::{Report, ResultExt as _};

use crate::context::Context;
use crate::duties::usage_counts::unix_time;
use crate::quarantine::evidence::apply_records;

/// Leading part of the keys; the fingerprint follows.
pub(crate) const STOPPED_PREFIX: &str = "dalestand/quarantine/stopped/";

/// Pause after a failed write.
const FAILURE_PAUSE: Duration = Duration::from_millis(500);

/// Takes an entry of the key-value service in, if it is one of a stopped request. An entry that goes
/// says nothing: it was kept for as long as it counts, or lapsed with the service.
pub(crate) fn apply_stored(context: &Context, key: &str, value: Option<&str>) -> Vec<CrashRecord> {
    let (Some(text), Some(value)) = (key.strip_prefix(STOPPED_PREFIX), value) else {
        return Vec::new();
    };
    let fingerprint = RequestFingerprint::parse(text);
    let stop = serde_json::from_str::<StoppedRequestEntry>(value);
    let (Ok(fingerprint), Ok(stop)) = (fingerprint, stop) else {
        log_event!(context.logger, Event::StoppedRequestUnreadable, "key" => key);
        return Vec::new();
    };
    let records: Vec<CrashRecord> = stop.records(fingerprint, unix_time()).collect();
    apply_records(context, &records);
    records
}

/// Has the key-value service keep what this node stops, for as long as it is polled.
pub(crate) async fn persist_stopped_requests(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    let quarantine = &context.quarantine;
    loop {
        let next = quarantine.to_store.borrow().first().copied();
        let Some(fingerprint) = next else {
            quarantine.store_wanted.notified().await;
            continue;
        };
        match keep(&context, &*store, fingerprint).await {
            Ok(()) => {
                quarantine.to_store.borrow_mut().remove(&fingerprint);
            }
            Err(error) => {
                log_event!(context.logger, Event::KeyValueFailed, "prefix" => STOPPED_PREFIX,
                    "error" => %error.current_context());
                actix_rt::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Writes one stopped request, unless another node has; it goes once it no longer counts.
async fn keep(
    context: &Context,
    store: &dyn KeyValue,
    fingerprint: RequestFingerprint,
) -> Result<(), Report<PlatformError>> {
    let records = {
        let ledger = context.quarantine.ledger.borrow();
        let stopped = ledger.stopped(context.now());
        let mut own = stopped.into_iter().filter(|(one, _)| *one == fingerprint);
        own.next().map(|(_, records)| records)
    };
    let Some(records) = records else {
        return Ok(());
    };
    let stop = StoppedRequestEntry::of(&records, unix_time());
    let key = format!("{STOPPED_PREFIX}{fingerprint}");
    let standing = store.get(&key).await?;
    let expectation = match &standing {
        None => WriteExpectation::Absent,
        Some(entry) => {
            let known = serde_json::from_str::<StoppedRequestEntry>(&entry.value);
            if known.is_ok_and(|known| known.covers(&stop)) {
                return Ok(());
            }
            WriteExpectation::At(entry.revision)
        }
    };
    let text = serde_json::to_string(&stop);
    let text = text.change_context_lazy(|| PlatformError::Malformed {
        system: "stopped request",
        message: "cannot be written".to_owned(),
    })?;
    let lease = store.grant_lease(TRIAL_INTERVAL).await?;
    let written = store
        .compare_and_swap(&key, expectation, Some(&text), Some(lease))
        .await?;
    match written {
        CasOutcome::Written { .. } => Ok(()),
        // Another node was faster: what it wrote is looked at again.
        CasOutcome::Conflict { .. } => Err(Report::new(PlatformError::InDoubt {
            system: "stopped request",
            message: "written by another node".to_owned(),
        })),
    }
}
