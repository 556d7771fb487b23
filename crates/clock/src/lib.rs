//! Monotonic clock and timers that count time in system suspension.
//!
//! `std::time::Instant` and the timers of `tokio` do not advance while the machine is suspended. A node
//! that relied on them would, after a suspension, act on a lease, a configuration or a caller's
//! deadline that has already expired. [`BootInstant`] advances during a suspension. [`sleep`],
//! [`sleep_until`] and [`timeout_at`] check it at least every [`CHECK_INTERVAL`], so that they notice an
//! expiry that soon after the machine resumes.

use std::future::Future;
use std::ops::{Add, Sub};
use std::time::Duration;

use nix::time::{ClockId, clock_gettime};

/// Maximum delay after a resume until a timer that expired during the suspension fires. Half of the
/// 0.5 s by which an answer may exceed the caller's time limit.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// A point in time on the clock that counts from system boot, including suspensions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct BootInstant(Duration);

impl BootInstant {
    /// The current time.
    pub fn now() -> Self {
        // Every Linux since 2.6.39 has CLOCK_BOOTTIME. The fallback excludes suspensions.
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME);
        let time = time.or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        let time = time.map_or(Duration::ZERO, Duration::from);
        Self(time + simulated_suspension())
    }

    /// Time elapsed since this point.
    pub fn elapsed(self) -> Duration {
        Self::now().saturating_duration_since(self)
    }

    /// The point `duration` before this one.
    pub fn minus(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration))
    }

    /// Time elapsed since `earlier`; zero if `earlier` is later.
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

/// The time limit passed before the future completed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimedOut;

/// Waits until `deadline`.
pub async fn sleep_until(deadline: BootInstant) {
    loop {
        let remaining = deadline - BootInstant::now();
        if remaining.is_zero() {
            return;
        }
        tokio::time::sleep(remaining.min(CHECK_INTERVAL)).await;
    }
}

/// Waits for `duration`, counting time in suspension.
pub async fn sleep(duration: Duration) {
    sleep_until(BootInstant::now() + duration).await;
}

/// Awaits `future`, or fails at `deadline` if it has not completed.
pub async fn timeout_at<F: Future>(
    deadline: BootInstant,
    future: F,
) -> Result<F::Output, TimedOut> {
    tokio::select! {
        biased;
        output = future => Ok(output),
        () = sleep_until(deadline) => Err(TimedOut),
    }
}

/// Awaits `future`, or fails after `duration` if it has not completed.
pub async fn timeout<F: Future>(duration: Duration, future: F) -> Result<F::Output, TimedOut> {
    timeout_at(BootInstant::now() + duration, future).await
}

#[cfg(not(feature = "test-util"))]
fn simulated_suspension() -> Duration {
    Duration::ZERO
}

#[cfg(feature = "test-util")]
use test_util::simulated_suspension;

/// Simulates suspensions in tests.
#[cfg(feature = "test-util")]
pub mod test_util {
    use std::cell::Cell;
    use std::time::Duration;

    thread_local! {
        static SUSPENDED: Cell<Duration> = const { Cell::new(Duration::ZERO) };
    }

    /// Simulates, for this thread, a suspension of `duration`: the boot clock advances, timers and
    /// `Instant` do not.
    pub fn suspend(duration: Duration) {
        SUSPENDED.set(SUSPENDED.get() + duration);
    }

    /// Total time of the simulated suspensions of this thread.
    pub(crate) fn simulated_suspension() -> Duration {
        SUSPENDED.get()
    }
}
