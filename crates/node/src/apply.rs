//! Applying a deployment file: one compare-and-swap on one record.
//!
//! A write whose answer was lost is settled by its writer's id, which the record that replaced it
//! still names, or by writing again after the same revision: of the two writes one at most can
//! take effect.

use std::time::Duration;

use dalestand_config::Deployment;
use dalestand_edge::{CasOutcome, Entry, KeyValue, WriteExpectation};
use dalestand_types::Revision;
use error_stack::{Report, ResultExt as _};
use jiff::Timestamp;

use crate::configuration::{CONFIGURATION_KEY, ConfigurationRecord, FormerConfiguration};
use crate::error::ApplyError;

#[cfg(test)]
mod tests;

/// How often a write is tried while an earlier try of it is in doubt.
const WRITE_ATTEMPTS: usize = 4;

/// Pause before a write in doubt is looked for again.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Earlier configurations that a record names.
const MAX_FORMER: usize = 16;

/// What an operator applies.
#[derive(Clone, Debug)]
pub(crate) struct Draft {
    /// Unique to this apply.
    pub(crate) writer: String,
    /// Who applies it, for people.
    pub(crate) author: String,
    /// When, in milliseconds since 1970, for people.
    pub(crate) unix_ms: u64,
    /// The deployment file.
    pub(crate) text: String,
}

/// A configuration that was accepted.
#[derive(Clone, Debug)]
pub(crate) struct Applied {
    /// Its revision.
    pub(crate) revision: Revision,
    /// The record as it was written.
    pub(crate) record: ConfigurationRecord,
}

/// Applies `draft` and yields it with its revision. With `expected` the file must follow that revision;
/// without it, it follows whatever stands there now.
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
    let stands = current.as_ref().map(|entry| entry.revision);
    let wanted = expected.filter(|revision| *revision != Revision(0));
    if expected.is_some() && wanted != stands {
        return Err(conflict(current.as_ref()));
    }
    let record = ConfigurationRecord {
        former: former_of(current.as_ref()),
        writer: draft.writer,
        author: draft.author,
        unix_ms: draft.unix_ms,
        text: draft.text,
    };
    let write = Write {
        value: serde_json::to_string(&record).change_context(ApplyError::Unavailable)?,
        writer: record.writer.clone(),
        follows: stands,
    };
    let revision = write.carry_out(key_value).await?;
    Ok(Applied { revision, record })
}

/// The configurations before the one that is to replace `current`, newest first.
fn former_of(current: Option<&Entry>) -> Vec<FormerConfiguration> {
    let Some((revision, record)) = current.and_then(parsed) else {
        return Vec::new();
    };
    let last = FormerConfiguration {
        writer: record.writer,
        author: record.author,
        unix_ms: record.unix_ms,
        revision,
    };
    let earlier = record.former.into_iter();
    std::iter::once(last)
        .chain(earlier)
        .take(MAX_FORMER)
        .collect()
}

fn parsed(entry: &Entry) -> Option<(Revision, ConfigurationRecord)> {
    let record = serde_json::from_str(&entry.value).ok()?;
    Some((entry.revision, record))
}

/// One write of the record.
struct Write {
    value: String,
    writer: String,
    follows: Option<Revision>,
}

impl Write {
    async fn carry_out(&self, key_value: &dyn KeyValue) -> Result<Revision, Report<ApplyError>> {
        let expectation = self
            .follows
            .map_or(WriteExpectation::Absent, WriteExpectation::At);
        let mut in_doubt = None;
        for _ in 0..WRITE_ATTEMPTS {
            let written = key_value
                .compare_and_swap(CONFIGURATION_KEY, expectation, Some(&self.value), None)
                .await;
            match written {
                Ok(CasOutcome::Written { revision }) => return Ok(revision),
                Ok(CasOutcome::Conflict { current }) => {
                    return self.settle(current.as_ref(), in_doubt.is_some());
                }
                Err(error) if error.current_context().is_in_doubt() => in_doubt = Some(error),
                Err(error) if in_doubt.is_none() => {
                    return Err(error.change_context(ApplyError::Unavailable));
                }
                Err(error) => in_doubt = Some(error),
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
        match in_doubt {
            Some(error) => Err(error.change_context(ApplyError::InDoubt)),
            None => Err(Report::new(ApplyError::InDoubt)),
        }
    }

    /// Says what became of this write, now that something else than what it follows stands there:
    /// it can take effect no more, if it has not.
    fn settle(
        &self,
        current: Option<&Entry>,
        was_in_doubt: bool,
    ) -> Result<Revision, Report<ApplyError>> {
        let Some((revision, record)) = current.and_then(parsed) else {
            return Err(conflict(current));
        };
        if record.writer == self.writer {
            return Ok(revision);
        }
        let own = record.former.iter().find(|one| one.writer == self.writer);
        if let Some(own) = own {
            return Ok(own.revision);
        }
        if was_in_doubt && !self.reaches_back(&record) {
            return Err(Report::new(ApplyError::InDoubt));
        }
        Err(conflict(current))
    }

    /// Whether a record names every configuration since the one this write follows.
    fn reaches_back(&self, record: &ConfigurationRecord) -> bool {
        match self.follows {
            Some(follows) => record.former.iter().any(|one| one.revision == follows),
            None => record.former.len() < MAX_FORMER,
        }
    }
}

/// Another configuration came first: whose, which and when.
fn conflict(current: Option<&Entry>) -> Report<ApplyError> {
    let report = Report::new(ApplyError::Conflict);
    let Some(entry) = current else {
        return report.attach("no configuration stands there");
    };
    let revision = entry.revision;
    match parsed(entry) {
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
