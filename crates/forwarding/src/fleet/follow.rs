//! Follows keys of the key-value service: reads them, then watches until a watch fails.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::BootInstant;
use dalestand_edge::{Entry, KeyValue, Listing, PlatformError, WatchEvent};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use error_stack::Report;
use rand::RngExt as _;
use slog::Logger;
use tokio::sync::{Notify, watch};

/// Longest wait of one watch.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(25);

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
pub(crate) struct RecoverySignal(Rc<Notify>);

impl RecoverySignal {
    fn notify(&self) {
        self.0.notify_waiters();
    }

    /// Waits for `pause`, or until another follower reached the service.
    async fn wait(&self, pause: Duration) {
        let _ = tokio::time::timeout(pause, self.0.notified()).await;
    }
}

/// What is done with keys as they change.
pub(crate) trait Follower {
    /// A reading of all keys begins. [`Self::listed`] ends it, unless it fails.
    fn listing_begins(&self) {}

    /// Some of the keys, as they are read. A reading of many keys takes several calls, and what the
    /// first of them tells is of use at once.
    fn page(&self, _entries: &[Entry]) {}

    /// All keys, as they stand. `after_outage` says that the service had failed before.
    fn listed(&self, listing: Listing, after_outage: bool);

    /// Keys have changed, oldest change first.
    fn changed(&self, events: Vec<WatchEvent>);

    /// The service has answered: what is known of the keys stands, as of the call's begin.
    fn confirmed(&self, _called_at: BootInstant) {}

    /// Changes that come within this time of each other are asked for together: where many nodes
    /// follow what many write, each change by itself would be a call of every node.
    fn gather(&self) -> Duration {
        Duration::ZERO
    }
}

/// What is followed, and where.
pub(crate) struct FollowTask {
    pub(crate) store: Rc<dyn KeyValue>,
    /// Leading part of the keys.
    pub(crate) prefix: String,
    pub(crate) recovery: RecoverySignal,
    /// Longest wait of one watch.
    pub(crate) watch_wait: Duration,
    pub(crate) logger: Logger,
}

/// Where a follower stands.
#[derive(Default)]
struct Progress {
    /// The revision from which to watch; `None` if all is to be read.
    position: Option<Revision>,
    was_read: bool,
    /// The era of what was last read.
    era: u64,
    failures: u32,
}

/// Follows the keys of `task` while `reading` holds, for as long as it is polled. Each time that
/// `reading` begins to hold, all keys are read.
pub(crate) async fn follow(
    task: FollowTask,
    follower: impl Follower,
    mut reading: watch::Receiver<bool>,
) {
    let mut progress = Progress::default();
    while reading.wait_for(|reads| *reads).await.is_ok() {
        tokio::select! {
            () = follow_on(&task, &follower, &mut progress) => {}
            () = stopped(&mut reading) => progress.position = None,
        }
    }
}

/// Waits until `reading` no longer holds; for ever if nobody can change it.
async fn stopped(reading: &mut watch::Receiver<bool>) {
    if reading.wait_for(|reads| !*reads).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// One call, and the pause after a failure.
async fn follow_on(task: &FollowTask, follower: &impl Follower, progress: &mut Progress) {
    let prefix = &task.prefix;
    let called_at = BootInstant::now();
    match step(task, progress, follower).await {
        Ok(followed) => {
            let next = followed.position;
            follower.confirmed(called_at);
            if progress.failures > 0 {
                log_event!(task.logger, Event::KeyValueRegained, "prefix" => prefix,
                    "failures" => progress.failures,
                    "revision" => next.map(|revision| revision.0));
                task.recovery.notify();
            }
            progress.failures = 0;
            progress.was_read = true;
            progress.era = next.map_or(progress.era, Revision::era);
            progress.position = next;
            if followed.has_changed {
                actix_rt::time::sleep(follower.gather()).await;
            }
        }
        Err(error) => {
            if progress.failures == 0 {
                log_event!(task.logger, Event::KeyValueFailed, "prefix" => prefix,
                    "error" => %error.current_context(),
                    "revision" => progress.position.map(|revision| revision.0));
            }
            progress.failures += 1;
            // A watch that was cut may have missed a change that the next watch does not tell
            // either: only a read shows what stands now.
            progress.position = None;
            let longest = if progress.was_read {
                LONGEST_PAUSE
            } else {
                LONGEST_PAUSE_UNREAD
            };
            let pause = pause(progress.failures, longest, error.current_context());
            task.recovery.wait(pause).await;
        }
    }
}

/// What a call has shown.
struct Followed {
    /// Where to go on; `None` if all is to be read again.
    position: Option<Revision>,
    /// Whether keys have changed.
    has_changed: bool,
}

/// One call, or a reading of all.
async fn step(
    task: &FollowTask,
    progress: &Progress,
    follower: &impl Follower,
) -> Result<Followed, Report<PlatformError>> {
    let FollowTask { store, prefix, .. } = task;
    let Some(position) = progress.position else {
        let listing = read_all(task, follower).await?;
        let revision = listing.revision;
        // A copy lacks what was written last, which is soon written again, as after an outage.
        let is_restored = progress.was_read && revision.era() != progress.era;
        follower.listed(listing, progress.failures > 0 || is_restored);
        return Ok(Followed {
            position: Some(revision),
            has_changed: false,
        });
    };
    let batch = store.watch(prefix, position, task.watch_wait).await?;
    if batch.compacted {
        return Ok(Followed {
            position: None,
            has_changed: false,
        });
    }
    let has_changed = !batch.events.is_empty();
    if has_changed {
        follower.changed(batch.events);
    }
    Ok(Followed {
        position: Some(batch.revision.max(position)),
        has_changed,
    })
}

/// Reads all keys, page by page. Pages are no snapshot: a watch from the first page's revision tells
/// what came between.
async fn read_all(
    task: &FollowTask,
    follower: &impl Follower,
) -> Result<Listing, Report<PlatformError>> {
    let FollowTask { store, prefix, .. } = task;
    follower.listing_begins();
    let mut page = store.page(prefix, None).await?;
    let revision = page.listing.revision;
    let mut entries = Vec::new();
    loop {
        follower.page(&page.listing.entries);
        let last = page.listing.entries.last().map(|entry| entry.key.clone());
        entries.append(&mut page.listing.entries);
        match last.filter(|_| page.has_more) {
            Some(last) => page = store.page(prefix, Some(&last)).await?,
            None => return Ok(Listing { revision, entries }),
        }
    }
}

/// A pause that grows with the failures, spread so that nodes do not call in step: behind what the service
/// asked for, not before it. A node that stays away for longer than `longest` is behind on engines that
/// leave, whatever the service asked for.
fn pause(failures: u32, longest: Duration, error: &PlatformError) -> Duration {
    let grown = FIRST_PAUSE * 2_u32.pow(failures.min(5) - 1);
    let told = match error {
        PlatformError::RateLimited { retry_after, .. } => *retry_after,
        PlatformError::OutOfService { retry_after, .. } => retry_after.unwrap_or_default(),
        _ => Duration::ZERO,
    };
    let jitter = rand::rng().random_range(0.6..1.0);
    let pause = if told < grown {
        grown.mul_f64(jitter).max(told)
    } else {
        told.saturating_add(FIRST_PAUSE.mul_f64(1.0 - jitter))
    };
    if pause < longest {
        pause
    } else {
        longest.mul_f64(jitter)
    }
}
