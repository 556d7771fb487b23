//! Applies a deployment file by a compare-and-swap on the configuration record.
//!
//! A write whose answer was lost is repeated against the same base revision, so that at most one of
//! the writes takes effect. If the record has changed in the meantime, its history of writer ids
//! shows whether the write took effect first.

use std::time::Duration;

use dalestand_config::Deployment;
use dalestand_edge::{CasOutcome, Entry, KeyValue, WriteExpectation};
use dalestand_types::Revision;
use error_stack::{Report, ResultExt as _};
use jiff::Timestamp;

use crate::configuration::{CONFIGURATION_KEY, ConfigurationRecord, PreviousConfiguration};
use crate::error::ApplyError;

#[cfg(test)]
mod tests;

/// Maximum number of attempts of a write whose outcome is in doubt.
const MAX_WRITE_ATTEMPTS: usize = 4;

/// Delay before a write in doubt is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Maximum number of previous configurations in the history of a record.
const MAX_HISTORY: usize = 16;

/// A deployment file to apply.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// Id unique to this operation.
    pub(crate) writer: String,
    /// Who applies it; informational.
    pub(crate) author: String,
    /// When, in milliseconds since the Unix epoch; informational.
    pub(crate) unix_ms: u64,
    /// Content of the deployment file.
    pub(crate) text: String,
}

/// A configuration that was applied.
#[derive(Clone, Debug)]
pub(crate) struct Applied {
    pub(crate) revision: Revision,
    pub(crate) record: ConfigurationRecord,
}

/// Applies `draft`. If `expected` is given and is not the current revision (0 for no
/// configuration), fails with a conflict; without it, replaces any current configuration.
pub(crate) async fn apply(
    key_value: &dyn KeyValue,
    expected: Option<Revision>,
    draft: Draft,
) -> Result<Applied, Report<ApplyError>> {
    Deployment::parse(&draft.text)
        .map_err(|faults| Report::new(ApplyError::Faulty(faults.to_string())))?;
    let current = key_value
        .get(CONFIGURATION_KEY)
        .await
        .change_context(ApplyError::Unavailable)?;
    let current_revision = current.as_ref().map(|entry| entry.revision);
    let expected_revision = expected.filter(|revision| *revision != Revision(0));
    if expected.is_some() && expected_revision != current_revision {
        return Err(conflict(current.as_ref()));
    }
    let record = ConfigurationRecord {
        former: previous_configurations(current.as_ref()),
        writer: draft.writer,
        author: draft.author,
        unix_ms: draft.unix_ms,
        text: draft.text,
    };
    let write = ConfigurationWrite {
        value: serde_json::to_string(&record).change_context(ApplyError::Unavailable)?,
        writer: record.writer.clone(),
        base: current_revision,
    };
    let revision = write.execute(key_value).await?;
    Ok(Applied { revision, record })
}

/// History of a record that is to replace `current`, newest first.
fn previous_configurations(current: Option<&Entry>) -> Vec<PreviousConfiguration> {
    let Some((revision, record)) = current.and_then(parse_record) else {
        return Vec::new();
    };
    let last = PreviousConfiguration {
        writer: record.writer,
        author: record.author,
        unix_ms: record.unix_ms,
        revision,
    };
    let earlier = record.former.into_iter();
    std::iter::once(last)
        .chain(earlier)
        .take(MAX_HISTORY)
        .collect()
}

fn parse_record(entry: &Entry) -> Option<(Revision, ConfigurationRecord)> {
    let record = serde_json::from_str(&entry.value).ok()?;
    Some((entry.revision, record))
}

/// A compare-and-swap of the configuration record.
struct ConfigurationWrite {
    value: String,
    writer: String,
    /// Revision to replace; `None` if there is no record yet.
    base: Option<Revision>,
}

impl ConfigurationWrite {
    async fn execute(&self, key_value: &dyn KeyValue) -> Result<Revision, Report<ApplyError>> {
        let expectation = self
            .base
            .map_or(WriteExpectation::Absent, WriteExpectation::At);
        let mut in_doubt = None;
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let result = key_value
                .compare_and_swap(CONFIGURATION_KEY, expectation, Some(&self.value), None)
                .await;
            match result {
                Ok(CasOutcome::Written { revision }) => return Ok(revision),
                Ok(CasOutcome::Conflict { current }) => {
                    return self.resolve_conflict(current.as_ref(), in_doubt.is_some());
                }
                Err(error) if error.current_context().is_in_doubt() => in_doubt = Some(error),
                Err(error) if in_doubt.is_none() => {
                    return Err(error.change_context(ApplyError::Unavailable));
                }
                Err(error) => in_doubt = Some(error),
            }
            actix_rt::time::sleep(RETRY_DELAY).await;
        }
        match in_doubt {
            Some(error) => Err(error.change_context(ApplyError::InDoubt)),
            None => Err(Report::new(ApplyError::InDoubt)),
        }
    }

    /// Determines the outcome of this write after a conflict. The record has another revision than
    /// the base, so that no pending attempt can take effect any more.
    fn resolve_conflict(
        &self,
        current: Option<&Entry>,
        was_in_doubt: bool,
    ) -> Result<Revision, Report<ApplyError>> {
        let Some((revision, record)) = current.and_then(parse_record) else {
            return Err(conflict(current));
        };
        if record.writer == self.writer {
            return Ok(revision);
        }
        let own = record.former.iter().find(|one| one.writer == self.writer);
        if let Some(own) = own {
            return Ok(own.revision);
        }
        if was_in_doubt && !self.history_includes_base(&record) {
            return Err(Report::new(ApplyError::InDoubt));
        }
        Err(conflict(current))
    }

    /// Whether the history of a record is complete since the base of this write.
    fn history_includes_base(&self, record: &ConfigurationRecord) -> bool {
        match self.base {
            Some(base) => record.former.iter().any(|one| one.revision == base),
            None => record.former.len() < MAX_HISTORY,
        }
    }
}

/// A conflict error that names the current revision, its author and its time.
fn conflict(current: Option<&Entry>) -> Report<ApplyError> {
    let report = Report::new(ApplyError::Conflict);
    let Some(entry) = current else {
        return report.attach("no configuration stands there");
    };
    let revision = entry.revision;
    match parse_record(entry) {
        Some((_, record)) => {
            let author = record.author;
            let when = Timestamp::from_millisecond(record.unix_ms as i64)
                .map_or_else(|_| "an unknown time".to_owned(), |when| when.to_string());
            report.attach(format!(
                "revision {revision} stands there, applied by {author} at {when}"
            ))
        }
        None => report.attach(format!("revision {revision} stands there, unreadable")),
    }
}
