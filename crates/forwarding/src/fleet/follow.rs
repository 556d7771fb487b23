//! Follows keys of the key-value service: lists them, then watches until a watch fails.

#[cfg(test)]
mod tests;

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::{BootInstant, TimedOut, timeout};
use dalestand_edge::{Entry, KeyValue, Listing, ListingPage, PlatformError, WatchEvent};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::Revision;
use error_stack::Report;
use futures_util::StreamExt as _;
use futures_util::stream::FuturesUnordered;
use rand::RngExt as _;
use slog::Logger;
use tokio::sync::{Notify, watch};

/// Longest wait of one watch.
pub(crate) const WATCH_WAIT: Duration = Duration::from_secs(25);

/// Shortest time for the answer to a watch after its wait: some round trips of a busy service.
const MIN_ANSWER_TIME: Duration = Duration::from_millis(300);

/// Longest time for the answer to a watch after its wait.
const MAX_ANSWER_TIME: Duration = Duration::from_secs(3);

/// How often a waiting watch is compared with the wait that the node's present role asks for.
const WAIT_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// After unanswered watches, the wait and the time for the answer are up to this multiple: a service may be
/// slow, and a watch that never succeeds costs a listing each time.
const MAX_PATIENCE: u32 = 8;

/// Time without an answer after which a page is asked for again: longer than the service takes when it is slow, and a third of
/// the time in which a node that was cut off counts as connected again.
const REPEAT_PAGE_AFTER: Duration = Duration::from_secs(1);

/// Delay after the first failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(60);

/// Upper bound of the delay after repeated failures.
const MAX_BACKOFF: Duration = Duration::from_millis(500);

/// Upper bound of the delay until the first listing succeeds: without it a node refuses all requests.
const MAX_BACKOFF_UNTIL_LISTED: Duration = Duration::from_millis(200);

/// Without an answer for less than this, the service was not away for long enough that entries could expire
/// because they were not renewed: that takes two missed heartbeats at least.
pub(crate) const MIN_OUTAGE: Duration = Duration::from_secs(2);

/// Wakes the other followers of a node when one of them reaches the service again.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecoverySignal(Rc<Notify>);

impl RecoverySignal {
    fn notify(&self) {
        self.0.notify_waiters();
    }

    /// Waits for `max_wait`, or until another follower has reached the service.
    async fn wait(&self, max_wait: Duration) {
        let _ = tokio::time::timeout(max_wait, self.0.notified()).await;
    }
}

/// Receives the entries of the followed keys and their changes.
pub(crate) trait Follower {
    /// A listing of all keys begins. It ends with [`Self::apply_listing`] unless it fails.
    fn begin_listing(&self) {}

    /// Receives one page of a listing, so that its entries can be used before the listing is complete.
    fn apply_page(&self, _entries: &[Entry]) {}

    /// Receives all keys. `after_outage` means that entries may have expired because the service was
    /// unavailable for long enough, or may be missing because it was restored from a backup.
    fn apply_listing(&self, listing: Listing, after_outage: bool);

    /// Receives changes, oldest first.
    fn apply_events(&self, events: Vec<WatchEvent>);

    /// The service has answered: the known entries are current as of `at`.
    fn confirm(&self, _at: BootInstant) {}

    /// Delay before the next watch after a change, so that it returns several changes at once: where
    /// many nodes follow many writers, each change would otherwise cost a call of every node.
    fn batch_delay(&self) -> Duration {
        Duration::ZERO
    }
}

/// The keys to follow and the service that has them.
pub(crate) struct FollowTask {
    pub(crate) store: Rc<dyn KeyValue>,
    /// Prefix of the keys.
    pub(crate) prefix: String,
    pub(crate) recovery: RecoverySignal,
    /// Longest wait of the next watch. A change is noticed at most this long, the time for an answer, and a
    /// listing after it was made, even if the answers to earlier watches were lost.
    pub(crate) watch_wait: Box<dyn Fn() -> Duration>,
    pub(crate) logger: Logger,
}

/// Progress of a follower.
#[derive(Default)]
struct Progress {
    /// The revision from which to watch; `None` if the keys must be listed.
    position: Option<Revision>,
    was_listed: bool,
    /// Era of the last answer.
    era: u64,
    failures: u32,
    /// When the last call that was answered was made.
    answered_at: Option<BootInstant>,
    patience: Patience,
}

impl Progress {
    /// Whether calls failed for so long that entries may have expired meanwhile.
    fn is_after_outage(&self) -> bool {
        let silence = self.answered_at.map(BootInstant::elapsed);
        self.failures > 0 && silence.is_none_or(|silence| silence >= MIN_OUTAGE)
    }
}

/// Multiple of the wait of a watch and of the time for its answer.
#[derive(Clone, Copy)]
struct Patience(u32);

impl Default for Patience {
    fn default() -> Self {
        Self(1)
    }
}

impl Patience {
    fn record(&mut self, was_answered: bool) {
        self.0 = if was_answered {
            (self.0 / 2).max(1)
        } else {
            (self.0 * 2).min(MAX_PATIENCE)
        };
    }

    /// Wait of the next watch, and the time after which it counts as unanswered.
    fn limits(&self, wait: Duration) -> (Duration, Duration) {
        let wait = (wait * self.0).min(WATCH_WAIT);
        let answer_time = wait.clamp(MIN_ANSWER_TIME, MAX_ANSWER_TIME);
        (wait, wait + answer_time)
    }
}

/// Follows the keys of `task` while `enabled` is true, until dropped. Lists all keys each time that
/// `enabled` becomes true.
pub(crate) async fn follow(
    task: FollowTask,
    follower: impl Follower,
    mut enabled: watch::Receiver<bool>,
) {
    let mut progress = Progress::default();
    while enabled.wait_for(|enabled| *enabled).await.is_ok() {
        tokio::select! {
            () = follow_step(&task, &follower, &mut progress) => {}
            () = wait_until_stopped(&mut enabled) => progress.position = None,
        }
    }
}

/// Waits until `enabled` is false; forever if its sender is gone.
async fn wait_until_stopped(enabled: &mut watch::Receiver<bool>) {
    if enabled.wait_for(|enabled| !*enabled).await.is_err() {
        std::future::pending::<()>().await;
    }
}

/// Makes one call or listing, and waits after a failure.
async fn follow_step(task: &FollowTask, follower: &impl Follower, progress: &mut Progress) {
    let prefix = &task.prefix;
    match call_service(task, progress, follower).await {
        Ok(None) => {}
        Ok(Some(followed)) => {
            let next = followed.position;
            follower.confirm(followed.current_as_of);
            if progress.failures > 0 {
                log_event!(task.logger, Event::KeyValueRecovered, "prefix" => prefix,
                    "failures" => progress.failures,
                    "revision" => next.map(|revision| revision.0));
                task.recovery.notify();
            }
            progress.failures = 0;
            progress.answered_at = Some(followed.current_as_of);
            progress.was_listed = true;
            progress.era = next.map_or(progress.era, Revision::era);
            progress.position = next;
            if followed.has_changed {
                actix_rt::time::sleep(follower.batch_delay()).await;
            }
        }
        Err(error) => {
            if progress.failures == 0 {
                log_event!(task.logger, Event::KeyValueFailed, "prefix" => prefix,
                    "error" => %error.current_context(),
                    "revision" => progress.position.map(|revision| revision.0));
            }
            progress.failures += 1;
            // The failed watch may have missed a change that the next one does not report.
            progress.position = None;
            let max_backoff = if progress.was_listed {
                MAX_BACKOFF
            } else {
                MAX_BACKOFF_UNTIL_LISTED
            };
            let delay = backoff(progress.failures, max_backoff, error.current_context());
            task.recovery.wait(delay).await;
        }
    }
}

/// Result of a call.
struct Followed {
    /// Where to continue; `None` if the keys must be listed again.
    position: Option<Revision>,
    has_changed: bool,
    /// The answer includes all changes made until then.
    current_as_of: BootInstant,
}

/// Watches for changes, or lists all keys. `None` if the watch was given up for a shorter one.
async fn call_service(
    task: &FollowTask,
    progress: &mut Progress,
    follower: &impl Follower,
) -> Result<Option<Followed>, Report<PlatformError>> {
    let FollowTask { store, prefix, .. } = task;
    let called_at = BootInstant::now();
    let Some(position) = progress.position else {
        let listing = list_all(task, follower).await?;
        let revision = listing.revision;
        // A restored backup lacks recent writes, which are soon repeated, as after an outage.
        let is_restored = progress.was_listed && revision.era() != progress.era;
        follower.apply_listing(listing, progress.is_after_outage() || is_restored);
        return Ok(Some(Followed {
            position: Some(revision),
            has_changed: false,
            current_as_of: called_at,
        }));
    };
    let (wait, limit) = progress.patience.limits((task.watch_wait)());
    let answered = tokio::select! {
        answered = timeout(limit, store.watch(prefix, position, wait)) => answered,
        () = wait_until_shorter(task, progress.patience, wait) => return Ok(None),
    };
    progress.patience.record(answered.is_ok());
    let batch = answered.unwrap_or_else(|TimedOut| {
        store.discard_connections();
        Err(Report::new(PlatformError::InDoubt {
            system: "key-value service",
            message: "a watch was not answered".to_owned(),
        }))
    })?;
    if batch.compacted {
        return Ok(Some(Followed {
            position: None,
            has_changed: false,
            current_as_of: called_at,
        }));
    }
    let has_changed = !batch.events.is_empty();
    if has_changed {
        follower.apply_events(batch.events);
    }
    // The service waits before it answers that there was no change.
    let has_waited = !has_changed && called_at.elapsed() >= wait;
    Ok(Some(Followed {
        position: Some(batch.revision.max(position)),
        has_changed,
        current_as_of: if has_waited {
            called_at + wait
        } else {
            called_at
        },
    }))
}

/// Waits until a watch has to wait for less than `wait`, as when this node becomes a relay.
async fn wait_until_shorter(task: &FollowTask, patience: Patience, wait: Duration) {
    loop {
        actix_rt::time::sleep(WAIT_CHECK_INTERVAL).await;
        if patience.limits((task.watch_wait)()).0 < wait {
            return;
        }
    }
}

/// Lists all keys page by page. The pages are not a snapshot: a watch from the first page's revision
/// reports changes made in between.
async fn list_all(
    task: &FollowTask,
    follower: &impl Follower,
) -> Result<Listing, Report<PlatformError>> {
    follower.begin_listing();
    let mut page = read_page(task, None).await?;
    let revision = page.listing.revision;
    let mut entries = Vec::new();
    loop {
        follower.apply_page(&page.listing.entries);
        entries.append(&mut page.listing.entries);
        match page.next_after {
            Some(next_after) => page = read_page(task, Some(&next_after)).await?,
            None => return Ok(Listing { revision, entries }),
        }
    }
}

/// Reads one page. While there is no answer, it is asked for again: a call that was made in the last moments of an outage
/// is not answered, and without others this node would learn nothing until the call's time limit. The time limit of
/// the first call ends all.
async fn read_page(
    task: &FollowTask,
    after: Option<&str>,
) -> Result<ListingPage, Report<PlatformError>> {
    let FollowTask { store, prefix, .. } = task;
    let mut calls = FuturesUnordered::new();
    loop {
        calls.push(store.page(prefix, after));
        match timeout(REPEAT_PAGE_AFTER, calls.next()).await {
            Ok(Some(answer)) => return answer,
            // The connection may say nothing more.
            Ok(None) | Err(TimedOut) => store.discard_connections(),
        }
    }
}

/// Exponential backoff with jitter, never shorter than the delay that the service requested unless
/// that exceeds `max_backoff`: a node that waits longer would miss draining engines.
fn backoff(failures: u32, max_backoff: Duration, error: &PlatformError) -> Duration {
    let exponential = INITIAL_BACKOFF * 2_u32.pow(failures.min(5) - 1);
    let requested = match error {
        PlatformError::RateLimited { retry_after, .. } => *retry_after,
        PlatformError::OutOfService { retry_after, .. } => retry_after.unwrap_or_default(),
        _ => Duration::ZERO,
    };
    let jitter = rand::rng().random_range(0.6..1.0);
    let delay = if requested < exponential {
        exponential.mul_f64(jitter).max(requested)
    } else {
        requested.saturating_add(INITIAL_BACKOFF.mul_f64(1.0 - jitter))
    };
    if delay < max_backoff {
        delay
    } else {
        max_backoff.mul_f64(jitter)
    }
}
