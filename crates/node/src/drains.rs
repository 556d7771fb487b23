//! Drain marks on engines. A draining engine accepts no new requests and finishes its current ones.
//!
//! All marks are stored in one record of the key-value service, since nodes have no persistent
//! state. A change is disseminated as a cluster record whose version is the revision of its write.
//! A node that acquires a group's lease reads the stored marks and publishes them again, so that
//! they survive the restart of all nodes without reads by every node.

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

/// Maximum number of attempts of a write that conflicts with other writes.
const MAX_WRITE_ATTEMPTS: usize = 5;

/// The last change of an engine's drain mark: set or removed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainMark {
    /// Whether the engine is to drain.
    pub draining: bool,
    /// Who made the change; informational.
    pub author: String,
}

/// Marks by engine. A removed mark remains with `draining: false`, so that its cluster record gets
/// a newer version.
type DrainMarks = BTreeMap<EngineId, DrainMark>;

/// Stores drain marks and publishes them to the cluster.
pub(crate) struct Drains {
    key_value: Rc<dyn KeyValue>,
    cluster: Rc<RefCell<Cluster>>,
    machines: Rc<RefCell<Machines>>,
}

/// The stored marks, with the expectation for replacing them.
struct StoredDrainMarks {
    marks: DrainMarks,
    expectation: WriteExpectation,
}

impl Drains {
    /// Drain marks stored in `key_value` and published to `cluster`.
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

    /// Sets or removes an engine's mark. It takes effect on this node at once, and on other nodes
    /// when they receive the cluster record.
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

    /// Publishes the stored marks of `engines`; called after a lease was acquired.
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

    async fn read(&self) -> Result<StoredDrainMarks, Report<DrainError>> {
        let entry = self.key_value.get(DRAINS_KEY).await.map_err(unavailable)?;
        match entry {
            Some(entry) => Ok(StoredDrainMarks {
                marks: serde_json::from_str(&entry.value).change_context(DrainError::Unreadable)?,
                expectation: WriteExpectation::At(entry.revision),
            }),
            None => Ok(StoredDrainMarks {
                marks: DrainMarks::new(),
                expectation: WriteExpectation::Absent,
            }),
        }
    }

    /// Writes the marks; `None` on a conflict. A write whose answer was lost is an error and not
    /// repeated here; the operator can repeat it safely, since setting a mark is idempotent.
    async fn write(
        &self,
        stored: &StoredDrainMarks,
    ) -> Result<Option<Revision>, Report<DrainError>> {
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
        // Encoding these plain fields cannot fail.
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
        // A mark that is not newer than the known one has no effect.
        if let Ok(true) = self.cluster.borrow_mut().publish(record.clone()) {
            apply_record(&self.machines, &record);
        }
    }
}

/// Applies a mark received as a cluster record on this node.
pub(crate) fn apply_record(machines: &RefCell<Machines>, record: &Record) {
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
