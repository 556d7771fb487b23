//! The boot clock advances during a suspension, and timers that expired in it fire soon after.

use std::time::{Duration, Instant};

use dalestand_clock::test_util::suspend;
use dalestand_clock::{BootInstant, CHECK_INTERVAL, TimedOut, sleep, timeout_at};

/// Longer than any of these tests runs.
const LONG: Duration = Duration::from_secs(60);

#[test]
fn a_suspension_advances_the_boot_clock_only() {
    let (boot, other) = (BootInstant::now(), Instant::now());
    suspend(LONG);
    assert!(boot.elapsed() >= LONG);
    assert!(other.elapsed() < LONG);
    assert_eq!(boot - BootInstant::now(), Duration::ZERO);
}

#[test]
fn without_a_suspension_both_clocks_advance_alike() {
    let (boot, other) = (BootInstant::now(), Instant::now());
    std::thread::sleep(Duration::from_millis(20));
    let difference = boot.elapsed().abs_diff(other.elapsed());
    assert!(difference < Duration::from_millis(10), "{difference:?}");
}

#[actix_rt::test]
async fn an_expiry_during_a_suspension_is_noticed_soon_after() {
    let deadline = BootInstant::now() + LONG;
    let started = Instant::now();
    let suspension = async {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        suspend(LONG);
    };
    let never = std::future::pending::<()>();
    let (slept, timed_out, ()) = tokio::join!(sleep(LONG), timeout_at(deadline, never), suspension);
    assert_eq!((slept, timed_out), ((), Err(TimedOut)));
    assert!(
        started.elapsed() < CHECK_INTERVAL * 4,
        "{:?}",
        started.elapsed()
    );
}

#[actix_rt::test]
async fn timeout_at_returns_the_output_before_the_deadline_and_an_error_after() {
    let deadline = BootInstant::now() + Duration::from_millis(400);
    assert_eq!(timeout_at(deadline, async { 7 }).await, Ok(7));
    let started = Instant::now();
    let late = timeout_at(deadline, std::future::pending::<()>()).await;
    assert_eq!(late, Err(TimedOut));
    assert!(started.elapsed() >= Duration::from_millis(390));
}
