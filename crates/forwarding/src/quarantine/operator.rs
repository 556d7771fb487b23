//! Operator commands for stopped requests and held prompt parts. They use the key-value service directly, so no node has
//! to be running.

use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::{
    HeldPartEntry, PartFingerprint, RequestFingerprint, StoppedRequestEntry, TRIAL_INTERVAL,
};
use error_stack::{Report, ResultExt as _};
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::quarantine::parts::held_entries::PART_PREFIX;
use crate::quarantine::stopped_entries::STOPPED_PREFIX;

/// An entry that an operator can release.
trait Releasable: Serialize + DeserializeOwned {
    fn is_released(&self) -> bool;
    fn release(self) -> Self;
}

impl Releasable for StoppedRequestEntry {
    fn is_released(&self) -> bool {
        self.is_released
    }

    fn release(self) -> Self {
        Self {
            is_released: true,
            ..self
        }
    }
}

impl Releasable for HeldPartEntry {
    fn is_released(&self) -> bool {
        self.is_released
    }

    fn release(self) -> Self {
        Self {
            is_released: true,
            ..self
        }
    }
}

/// Lists the stopped requests in the key-value service by fingerprint. Released requests are
/// included until their entries expire.
pub async fn stopped_requests(
    store: &dyn KeyValue,
) -> Result<Vec<(RequestFingerprint, StoppedRequestEntry)>, Report<PlatformError>> {
    let entries = list(store, STOPPED_PREFIX).await?.into_iter();
    entries
        .map(|(text, entry)| {
            let fingerprint = RequestFingerprint::parse(&text).change_context_lazy(malformed)?;
            Ok((fingerprint, entry))
        })
        .collect()
}

/// Lists the held prompt parts in the key-value service by fingerprint. Released parts are included until their entries
/// expire.
pub async fn held_parts(
    store: &dyn KeyValue,
) -> Result<Vec<(PartFingerprint, HeldPartEntry)>, Report<PlatformError>> {
    let entries = list(store, PART_PREFIX).await?.into_iter();
    entries
        .map(|(text, entry)| {
            let part = PartFingerprint::parse(&text).change_context_lazy(malformed)?;
            Ok((part, entry))
        })
        .collect()
}

/// The entries under a prefix, by the rest of their keys.
async fn list<E: Releasable>(
    store: &dyn KeyValue,
    prefix: &str,
) -> Result<Vec<(String, E)>, Report<PlatformError>> {
    let listing = store.range(prefix).await?;
    let entries = listing.entries.iter();
    entries
        .map(|entry| {
            let name = entry.key.strip_prefix(prefix).unwrap_or_default();
            let parsed = serde_json::from_str(&entry.value).change_context_lazy(malformed)?;
            Ok((name.to_owned(), parsed))
        })
        .collect()
}

/// Releases a stopped request at all nodes. Returns whether it was stopped.
pub async fn release_request(
    store: &dyn KeyValue,
    fingerprint: RequestFingerprint,
) -> Result<bool, Report<PlatformError>> {
    release::<StoppedRequestEntry>(store, &format!("{STOPPED_PREFIX}{fingerprint}")).await
}

/// Releases a held prompt part at all nodes. Returns whether it was held.
pub async fn release_part(
    store: &dyn KeyValue,
    part: PartFingerprint,
) -> Result<bool, Report<PlatformError>> {
    release::<HeldPartEntry>(store, &format!("{PART_PREFIX}{part}")).await
}

/// Marks an entry as released. Returns whether there was one.
async fn release<E: Releasable>(
    store: &dyn KeyValue,
    key: &str,
) -> Result<bool, Report<PlatformError>> {
    loop {
        let Some(stored) = store.get(key).await? else {
            return Ok(false);
        };
        let entry: E = serde_json::from_str(&stored.value).change_context_lazy(malformed)?;
        if entry.is_released() {
            return Ok(true);
        }
        let text = serde_json::to_string(&entry.release()).change_context_lazy(malformed)?;
        // Long enough that all nodes read it.
        let lease = store.grant_lease(TRIAL_INTERVAL).await?;
        let expectation = WriteExpectation::At(stored.revision);
        let written = store
            .compare_and_swap(key, expectation, Some(&text), Some(lease))
            .await?;
        if matches!(written, CasOutcome::Written { .. }) {
            return Ok(true);
        }
    }
}

fn malformed() -> PlatformError {
    PlatformError::Malformed {
        system: "stopped request or held part",
        message: "cannot be read or written".to_owned(),
    }
}
