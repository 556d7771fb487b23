//! Interface of the platform's key-value service.

use std::time::Duration;

use async_trait::async_trait;
use dalestand_types::Revision;
use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::PlatformError;

/// Identifier of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct LeaseId(pub u64);

/// The value of an entry whose bytes are not text. The entry exists and has a revision, but no reader accepts its value.
pub const UNDECODABLE_VALUE: &str = "";

/// A key with its value and the revision that wrote it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    pub key: String,
    pub value: String,
    /// Revision of the last write.
    pub revision: Revision,
}

/// All entries under a prefix at one revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// Revision of the store at the time of the read.
    pub revision: Revision,
    /// The entries, sorted by key.
    pub entries: Vec<Entry>,
}

/// One page of the entries under a prefix, sorted by key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListingPage {
    /// The entries of this page.
    pub listing: Listing,
    /// The key after which the next page begins; `None` for the last page.
    pub next_after: Option<String>,
}

/// Precondition of a compare-and-swap.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WriteExpectation {
    /// The key does not exist.
    Absent,
    /// The last write of the key has this revision.
    At(Revision),
}

/// Outcome of an answered compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum CasOutcome {
    /// The write took effect at this revision.
    Written { revision: Revision },
    /// The precondition did not hold; `current` is the entry found, if any.
    Conflict { current: Option<Entry> },
}

/// One change of a watched key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchEvent {
    pub key: String,
    /// The new value; `None` if the key was deleted.
    pub value: Option<String>,
    /// Revision of the change.
    pub revision: Revision,
}

/// Changes after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchBatch {
    /// Revision from which to continue the watch.
    pub revision: Revision,
    /// The changes, oldest first.
    pub events: Vec<WatchEvent>,
    /// Whether changes were lost to compaction, so that the prefix must be read again.
    pub compacted: bool,
}

/// Operations of the key-value service.
#[async_trait(?Send)]
pub trait KeyValue {
    /// Reads one key.
    async fn get(&self, key: &str) -> Result<Option<Entry>, Report<PlatformError>>;

    /// Reads all keys that start with `prefix`.
    async fn range(&self, prefix: &str) -> Result<Listing, Report<PlatformError>>;

    /// Reads one page of the keys that start with `prefix` and sort after `after`. The service chooses
    /// the page size. Successive pages are not a consistent snapshot.
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
            next_after: None,
        })
    }

    /// Writes `key` if the precondition holds; a value of `None` deletes it. With a lease, the key
    /// is deleted when the lease ends.
    async fn compare_and_swap(
        &self,
        key: &str,
        expectation: WriteExpectation,
        value: Option<&str>,
        lease: Option<LeaseId>,
    ) -> Result<CasOutcome, Report<PlatformError>>;

    /// Waits up to `wait` for changes under `prefix` after the revision `after`.
    async fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<WatchBatch, Report<PlatformError>>;

    /// Creates a lease.
    async fn grant_lease(&self, time_to_live: Duration) -> Result<LeaseId, Report<PlatformError>>;

    /// Renews a lease; `false` if it no longer exists.
    async fn renew_lease(&self, lease: LeaseId) -> Result<bool, Report<PlatformError>>;

    /// Revokes a lease.
    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), Report<PlatformError>>;

    /// Closes the connections that are not in use: a call was not answered, and others that were opened
    /// with its connection may be as silent.
    fn discard_connections(&self) {}
}
