//! The clock by which promises are kept.
//!
//! `std::time::Instant` and the timers of `tokio` stand still while the machine is suspended: a node
//! that reckons by them takes its lease, its configuration and its callers' deadlines to be younger
//! than they are by as long as it slept, and acts on them. [`BootInstant`] goes on. Timers only wake:
//! [`sleep`], [`sleep_until`] and [`timeout_at`] look at the clock every [`LOOK_INTERVAL`], so that
//! what fell due during a suspension is noticed as soon after it.

use std::future::Future;
use std::ops::{Add, Sub};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// How late what fell due during a suspension may be noticed: half of the slack that callers' answers
/// have after their time limit (0.5 s).
pub const LOOK_INTERVAL: Duration = Duration::from_millis(250);

/// A moment on the clock that counts from the machine's start, suspensions included.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The present moment.
    pub fn now() -> Self {
        // Every Linux since 2.6.39 has the clock; without it the monotonic one is the best there is.
        let read = clock_gettime(ClockId::CLOCK_BOOTTIME);
        let read = read.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        let time = read.map_or(Duration::ZERO, Duration::from);
        Self(time + suspended())
    }

    /// Time passed since this moment.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// Time passed since `earlier`; zero if that lies later.
    pub fn saturating_duration_since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for BootInstant {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration))
    }
}

impl Sub for BootInstant {
    type Output = Duration;

    fn sub(self, earlier: Self) -> Duration {
        self.saturating_duration_since(earlier)
    }
}

/// The time is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeOver;

/// Waits until `due`.
pub async fn sleep_until(due: BootInstant) {
    loop {
        let left = due - BootInstant::now();
        if left.is_zero() {
            return;
        }
        tokio::time::sleep(left.min(LOOK_INTERVAL)).await;
    }
}

/// Waits for `duration`, of which a suspension is part.
pub async fn sleep(duration: Duration) {
    sleep_until(BootInstant::now() + duration).await;
}

/// What `future` yields, unless `due` comes first.
pub async fn timeout_at<F: Future>(due: BootInstant, future: F) -> Result<F::Output, TimeOver> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(due) => Err(TimeOver),
    }
}

/// The same for a time from now on.
pub async fn timeout<F: Future>(duration: Duration, future: F) -> Result<F::Output, TimeOver> {
    timeout_at(BootInstant::now() + duration, future).await
}

#[cfg(not(feature = "test-util"))]
fn suspended() -> Duration {
    Duration::ZERO
}

#[cfg(feature = "test-util")]
use test_util::suspended;

/// Suspends the machine of a test.
#[cfg(feature = "test-util")]
pub mod test_util {
    use std::cell::Cell;
    use std::time::Duration;

    thread_local! {
        static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    }

    /// Has this thread find that the machine was suspended just now for `duration`: the boot clock went
    /// on, timers and `Instant` did not.
    pub fn suspend(duration: Duration) {
        SUSPENDED.set(SUSPENDED.get() + duration);
    }

    /// For how long the machine of this thread was suspended in all.
    pub(crate) fn suspended() -> Duration {
        SUSPENDED.get()
    }
}
