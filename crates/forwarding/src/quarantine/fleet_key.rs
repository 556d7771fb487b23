//! Loads quarantine data from the key-value service at startup: the stopped requests, and the
//! fleet's fingerprint key. The first node to find no key creates it.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::timeout;
use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::FingerprintKey;
use dalestand_telemetry::{Event, log_event};
use error_stack::{Report, ResultExt as _};
use rand::RngExt as _;

use crate::context::Context;
use crate::quarantine::parts::held_entries::apply_stored_part;
use crate::quarantine::stopped_entries::apply_stored;

/// Prefix of all keys of quarantine data.
pub(crate) const QUARANTINE_PREFIX: &str = "dalestand/quarantine/";

/// Key under which the fingerprint key is stored.
const FLEET_KEY: &str = "dalestand/quarantine/key";

/// Maximum delay before a retry. A starting node has to load the key and the stopped requests
/// within the minimum time after which it counts as connected (3 s).
const MAX_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Loads or creates the fingerprint key, and loads the stopped requests. Retries until this
/// succeeds.
pub(crate) async fn load_fingerprint_key(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    loop {
        match timeout(LOAD_TIMEOUT, load(&context, &*store)).await {
            Ok(Ok(())) => return,
            Ok(Err(error)) => {
                log_event!(context.logger, Event::KeyValueFailed, "prefix" => QUARANTINE_PREFIX,
                    "error" => %error.current_context());
            }
            Err(_) => {
                log_event!(context.logger, Event::KeyValueFailed, "prefix" => QUARANTINE_PREFIX,
                    "error" => "no answer in time");
            }
        }
        let factor = rand::rng().random_range(0.5..1.0);
        actix_rt::time::sleep(MAX_RETRY_DELAY.mul_f64(factor)).await;
    }
}

/// Time after which another attempt may succeed, as connections opened in an outage stay silent.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

async fn load(context: &Context, store: &dyn KeyValue) -> Result<(), Report<PlatformError>> {
    let listing = store.range(QUARANTINE_PREFIX).await?;
    let stored = listing.entries.iter().find(|entry| entry.key == FLEET_KEY);
    let text = match stored {
        Some(entry) => entry.value.clone(),
        None => create_key(store).await?,
    };
    let key = FingerprintKey::parse(&text);
    let key = key.change_context_lazy(|| PlatformError::Malformed {
        system: "fingerprint key",
        message: "is not a valid fingerprint key".to_owned(),
    })?;
    context.quarantine.set_key(key);
    for entry in &listing.entries {
        apply_stored(context, &entry.key, Some(&entry.value));
        apply_stored_part(context, &entry.key, Some(&entry.value));
    }
    Ok(())
}

/// Creates a fingerprint key, and returns the stored one, which another node may have written
/// first.
async fn create_key(store: &dyn KeyValue) -> Result<String, Report<PlatformError>> {
    let text = FingerprintKey::generate().to_text();
    let written = store
        .compare_and_swap(FLEET_KEY, WriteExpectation::Absent, Some(&text), None)
        .await?;
    match written {
        CasOutcome::Conflict {
            current: Some(current),
        } => Ok(current.value),
        CasOutcome::Written { .. } => Ok(text),
        // The caller retries.
        CasOutcome::Conflict { current: None } => Err(Report::new(PlatformError::InDoubt {
            system: "fingerprint key",
            message: "was deleted concurrently".to_owned(),
        })),
    }
}
