//! A node acts under the fleet lease only while the lease is valid.

use std::cell::Cell;
use std::time::Duration;

use dalestand_edge::LeaseId;
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rstest::rstest;

use super::{FleetLease, HeldLease, while_held};
use crate::roles::lease_keeper::grant;

const TIME_TO_LIVE: Duration = Duration::from_secs(3);

fn held_lease(token: u64, sent_at: MonotonicTime, acquired_at: MonotonicTime) -> HeldLease {
    let grant = grant(LeaseId(1), token, sent_at, TIME_TO_LIVE);
    HeldLease {
        token,
        active_from: acquired_at + TIME_TO_LIVE,
        valid_until: grant.valid_until(),
    }
}

/// A call in progress is dropped if the machine was suspended past the end of the lease.
#[rstest]
#[case::within_the_lease(Duration::from_secs(1), true)]
#[case::longer_than_the_lease(TIME_TO_LIVE, false)]
#[actix_rt::test]
async fn a_call_ends_with_the_lease(#[case] suspended: Duration, #[case] completes: bool) {
    let acquired_at = MonotonicTime::from_millis(10_000);
    let fleet_lease = FleetLease::default();
    let renewed_at = acquired_at + TIME_TO_LIVE;
    fleet_lease
        .held
        .set(Some(held_lease(1, renewed_at, acquired_at)));
    let now = Cell::new(renewed_at);
    let sent = Cell::new(false);
    let call = async {
        now.set(now.get() + suspended);
        tokio::task::yield_now().await;
        sent.set(true);
    };
    let outcome = while_held(&fleet_lease, 1, || now.get(), call).await;
    assert_eq!((outcome.is_some(), sent.get()), (completes, completes));
}

proptest! {
    /// A lost or paused holder acts only before its lease ends in the key-value service. The next one
    /// takes the key after that and waits one lease duration before it acts.
    #[test]
    fn orders_of_two_holders_are_a_lease_apart(
        renewed_ms in 0_u64..20_000,
        answered_after_ms in 0_u64..3_000,
        taken_after_ms in 0_u64..5_000,
        asked_ms in 0_u64..60_000,
    ) {
        let renewed_at = MonotonicTime::from_millis(renewed_ms);
        // The service counts from the arrival of the renewal, at the earliest from its sending.
        let lease_ends = renewed_at + TIME_TO_LIVE;
        let taken_at = lease_ends + Duration::from_millis(taken_after_ms);
        let former = FleetLease::default();
        former.held.set(Some(held_lease(1, renewed_at, MonotonicTime::ZERO)));
        let next = FleetLease::default();
        let acquired_at = taken_at + Duration::from_millis(answered_after_ms);
        next.held.set(Some(held_lease(2, acquired_at, acquired_at)));
        let at = MonotonicTime::from_millis(asked_ms);
        if former.active(at).is_some() {
            prop_assert!(at < lease_ends);
        }
        if next.active(at).is_some() {
            prop_assert!(at >= lease_ends + TIME_TO_LIVE);
        }
    }
}

/// A process that was paused past the end of its lease may not act when it resumes.
#[test]
fn a_lease_ends_by_the_local_clock_alone() {
    let fleet_lease = FleetLease::default();
    let renewed_at = MonotonicTime::from_millis(10_000);
    fleet_lease
        .held
        .set(Some(held_lease(1, renewed_at, MonotonicTime::ZERO)));
    assert!(
        fleet_lease
            .active(MonotonicTime::from_millis(12_300))
            .is_some()
    );
    assert_eq!(fleet_lease.active(MonotonicTime::from_millis(12_400)), None);
    assert_eq!(fleet_lease.active(MonotonicTime::from_millis(60_000)), None);
}

#[test]
fn a_new_holder_waits_for_one_lease_duration() {
    let fleet_lease = FleetLease::default();
    let acquired_at = MonotonicTime::from_millis(10_000);
    let mut held = held_lease(1, acquired_at, acquired_at);
    held.valid_until = acquired_at + Duration::from_secs(60);
    fleet_lease.held.set(Some(held));
    assert_eq!(fleet_lease.active(MonotonicTime::from_millis(12_999)), None);
    assert!(
        fleet_lease
            .active(MonotonicTime::from_millis(13_000))
            .is_some()
    );
}
