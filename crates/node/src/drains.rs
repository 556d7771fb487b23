//! Drain marks on engines: an engine that bears one takes no new work and finishes what it runs.
//!
//! Marks are kept in one record of the key-value service, since nodes keep nothing, and spread as
//! cluster records under the revision of that write. Whoever takes a group's lease reads them
//! once, so that marks outlive every node and cost no traffic that grows with nodes.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use dalestand_cluster::{Cluster, Record, RecordKey, RecordVersion};
use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_types::{EngineId, Revision};
use error_stack::{Report, ResultExt as _};
use serde::{Deserialize, Serialize};

use crate::error::DrainError;
use crate::machines::Machines;

/// Key of the record of all marks.
const DRAINS_KEY: &str = "configuration/drains";

/// How often a write that another one overtook is tried again.
const MAX_WRITE_ATTEMPTS: usize = 5;

/// A mark, or the sign that one was taken off.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainMark {
    /// Whether the engine is to take no new work.
    pub draining: bool,
    /// Who set it, for people.
    pub author: String,
}

/// All marks, by engine. A mark that was taken off stays as such, so that its record keeps a
/// version.
type DrainMarks = BTreeMap<EngineId, DrainMark>;

/// Sets marks and spreads them.
pub(crate) struct Drains {
    key_value: Rc<dyn KeyValue>,
    cluster: Rc<RefCell<Cluster>>,
    machines: Rc<RefCell<Machines>>,
}

/// Marks as they stand in the key-value service.
struct StoredMarks {
    marks: DrainMarks,
    expectation: WriteExpectation,
}

impl Drains {
    /// Marks kept in `key_value` and spread by `cluster`.
    pub(crate) fn new(
        key_value: Rc<dyn KeyValue>,
        cluster: Rc<RefCell<Cluster>>,
        machines: Rc<RefCell<Machines>>,
    ) -> Self {
        Self {
            key_value,
            cluster,
            machines,
        }
    }

    /// Sets an engine's mark; in force here at once and elsewhere as records spread.
    pub(crate) async fn set(
        &self,
        engine: &EngineId,
        mark: &DrainMark,
    ) -> Result<Revision, Report<DrainError>> {
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let mut stored = self.read().await?;
            stored.marks.insert(engine.clone(), mark.clone());
            if let Some(revision) = self.write(&stored).await? {
                self.publish(engine, mark, revision);
                return Ok(revision);
            }
        }
        Err(Report::new(DrainError::Contended))
    }

    /// Reads the marks of `engines` and spreads them; for a node that has just taken a lease.
    pub(crate) async fn restore(&self, engines: &[EngineId]) -> Result<(), Report<DrainError>> {
        let entry = self.key_value.get(DRAINS_KEY).await.map_err(unavailable)?;
        let Some(entry) = entry else {
            return Ok(());
        };
        let marks: DrainMarks =
            serde_json::from_str(&entry.value).change_context(DrainError::Unreadable)?;
        for engine in engines {
            if let Some(mark) = marks.get(engine) {
                self.publish(engine, mark, entry.revision);
            }
        }
        Ok(())
    }

    async fn read(&self) -> Result<StoredMarks, Report<DrainError>> {
        let entry = self.key_value.get(DRAINS_KEY).await.map_err(unavailable)?;
        match entry {
            Some(entry) => Ok(StoredMarks {
                marks: serde_json::from_str(&entry.value).change_context(DrainError::Unreadable)?,
                expectation: WriteExpectation::At(entry.revision),
            }),
            None => Ok(StoredMarks {
                marks: DrainMarks::new(),
                expectation: WriteExpectation::Absent,
            }),
        }
    }

    /// Writes the marks; `None` if another write came first. A write whose answer is lost is tried
    /// again by the caller's next round only if the operator asks again: setting a mark twice is
    /// the same as once.
    async fn write(&self, stored: &StoredMarks) -> Result<Option<Revision>, Report<DrainError>> {
        let value = serde_json::to_string(&stored.marks).change_context(DrainError::Unreadable)?;
        let written = self
            .key_value
            .compare_and_swap(DRAINS_KEY, stored.expectation, Some(&value), None)
            .await
            .map_err(unavailable)?;
        match written {
            CasOutcome::Written { revision } => Ok(Some(revision)),
            CasOutcome::Conflict { .. } => Ok(None),
        }
    }

    fn publish(&self, engine: &EngineId, mark: &DrainMark, revision: Revision) {
        // A mark of two plain fields always encodes.
        let Ok(payload) = rmp_serde::to_vec(mark) else {
            return;
        };
        let record = Record {
            key: RecordKey::Drain(engine.to_string()),
            version: RecordVersion {
                major: revision.0,
                minor: 0,
            },
            payload: Bytes::from(payload),
        };
        // A mark that is not newer than what is known changes nothing.
        if let Ok(true) = self.cluster.borrow_mut().publish(record.clone()) {
            take_record(&self.machines, &record);
        }
    }
}

/// Puts a mark in force on this node.
pub(crate) fn take_record(machines: &RefCell<Machines>, record: &Record) {
    let RecordKey::Drain(engine) = &record.key else {
        return;
    };
    if let Ok(mark) = rmp_serde::from_slice::<DrainMark>(&record.payload) {
        let engine = EngineId::from(engine.as_str());
        machines.borrow_mut().set_draining(engine, mark.draining);
    }
}

fn unavailable(error: Report<PlatformError>) -> Report<DrainError> {
    let context = if error.current_context().is_in_doubt() {
        DrainError::InDoubt
    } else {
        DrainError::Unavailable
    };
    error.change_context(context)
}
