//! The platform's key-value service.

use std::time::Duration;

use async_trait::async_trait;
use dalestand_types::Revision;
use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Identifies a lease of the service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// A key with its value and the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value.
    pub value: String,
    /// Revision of the last write.
    pub revision: Revision,
}

/// Keys under a prefix, as they stood at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the whole service at the read.
    pub revision: Revision,
    /// The entries, by key.
    pub entries: Vec<Entry>,
}

/// Some keys under a prefix, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListingPage {
    /// The keys.
    pub listing: Listing,
    /// Whether there are more after the last of them.
    pub has_more: bool,
}

/// What a compare-and-swap demands of the key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteExpectation {
    /// The key is absent.
    Absent,
    /// The key was last written by this revision.
    At(Revision),
}

/// Outcome of a compare-and-swap that was answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CasOutcome {
    /// The write took effect at this revision.
    Written { revision: Revision },
    /// The expectation did not hold; here is what stands there.
    Conflict { current: Option<Entry> },
}

/// One change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    /// The key.
    pub key: String,
    /// Its value; `None` if it was deleted.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Changes since a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchBatch {
    /// Watch on from here.
    pub revision: Revision,
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
    /// Whether changes were missed: read the prefix again.
    pub compacted: bool,
}

/// What the key-value service does.
#[async_trait(?Send)]
pub trait KeyValue {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>>;

    /// Reads all keys that start with `prefix`.
    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>>;

    /// Reads keys that start with `prefix`, those after the key `after`: as many as the service gives at
    /// a time. Pages are no snapshot.
    async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
    ) -> Result<ListingPage, Report<PlatformError>> {
        let mut listing = self.range(prefix).await?;
        listing
            .entries
            .retain(|entry| after.is_none_or(|after| entry.key.as_str() > after));
        Ok(ListingPage {
            listing,
            has_more: false,
        })
    }

    /// Writes `key` if the expectation holds; `None` as value deletes it. With a lease, the key
    /// goes when the lease does.
    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>>;

    /// Waits up to `wait` for changes under `prefix` after a revision.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>>;

    /// Grants a lease.
    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Report<PlatformError>>;

    /// Renews a lease; `false` if it is gone.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Report<PlatformError>>;

    /// Gives a lease up.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), Report<PlatformError>>;
}
