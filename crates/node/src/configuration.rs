//! The configuration in force: read from the key-value service, never going back.

use std::sync::Arc;
use std::time::Duration;

use dalestand_config::Deployment;
use dalestand_gateway::{ActiveConfiguration, Shared};
use dalestand_platform::KeyValue;
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use serde::{Deserialize, Serialize};

/// Key of the configuration record.
pub(crate) const CONFIGURATION_KEY: &str = "configuration/deployment";

/// How long one watch waits.
const WATCH_WAIT: Duration = Duration::from_secs(10);

/// Pause after a failed call.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// The configuration record in the key-value service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct ConfigurationRecord {
    /// Unique to the write, so that a writer whose answer was lost knows its own.
    pub(crate) writer: String,
    /// Who applied it, for people.
    pub(crate) author: String,
    /// When it was applied, in milliseconds since 1970, for people.
    #[serde(default)]
    pub(crate) unix_ms: u64,
    /// The configurations before this one, newest first.
    #[serde(default)]
    pub(crate) former: Vec<FormerConfiguration>,
    /// The deployment file.
    pub(crate) text: String,
}

/// A configuration that a later one replaced; by it a writer whose answer was lost finds out that
/// its write took effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct FormerConfiguration {
    /// The write.
    pub(crate) writer: String,
    /// Who applied it, for people.
    pub(crate) author: String,
    /// When, in milliseconds since 1970, for people.
    pub(crate) unix_ms: u64,
    /// Its revision.
    pub(crate) revision: Revision,
}

/// Follows the configuration record.
pub(crate) async fn follow(shared: Arc<Shared>, key_value: &dyn KeyValue) {
    let mut watched = Revision(0);
    loop {
        let read = key_value.get(CONFIGURATION_KEY).await;
        match read {
            Ok(Some(entry)) => {
                take(&shared, entry.revision, &entry.value);
                watched = watched.max(entry.revision);
            }
            Ok(None) => {}
            Err(error) => {
                log_event!(shared.logger, Event::KeyValueFailed, "error" => %error);
                actix_rt::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        if let Err(error) = key_value
            .watch(CONFIGURATION_KEY, watched, WATCH_WAIT)
            .await
        {
            log_event!(shared.logger, Event::KeyValueFailed, "error" => %error);
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }
}

/// Puts a configuration in force if it is newer than the one that is.
pub(crate) fn take(shared: &Shared, revision: Revision, value: &str) {
    let in_force = shared
        .configuration
        .load()
        .as_ref()
        .map(|active| active.revision);
    if in_force.is_some_and(|known| known >= revision) {
        return;
    }
    let Some(deployment) = parse(shared, revision, value) else {
        return;
    };
    let active = ActiveConfiguration {
        revision,
        deployment: Arc::new(deployment),
    };
    shared.configuration.store(Some(Arc::new(active)));
    shared.metrics.configuration_revision.set(revision.0 as i64);
    log_event!(shared.logger, Event::ConfigurationInForce, "revision" => revision.0);
}

fn parse(shared: &Shared, revision: Revision, value: &str) -> Option<Deployment> {
    let record: Result<ConfigurationRecord, _> = serde_json::from_str(value);
    let fault = match record {
        Ok(record) => match Deployment::parse(&record.text) {
            Ok(deployment) => return Some(deployment),
            Err(faults) => faults.to_string(),
        },
        Err(error) => error.to_string(),
    };
    log_event!(shared.logger, Event::ConfigurationUnusable,
        "revision" => revision.0, "fault" => fault);
    None
}
