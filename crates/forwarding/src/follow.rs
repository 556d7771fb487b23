//! Follows keys of the key-value service: reads them, then watches until a watch fails.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::{KeyValue, Listing, PlatformError, WatchEvent};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use error_stack::Report;
use rand::RngExt as _;
use slog::Logger;
use tokio::sync::Notify;

/// Longest wait of one watch.
const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Pause after a first failure.
const FIRST_PAUSE: Duration = Duration::from_millis(60);

/// Longest pause after failures.
const LONGEST_PAUSE: Duration = Duration::from_millis(500);

/// The same for a follower that has never read its keys: a node that knows no configuration or no
/// engine refuses every request.
const LONGEST_PAUSE_UNREAD: Duration = Duration::from_millis(200);

/// Tells the followers of a node that one of them reached the service again, so that the others do
/// not sit out their pauses.
#[derive(Clone, Debug, Default)]
pub(crate) struct Regained(Rc<Notify>);

impl Regained {
    fn tell(&self) {
        self.0.notify_waiters();
    }

    /// Waits for `pause`, or until another follower reached the service.
    async fn wait(&self, pause: Duration) {
        let _ = tokio::time::timeout(pause, self.0.notified()).await;
    }
}

/// What is done with keys as they change.
pub(crate) trait Follower {
    /// All keys, as they stand.
    fn listed(&self, listing: Listing);

    /// One key has changed.
    fn changed(&self, event: WatchEvent);

    /// Changes that come within this time of each other are asked for together: where many nodes
    /// follow what many write, each change by itself would be a call of every node.
    fn gather(&self) -> Duration {
        Duration::ZERO
    }
}

/// Follows the keys under `prefix` for as long as it is polled.
pub(crate) async fn follow(
    store: Rc<dyn KeyValue>,
    prefix: String,
    follower: impl Follower,
    regained: Regained,
    logger: Logger,
) {
    let mut position: Option<Revision> = None;
    let mut was_read = false;
    let mut failures = 0;
    loop {
        match step(&*store, &prefix, position, &follower).await {
            Ok(next) => {
                if failures > 0 {
                    log_event!(logger, Event::KeyValueRegained, "prefix" => &prefix,
                        "failures" => failures, "revision" => next.map(|revision| revision.0));
                    regained.tell();
                }
                failures = 0;
                was_read = true;
                position = next;
            }
            Err(error) => {
                if failures == 0 {
                    log_event!(logger, Event::KeyValueFailed, "prefix" => &prefix,
                        "error" => %error.current_context(),
                        "revision" => position.map(|revision| revision.0));
                }
                failures += 1;
                // A watch that was cut may have missed a change that the next watch does not tell
                // either: only a read shows what stands now.
                position = None;
                let longest = if was_read {
                    LONGEST_PAUSE
                } else {
                    LONGEST_PAUSE_UNREAD
                };
                let pause = pause(failures, longest, error.current_context());
                regained.wait(pause).await;
            }
        }
    }
}

/// One call; yields where to go on, or `None` if all is to be read again.
async fn step(
    store: &dyn KeyValue,
    prefix: &str,
    position: Option<Revision>,
    follower: &impl Follower,
) -> Result<Option<Revision>, Report<PlatformError>> {
    let Some(position) = position else {
        let listing = store.range(prefix).await?;
        let revision = listing.revision;
        follower.listed(listing);
        return Ok(Some(revision));
    };
    let batch = store.watch(prefix, position, WATCH_WAIT).await?;
    if batch.compacted {
        return Ok(None);
    }
    let any_changed = !batch.events.is_empty();
    for event in batch.events {
        follower.changed(event);
    }
    if any_changed {
        actix_rt::time::sleep(follower.gather()).await;
    }
    Ok(Some(batch.revision.max(position)))
}

/// A pause that grows with the failures, spread so that nodes do not call in step.
fn pause(failures: u32, longest: Duration, error: &PlatformError) -> Duration {
    let grown = FIRST_PAUSE * 2_u32.pow(failures.min(5) - 1);
    let told = match error {
        PlatformError::RateLimited { retry_after, .. } => *retry_after,
        _ => Duration::ZERO,
    };
    let pause = grown.max(told).min(longest);
    pause.mul_f64(rand::rng().random_range(0.6..1.0))
}
