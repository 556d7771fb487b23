//! Entries for stopped requests in the key-value service, which keep them stopped if all nodes
//! restart.

use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::{CrashRecord, RequestFingerprint, StoppedRequestEntry, TRIAL_INTERVAL};
use dalestand_telemetry::{Event, log_event};
use error_stack::{Report, ResultExt as _};

use crate::context::Context;
use crate::duties::usage_counts::unix_time;
use crate::quarantine::evidence::apply_records;

/// Prefix of the keys; the fingerprint follows.
pub(crate) const STOPPED_PREFIX: &str = "dalestand/quarantine/stopped/";

/// Delay before a retry after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Applies an entry of the key-value service if it belongs to a stopped request, and returns its
/// crash records. A deleted entry means nothing: it expired, or was lost by the store.
pub(crate) fn apply_stored(context: &Context, key: &str, value: Option<&str>) -> Vec<CrashRecord> {
    let (Some(text), Some(value)) = (key.strip_prefix(STOPPED_PREFIX), value) else {
        return Vec::new();
    };
    let fingerprint = RequestFingerprint::parse(text);
    let entry = serde_json::from_str::<StoppedRequestEntry>(value);
    let (Ok(fingerprint), Ok(entry)) = (fingerprint, entry) else {
        log_event!(context.logger, Event::StoppedRequestUnreadable, "key" => key);
        return Vec::new();
    };
    let records: Vec<CrashRecord> = entry.records(fingerprint, unix_time()).collect();
    apply_records(context, &records);
    records
}

/// Writes stopped requests to the key-value service as they are queued; runs until dropped.
pub(crate) async fn persist_stopped_requests(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    let quarantine = &context.quarantine;
    loop {
        let next = quarantine.pending_writes.borrow().first().copied();
        let Some(fingerprint) = next else {
            quarantine.write_queued.notified().await;
            continue;
        };
        match persist(&context, &*store, fingerprint).await {
            Ok(()) => {
                quarantine.pending_writes.borrow_mut().remove(&fingerprint);
            }
            Err(error) => {
                log_event!(context.logger, Event::KeyValueFailed, "prefix" => STOPPED_PREFIX,
                    "error" => %error.current_context());
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes one stopped request unless the stored entry already covers it. The entry expires when it
/// no longer counts.
async fn persist(
    context: &Context,
    store: &dyn KeyValue,
    fingerprint: RequestFingerprint,
) -> Result<(), Report<PlatformError>> {
    let records = {
        let ledger = context.quarantine.ledger.borrow();
        let stopped = ledger.stopped(context.evidence_time());
        let mut matching = stopped.into_iter().filter(|(one, _)| *one == fingerprint);
        matching.next().map(|(_, records)| records)
    };
    let Some(records) = records else {
        return Ok(());
    };
    let new_entry = StoppedRequestEntry::from_records(&records, unix_time());
    let key = format!("{STOPPED_PREFIX}{fingerprint}");
    let stored = store.get(&key).await?;
    let expectation = match &stored {
        None => WriteExpectation::Absent,
        Some(entry) => {
            let known = serde_json::from_str::<StoppedRequestEntry>(&entry.value);
            if known.is_ok_and(|known| known.covers(&new_entry)) {
                return Ok(());
            }
            WriteExpectation::At(entry.revision)
        }
    };
    let text = serde_json::to_string(&new_entry);
    let text = text.change_context_lazy(|| PlatformError::Malformed {
        system: "stopped request",
        message: "cannot be serialised".to_owned(),
    })?;
    let lease = store.grant_lease(TRIAL_INTERVAL).await?;
    let written = store
        .compare_and_swap(&key, expectation, Some(&text), Some(lease))
        .await?;
    match written {
        CasOutcome::Written { .. } => Ok(()),
        // Another node wrote first; the caller retries with the new entry.
        CasOutcome::Conflict { .. } => Err(Report::new(PlatformError::InDoubt {
            system: "stopped request",
            message: "was written by another node concurrently".to_owned(),
        })),
    }
}
