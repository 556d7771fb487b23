//! Applying a deployment file: one compare-and-swap on one record.

use dalestand_config::Deployment;
use dalestand_platform::{CasOutcome, Entry, KeyValue, PlatformError, WriteExpectation};
use dalestand_types::Revision;
use error_stack::{Report, ResultExt as _};

use crate::configuration::{CONFIGURATION_KEY, ConfigurationRecord};
use crate::error::ApplyError;

/// How often a write in doubt is looked for.
const READ_BACK_ATTEMPTS: usize = 5;

/// What stands in the key-value service.
pub(crate) struct Applied {
    /// Revision of the record.
    pub(crate) revision: Revision,
}

/// Applies `record`. With `expected` the file must follow that revision; without it, it follows
/// whatever stands there now.
pub(crate) async fn apply(
    key_value: &dyn KeyValue,
    expected: Option<Revision>,
    record: &ConfigurationRecord,
) -> Result<Applied, Report<ApplyError>> {
    Deployment::parse(&record.text)
        .map_err(|faults| Report::new(ApplyError::Faulty(faults.to_string())))?;
    let expectation = match expected {
        Some(Revision(0)) => WriteExpectation::Absent,
        Some(revision) => WriteExpectation::At(revision),
        None => current_expectation(key_value).await?,
    };
    let value = serde_json::to_string(record).change_context(ApplyError::Unavailable)?;
    let written = key_value
        .compare_and_swap(CONFIGURATION_KEY, expectation, Some(&value), None)
        .await;
    match written {
        Ok(CasOutcome::Written { revision }) => Ok(Applied { revision }),
        Ok(CasOutcome::Conflict { current }) => conflict(current, record),
        Err(error) if error.current_context().is_in_doubt() => read_back(key_value, record).await,
        Err(error) => Err(error.change_context(ApplyError::Unavailable)),
    }
}

async fn current_expectation(
    key_value: &dyn KeyValue,
) -> Result<WriteExpectation, Report<ApplyError>> {
    let entry = key_value
        .get(CONFIGURATION_KEY)
        .await
        .change_context(ApplyError::Unavailable)?;
    Ok(entry.map_or(WriteExpectation::Absent, |entry| {
        WriteExpectation::At(entry.revision)
    }))
}

/// A conflict may show this very write, if its answer was lost on the way and the call repeated.
fn conflict(
    current: Option<Entry>,
    record: &ConfigurationRecord,
) -> Result<Applied, Report<ApplyError>> {
    match current {
        Some(entry) if is_written_by(&entry, record) => Ok(Applied {
            revision: entry.revision,
        }),
        Some(entry) => {
            let author = author_of(&entry);
            let message = format!("revision {} by {author} stands there", entry.revision);
            Err(Report::new(ApplyError::Conflict).attach(message))
        }
        None => Err(Report::new(ApplyError::Conflict).attach("no configuration stands there")),
    }
}

async fn read_back(
    key_value: &dyn KeyValue,
    record: &ConfigurationRecord,
) -> Result<Applied, Report<ApplyError>> {
    let mut last_error: Option<Report<PlatformError>> = None;
    for _ in 0..READ_BACK_ATTEMPTS {
        match key_value.get(CONFIGURATION_KEY).await {
            Ok(Some(entry)) if is_written_by(&entry, record) => {
                return Ok(Applied {
                    revision: entry.revision,
                });
            }
            // Another record may have replaced this one, or this write may still be under way.
            Ok(_) => return Err(Report::new(ApplyError::InDoubt)),
            Err(error) => last_error = Some(error),
        }
    }
    match last_error {
        Some(error) => Err(error.change_context(ApplyError::InDoubt)),
        None => Err(Report::new(ApplyError::InDoubt)),
    }
}

fn is_written_by(entry: &Entry, record: &ConfigurationRecord) -> bool {
    serde_json::from_str::<ConfigurationRecord>(&entry.value)
        .is_ok_and(|written| written.writer == record.writer)
}

fn author_of(entry: &Entry) -> String {
    serde_json::from_str::<ConfigurationRecord>(&entry.value)
        .map_or_else(|_| "an unknown author".to_owned(), |record| record.author)
}
