//! What a node that starts reads of requests that end engines: those that are stopped, and the key of
//! the fleet's fingerprints, which whichever node asks first draws for all.

use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::{CasOutcome, KeyValue, PlatformError, WriteExpectation};
use dalestand_quarantine::FingerprintKey;
use dalestand_telemetry::{Event, log_event};
use error_stack::{Report, ResultExt as _};
use rand::RngExt as _;

use crate::context::Context;
use crate::quarantine::stopped_entries::apply_stored;

/// Leading part of the keys of what nodes keep of requests that end engines.
pub(crate) const QUARANTINE_PREFIX: &str = "dalestand/quarantine/";

/// Where the fleet's key stands.
const FLEET_KEY: &str = "dalestand/quarantine/key";

/// Longest pause after a failed call. A node is to know the key, and what is stopped, within the
/// shortest time after which it counts as connected (3 s).
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// Reads the fleet's key, or draws it; ends when it is known.
pub(crate) async fn load_fingerprint_key(context: Rc<Context>, store: Rc<dyn KeyValue>) {
    loop {
        match read(&context, &*store).await {
            Ok(()) => return,
            Err(error) => {
                log_event!(context.logger, Event::KeyValueFailed, "prefix" => QUARANTINE_PREFIX,
                    "error" => %error.current_context());
                let share = rand::rng().random_range(0.5..1.0);
                actix_rt::time::sleep(LONGEST_PAUSE.mul_f64(share)).await;
            }
        }
    }
}

async fn read(context: &Context, store: &dyn KeyValue) -> Result<(), Report<PlatformError>> {
    let listing = store.range(QUARANTINE_PREFIX).await?;
    let standing = listing.entries.iter().find(|entry| entry.key == FLEET_KEY);
    let text = match standing {
        Some(entry) => entry.value.clone(),
        None => draw(store).await?,
    };
    let key = FingerprintKey::parse(&text);
    let key = key.change_context_lazy(|| PlatformError::Malformed {
        system: "fingerprint key",
        message: "is no key".to_owned(),
    })?;
    // It is read once.
    let _ = context.quarantine.key.set(key);
    for entry in &listing.entries {
        apply_stored(context, &entry.key, Some(&entry.value));
    }
    Ok(())
}

/// Draws a key; yields the one that stands afterwards.
async fn draw(store: &dyn KeyValue) -> Result<String, Report<PlatformError>> {
    let text = FingerprintKey::generate().to_text();
    let written = store
        .compare_and_swap(FLEET_KEY, WriteExpectation::Absent, Some(&text), None)
        .await?;
    match written {
        CasOutcome::Conflict {
            current: Some(current),
        } => Ok(current.value),
        CasOutcome::Written { .. } => Ok(text),
        // It is read again.
        CasOutcome::Conflict { current: None } => Err(Report::new(PlatformError::InDoubt {
            system: "fingerprint key",
            message: "was taken away meanwhile".to_owned(),
        })),
    }
}
