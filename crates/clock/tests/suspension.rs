//! Two clocks that part: one that goes on while the machine is suspended, and timers that do not.

use std::time::{Duration, Instant};

use dalestand_clock::test_util::suspend;
use dalestand_clock::{BootInstant, LOOK_INTERVAL, TimeOver, sleep, timeout_at};

/// Far longer than any of these tests lasts.
const LONG: Duration = Duration::from_secs(60);

#[test]
fn a_suspension_counts_on_this_clock_and_on_no_other() {
    let (boot, other) = (BootInstant::now(), Instant::now());
    suspend(LONG);
    assert!(boot.elapsed() >= LONG);
    assert!(other.elapsed() < LONG);
    assert_eq!(boot - BootInstant::now(), Duration::ZERO);
}

#[test]
fn without_a_suspension_both_clocks_go_alike() {
    let (boot, other) = (BootInstant::now(), Instant::now());
    std::thread::sleep(Duration::from_millis(20));
    let apart = boot.elapsed().abs_diff(other.elapsed());
    assert!(apart < Duration::from_millis(10), "{apart:?}");
}

#[actix_rt::test]
async fn what_falls_due_during_a_suspension_is_noticed_soon_after() {
    let due = BootInstant::now() + LONG;
    let began = Instant::now();
    let wakes = async {
        actix_rt::time::sleep(Duration::from_millis(20)).await;
        suspend(LONG);
    };
    let never = std::future::pending::<()>();
    let (slept, ended, ()) = tokio::join!(sleep(LONG), timeout_at(due, never), wakes);
    assert_eq!((slept, ended), ((), Err(TimeOver)));
    assert!(began.elapsed() < LOOK_INTERVAL * 4, "{:?}", began.elapsed());
}

#[actix_rt::test]
async fn what_is_there_in_time_is_yielded() {
    let due = BootInstant::now() + Duration::from_millis(400);
    assert_eq!(timeout_at(due, async { 7 }).await, Ok(7));
    let began = Instant::now();
    let late = timeout_at(due, std::future::pending::<()>()).await;
    assert_eq!(late, Err(TimeOver));
    assert!(began.elapsed() >= Duration::from_millis(390));
}
