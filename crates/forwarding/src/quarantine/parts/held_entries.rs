//! Entries for held parts in the key-value service, which keep them held if all nodes restart.

use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::{HeldPartEntry, PartFingerprint};
use dalestand_telemetry::{Event, log_event};
use error_stack::{Report, ResultExt as _};

use crate::context::Context;
use crate::dissemination::notice_queue::NoticeSource;
use crate::duties::usage_counts::unix_time;
use crate::quarantine::parts::evidence::{apply_crashes, release_part};

/// Prefix of the keys; the fingerprint follows.
pub(crate) const PART_PREFIX: &str = "dalestand/quarantine/part/";

/// Delay before a retry after a failed write.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Applies an entry of the key-value service if it belongs to a held part. A deleted entry means nothing: other nodes tell
/// of the completion for which it was deleted, and the store may have lost it.
pub(crate) fn apply_stored_part(context: &Context, key: &str, value: Option<&str>) {
    let (Some(text), Some(value)) = (key.strip_prefix(PART_PREFIX), value) else {
        return;
    };
    let part = PartFingerprint::parse(text);
    let entry = serde_json::from_str::<HeldPartEntry>(value);
    let (Ok(part), Ok(entry)) = (part, entry) else {
        log_event!(context.logger, Event::StoppedRequestUnreadable, "key" => key);
        return;
    };
    if entry.is_released {
        release_part(context, part);
    } else {
        // Members do not read the key-value service, so that crashes are sent to them.
        apply_crashes(
            context,
            entry.records(part, unix_time()),
            NoticeSource::Entry,
        );
    }
}

/// Brings the entries of parts up to date as they are queued; runs until dropped.
pub(crate) async fn persist_held_parts(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    let parts = &context.quarantine.parts;
    loop {
        let next = parts.pending_writes.borrow().first().copied();
        let Some(part) = next else {
            parts.write_queued.notified().await;
            continue;
        };
        match persist(&context, &*store, part).await {
            Ok(()) => {
                parts.pending_writes.borrow_mut().remove(&part);
            }
            Err(error) => {
                log_event!(context.logger, Event::KeyValueFailed, "prefix" => PART_PREFIX,
                    "error" => %error.current_context());
                actix_rt::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Writes the entry of a held part unless the stored one covers it, and deletes that of any other. It has no lease: a part
/// that is held for longer than a lease must not be forgotten in a restart.
async fn persist(
    context: &Context,
    store: &dyn KeyValue,
    part: PartFingerprint,
) -> Result<(), Report<PlatformError>> {
    let key = format!("{PART_PREFIX}{part}");
    let stored = store.get(&key).await?;
    let entry = {
        let ledger = context.quarantine.parts.ledger.borrow();
        ledger.entry(context.evidence_time(), part, unix_time())
    };
    let text = entry.as_ref().map(serde_json::to_string).transpose();
    let text = text.change_context_lazy(|| PlatformError::Malformed {
        system: "held part",
        message: "cannot be serialised".to_owned(),
    })?;
    let expectation = match (&stored, &entry) {
        (None, None) => return Ok(()),
        (None, Some(_)) => WriteExpectation::Absent,
        (Some(stored), entry) => {
            let known = serde_json::from_str::<HeldPartEntry>(&stored.value);
            let covers = |known: HeldPartEntry| match entry {
                // A released entry is not written over for the crashes for which it was released.
                Some(entry) => known.covers(entry),
                // It stays for nodes that have not read it yet.
                None => known.is_released,
            };
            if known.is_ok_and(covers) {
                return Ok(());
            }
            WriteExpectation::At(stored.revision)
        }
    };
    let written = store
        .compare_and_swap(&key, expectation, text.as_deref(), None)
        .await?;
    match written {
        CasOutcome::Written { .. } => Ok(()),
        // Another node wrote first; the caller retries with the new entry.
        CasOutcome::Conflict { .. } => Err(Report::new(PlatformError::InDoubt {
            system: "held part",
            message: "was written by another node concurrently".to_owned(),
        })),
    }
}
