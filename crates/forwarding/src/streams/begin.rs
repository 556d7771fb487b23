//! Delays or refuses streams that may not begin yet.

use std::time::Duration;

use dalestand_clock::{BootInstant, sleep};
use dalestand_stream_origins::{MAX_VIEW_AGE, StreamBinding};

use crate::context::Context;
use crate::serve::answer::Failure;
use crate::serve::progress::Progress;

/// Longest wait until the versions of a new fleet are stored: some calls of the key-value service.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// How often a waiting request looks.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits, for a limited time, while there are engines but none whose version is stored, as after the first start of a fleet.
/// Refuses a stream at a node that has been cut off for so long that versions may have been removed since.
pub(crate) async fn await_stored_versions(
    context: &Context,
    progress: &Progress,
) -> Result<(), Failure> {
    if !matches!(progress.binding, StreamBinding::Beginning { .. }) {
        return Ok(());
    }
    let view_age = context.entries_proof.age();
    if view_age.is_some_and(|age| age > MAX_VIEW_AGE) {
        return Err(Failure::NoEngine);
    }
    let due = progress.due.min(BootInstant::now() + MAX_WAIT);
    while has_only_unstored(context, progress) && BootInstant::now() < due {
        sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

fn has_only_unstored(context: &Context, progress: &Progress) -> bool {
    let fleet = context.fleet();
    let mut pools = progress.pools.iter();
    let has_engines = pools.clone().any(|pool| !fleet.pool(pool).is_empty());
    has_engines && pools.all(|pool| progress.engines(&fleet, pool).is_empty())
}
