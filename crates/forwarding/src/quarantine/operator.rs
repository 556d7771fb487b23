//! What an operator asks of stopped requests, at the key-value service itself: no node needs to run.

use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::{RequestFingerprint, StoppedRequestEntry};
use error_stack::{Report, ResultExt as _};

use crate::quarantine::stopped_entries::STOPPED_PREFIX;

/// Stopped requests as the key-value service keeps them, by fingerprint; those that were released and
/// have not lapsed yet are among them.
pub async fn stopped_requests(
    store: &dyn KeyValue,
) -> Result<Vec<(RequestFingerprint, StoppedRequestEntry)>, Report<PlatformError>> {
    let listing = store.range(STOPPED_PREFIX).await?;
    let entries = listing.entries.iter();
    entries
        .map(|entry| {
            let text = entry.key.strip_prefix(STOPPED_PREFIX).unwrap_or_default();
            let fingerprint = RequestFingerprint::parse(text).change_context_lazy(unreadable)?;
            let stop = serde_json::from_str(&entry.value).change_context_lazy(unreadable)?;
            Ok((fingerprint, stop))
        })
        .collect()
}

/// Lets a stopped request run again, at each node. Whether it was stopped.
pub async fn release_request(
    store: &dyn KeyValue,
    fingerprint: RequestFingerprint,
) -> Result<bool, Report<PlatformError>> {
    let key = format!("{STOPPED_PREFIX}{fingerprint}");
    loop {
        let Some(standing) = store.get(&key).await? else {
            return Ok(false);
        };
        let stop: StoppedRequestEntry =
            serde_json::from_str(&standing.value).change_context_lazy(unreadable)?;
        if stop.is_released {
            return Ok(true);
        }
        let released = StoppedRequestEntry {
            is_released: true,
            ..stop
        };
        let text = serde_json::to_string(&released).change_context_lazy(unreadable)?;
        // It goes again with the time for which a stop is kept.
        let lease = store
            .grant_lease(dalestand_quarantine::TRIAL_INTERVAL)
            .await?;
        let expectation = WriteExpectation::At(standing.revision);
        let written = store
            .compare_and_swap(&key, expectation, Some(&text), Some(lease))
            .await?;
        if matches!(written, CasOutcome::Written { .. }) {
            return Ok(true);
        }
    }
}

fn unreadable() -> PlatformError {
    PlatformError::Malformed {
        system: "stopped request",
        message: "cannot be read or written".to_owned(),
    }
}
