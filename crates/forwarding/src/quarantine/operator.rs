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

/// The entries that an operator can release, by fingerprint.
#[derive(Clone, Debug)]
pub struct ReleasableEntries<F, E> {
    pub entries: Vec<(F, E)>,
    /// Keys whose entries no node can read: they stop nothing.
    pub unreadable_keys: Vec<String>,
}

/// Lists the stopped requests in the key-value service. Released requests are included until their entries expire.
pub async fn stopped_requests(
    store: &dyn KeyValue,
) -> Result<ReleasableEntries<RequestFingerprint, StoppedRequestEntry>, Report<PlatformError>> {
    list(store, STOPPED_PREFIX, |text| {
        RequestFingerprint::parse(text).ok()
    })
    .await
}

/// Lists the held prompt parts in the key-value service. Released parts are included until their entries expire.
pub async fn held_parts(
    store: &dyn KeyValue,
) -> Result<ReleasableEntries<PartFingerprint, HeldPartEntry>, Report<PlatformError>> {
    list(store, PART_PREFIX, |text| PartFingerprint::parse(text).ok()).await
}

/// The entries under a prefix, by the fingerprint with which their keys end.
async fn list<F, E: Releasable>(
    store: &dyn KeyValue,
    prefix: &str,
    parse_fingerprint: impl Fn(&str) -> Option<F>,
) -> Result<ReleasableEntries<F, E>, Report<PlatformError>> {
    let (mut entries, mut unreadable_keys) = (Vec::new(), Vec::new());
    for entry in store.range(prefix).await?.entries {
        let fingerprint = entry.key.strip_prefix(prefix).and_then(&parse_fingerprint);
        match (fingerprint, serde_json::from_str(&entry.value)) {
            (Some(fingerprint), Ok(read)) => entries.push((fingerprint, read)),
            _ => unreadable_keys.push(entry.key),
        }
    }
    Ok(ReleasableEntries {
        entries,
        unreadable_keys,
    })
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
