//! Stores spot engine losses in the key-value service, so that a new lease holder knows them.

use dalestand_edge::{CasOutcome, Entry, KeyValue, PlatformError, WriteExpectation};
use dalestand_planner::LossRecord;
use dalestand_types::PoolName;
use error_stack::{Report, ResultExt as _};

/// Key prefix; the pool name follows. Nodes don't watch it: only a new lease holder reads these keys.
const PREFIX: &str = "dalestand-engine-losses/";

/// The stored loss record of one pool.
pub(in crate::duties) struct StoredLosses {
    key: String,
    /// Revision that the next write replaces.
    expected: WriteExpectation,
}

impl StoredLosses {
    /// Reads the record that earlier holders stored for a pool.
    pub(in crate::duties) async fn read(
        store: &dyn KeyValue,
        pool: &PoolName,
    ) -> Result<(Self, LossRecord), Report<PlatformError>> {
        let key = format!("{PREFIX}{pool}");
        let found = store.get(&key).await?;
        let record = found.as_ref().map(parse).transpose()?.unwrap_or_default();
        let expected = found.map_or(WriteExpectation::Absent, |entry| {
            WriteExpectation::At(entry.revision)
        });
        Ok((Self { key, expected }, record))
    }

    /// Writes the record. If another holder wrote in the meantime, this write has no effect and the next
    /// one replaces that record: the other holder started from the same record and saw less.
    pub(in crate::duties) async fn write(
        &mut self,
        store: &dyn KeyValue,
        record: &LossRecord,
    ) -> Result<(), Report<PlatformError>> {
        let text = serde_json::to_string(record);
        let text = text.change_context_lazy(|| malformed("the record cannot be encoded"))?;
        let written = store
            .compare_and_swap(&self.key, self.expected, Some(&text), None)
            .await?;
        self.expected = match written {
            CasOutcome::Written { revision } => WriteExpectation::At(revision),
            CasOutcome::Conflict { current } => current.map_or(WriteExpectation::Absent, |entry| {
                WriteExpectation::At(entry.revision)
            }),
        };
        Ok(())
    }
}

fn parse(entry: &Entry) -> Result<LossRecord, Report<PlatformError>> {
    let record = serde_json::from_str(&entry.value);
    record.change_context_lazy(|| malformed("the stored record cannot be parsed"))
}

fn malformed(message: &str) -> PlatformError {
    PlatformError::Malformed {
        system: "spot engine losses",
        message: message.to_owned(),
    }
}
