//! Delays streams until they may begin.

use std::time::Duration;

use dalestand_clock::{BootInstant, sleep};
use dalestand_stream_origins::StreamBinding;

use crate::context::Context;
use crate::serve::progress::Progress;

/// Longest wait until the versions of a new fleet are stored: some calls of the key-value service.
const MAX_WAIT: Duration = Duration::from_millis(500);

/// How often a waiting request looks.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Waits, for a limited time, while there are engines but none whose version is stored, as after the first start of a fleet.
pub(crate) async fn await_stored_versions(context: &Context, progress: &Progress) {
    let due = progress.due.min(BootInstant::now() + MAX_WAIT);
    while matches!(progress.binding, StreamBinding::Beginning { .. })
        && has_only_unstored(context, progress)
        && BootInstant::now() < due
    {
        sleep(POLL_INTERVAL).await;
    }
}

fn has_only_unstored(context: &Context, progress: &Progress) -> bool {
    let fleet = context.fleet();
    let mut pools = progress.pools.iter();
    let has_engines = pools.clone().any(|pool| !fleet.pool(pool).is_empty());
    has_engines && pools.all(|pool| progress.engines(&fleet, pool).is_empty())
}
