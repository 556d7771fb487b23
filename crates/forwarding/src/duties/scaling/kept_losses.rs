//! Losses of spot engines in the key-value service, so that they outlive a holder. One write a loss.

use dalestand_edge::{CasOutcome, Entry, KeyValue, PlatformError, WriteExpectation};
use dalestand_planner::LossRecord;
use dalestand_types::PoolName;
use error_stack::{Report, ResultExt as _};

/// Leading part of the keys. Not among those that relays watch: nobody but a new holder reads them.
const PREFIX: &str = "dalestand-engine-losses/";

/// Where the losses of one pool stand.
pub(in crate::duties) struct KeptLosses {
    key: String,
    expected: WriteExpectation,
}

impl KeptLosses {
    /// Reads what former holders kept of a pool.
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

    /// Writes what is known now. Where another holder has written meanwhile, its record gives way with the next
    /// write: it went on from the same beginning and saw less.
    pub(in crate::duties) async fn write(
        &mut self,
        store: &dyn KeyValue,
        record: &LossRecord,
    ) -> Result<(), Report<PlatformError>> {
        let text = serde_json::to_string(record);
        let text = text.change_context_lazy(|| malformed("cannot be written"))?;
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
    record.change_context_lazy(|| malformed("cannot be read"))
}

fn malformed(message: &str) -> PlatformError {
    PlatformError::Malformed {
        system: "losses of engines",
        message: message.to_owned(),
    }
}
