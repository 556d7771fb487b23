//! Operator commands for stopped requests. They use the key-value service directly, so no node has
//! to be running.

use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::{RequestFingerprint, StoppedRequestEntry};
use error_stack::{Report, ResultExt as _};

use crate::quarantine::stopped_entries::STOPPED_PREFIX;

/// Lists the stopped requests in the key-value service by fingerprint. Released requests are
/// included until their entries expire.
pub async fn stopped_requests(
    store: &dyn KeyValue,
) -> Result<Vec<(RequestFingerprint, StoppedRequestEntry)>, Report<PlatformError>> {
    let listing = store.range(STOPPED_PREFIX).await?;
    let entries = listing.entries.iter();
    entries
        .map(|entry| {
            let text = entry.key.strip_prefix(STOPPED_PREFIX).unwrap_or_default();
            let fingerprint = RequestFingerprint::parse(text).change_context_lazy(malformed)?;
            let stop = serde_json::from_str(&entry.value).change_context_lazy(malformed)?;
            Ok((fingerprint, stop))
        })
        .collect()
}

/// Releases a stopped request at all nodes. Returns whether it was stopped.
pub async fn release_request(
    store: &dyn KeyValue,
    fingerprint: RequestFingerprint,
) -> Result<bool, Report<PlatformError>> {
    let key = format!("{STOPPED_PREFIX}{fingerprint}");
    loop {
        let Some(stored) = store.get(&key).await? else {
            return Ok(false);
        };
        let entry: StoppedRequestEntry =
            serde_json::from_str(&stored.value).change_context_lazy(malformed)?;
        if entry.is_released {
            return Ok(true);
        }
        let released = StoppedRequestEntry {
            is_released: true,
            ..entry
        };
        let text = serde_json::to_string(&released).change_context_lazy(malformed)?;
        // The released entry expires after the same time as other entries.
        let lease = store
            .grant_lease(dalestand_quarantine::TRIAL_INTERVAL)
            .await?;
        let expectation = WriteExpectation::At(stored.revision);
        let written = store
            .compare_and_swap(&key, expectation, Some(&text), Some(lease))
            .await?;
        if matches!(written, CasOutcome::Written { .. }) {
            return Ok(true);
        }
    }
}

fn malformed() -> PlatformError {
    PlatformError::Malformed {
        system: "stopped request",
        message: "cannot be read or written".to_owned(),
    }
}
