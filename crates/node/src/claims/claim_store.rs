//! Storage of the shards' claim records in the key-value service.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use dalestand_claims::{
    CLAIM_LIFETIME, Entry, LoadedRecord, ShardId, WriteFailure, entries_from_text, entries_to_text,
};
use dalestand_clock::BootInstant;
use dalestand_edge::{CasOutcome, KeyValue, LeaseId, PlatformError, WriteExpectation};
use dalestand_types::Revision;
use error_stack::Report;

/// How long new segments are attached to the same lease.
const SEGMENT_LEASE_REUSE: Duration = Duration::from_secs(60);

/// A shard's record could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the claim record could not be read")]
pub(crate) struct LoadError;

/// Reads and writes claim records.
pub(crate) struct ClaimStore {
    key_value: Rc<dyn KeyValue>,
    /// The lease for new segments, and when it was requested.
    segment_lease: Cell<Option<(LeaseId, BootInstant)>>,
}

impl ClaimStore {
    /// A store in `key_value`.
    pub(crate) fn new(key_value: Rc<dyn KeyValue>) -> Self {
        Self {
            key_value,
            segment_lease: Cell::new(None),
        }
    }

    /// Reads a shard's record: first the head, then the segments. If the head is sealed in between,
    /// its entries are read twice; in the opposite order they would be missed.
    pub(crate) async fn load(&self, shard: ShardId) -> Result<LoadedRecord, Report<LoadError>> {
        let head = self
            .key_value
            .get(&head_key(shard))
            .await
            .map_err(|error| error.change_context(LoadError))?;
        let segments = self
            .key_value
            .range(&segment_prefix(shard))
            .await
            .map_err(|error| error.change_context(LoadError))?;
        let mut loaded = LoadedRecord::default();
        for segment in segments.entries {
            loaded.sealed.extend(parse(&segment.value)?);
        }
        if let Some(head) = head {
            loaded.head = parse(&head.value)?;
            loaded.revision = Some(head.revision);
        }
        Ok(loaded)
    }

    /// Replaces the head of a shard if its revision is still `expected`.
    pub(crate) async fn write(
        &self,
        shard: ShardId,
        expected: Option<Revision>,
        entries: &[Entry],
    ) -> Result<Revision, WriteFailure> {
        let expectation = expected.map_or(WriteExpectation::Absent, WriteExpectation::At);
        let value = entries_to_text(entries);
        let written = self
            .key_value
            .compare_and_swap(&head_key(shard), expectation, Some(&value), None)
            .await;
        match written {
            Ok(CasOutcome::Written { revision }) => Ok(revision),
            Ok(CasOutcome::Conflict { .. }) => Err(WriteFailure::Conflict),
            Err(error) => Err(failure(&error)),
        }
    }

    /// Stores a segment. An existing segment with this name has the same content and is kept.
    pub(crate) async fn seal(
        &self,
        shard: ShardId,
        name: Revision,
        entries: &[Entry],
    ) -> Result<(), WriteFailure> {
        let lease = self.lease().await.map_err(|error| failure(&error))?;
        let key = format!("{}{:020}", segment_prefix(shard), name.0);
        let value = entries_to_text(entries);
        let written = self
            .key_value
            .compare_and_swap(&key, WriteExpectation::Absent, Some(&value), Some(lease))
            .await;
        match written {
            Ok(_) => Ok(()),
            Err(error) => {
                // The failure may be due to the lease.
                self.segment_lease.set(None);
                Err(failure(&error))
            }
        }
    }

    /// A lease that lasts longer than the claims in a new segment.
    async fn lease(&self) -> Result<LeaseId, Report<PlatformError>> {
        if let Some((lease, requested_at)) = self.segment_lease.get()
            && requested_at.elapsed() < SEGMENT_LEASE_REUSE
        {
            return Ok(lease);
        }
        let requested_at = BootInstant::now();
        let time_to_live = CLAIM_LIFETIME + SEGMENT_LEASE_REUSE * 2;
        let lease = self.key_value.grant_lease(time_to_live).await?;
        self.segment_lease.set(Some((lease, requested_at)));
        Ok(lease)
    }
}

fn parse(text: &str) -> Result<Vec<Entry>, Report<LoadError>> {
    entries_from_text(text).map_err(|error| Report::new(error).change_context(LoadError))
}

fn failure(error: &Report<PlatformError>) -> WriteFailure {
    if error.current_context().is_in_doubt() {
        WriteFailure::InDoubt
    } else {
        WriteFailure::NoEffect
    }
}

fn head_key(shard: ShardId) -> String {
    format!("claims/{shard}/head")
}

fn segment_prefix(shard: ShardId) -> String {
    format!("claims/{shard}/segments/")
}
