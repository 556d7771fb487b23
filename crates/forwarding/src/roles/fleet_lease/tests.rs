//! When a mandate allows an order.

use std::cell::Cell;
use std::time::Duration;

use dalestand_edge::LeaseId;
use dalestand_types::MonotonicTime;
use proptest::prelude::*;
use rstest::rstest;

use super::{FleetLease, HeldLease, while_held};
use crate::roles::lease_keeper::grant;

const TIME_TO_LIVE: Duration = Duration::from_secs(3);

fn mandate(token: u64, sent_at: MonotonicTime, acquired_at: MonotonicTime) -> HeldLease {
    let grant = grant(LeaseId(1), token, sent_at, TIME_TO_LIVE);
    HeldLease {
        token,
        quiet_until: acquired_at + TIME_TO_LIVE,
        valid_until: grant.valid_until(),
    }
}

/// A call that is under way while the machine is suspended is not gone on with, if the lease ended.
#[rstest]
#[case::within_the_lease(Duration::from_secs(1), true)]
#[case::longer_than_the_lease(TIME_TO_LIVE, false)]
#[actix_rt::test]
async fn a_call_ends_with_the_lease(#[case] suspended: Duration, #[case] goes_on: bool) {
    let acquired_at = MonotonicTime::from_millis(10_000);
    let authority = FleetLease::default();
    let renewed_at = acquired_at + TIME_TO_LIVE;
    authority
        .mandate
        .set(Some(mandate(1, renewed_at, acquired_at)));
    let now = Cell::new(renewed_at);
    let sent = Cell::new(false);
    let call = async {
        now.set(now.get() + suspended);
        tokio::task::yield_now().await;
        sent.set(true);
    };
    let ended = while_held(&authority, 1, || now.get(), call).await;
    assert_eq!((ended.is_some(), sent.get()), (goes_on, goes_on));
}

proptest! {
    /// A holder that was lost, or stood still, gave its last order before the service's lease ended;
    /// the next one, which cannot have taken the key before that, is quiet for a whole lease. So two
    /// holders' orders lie at least a lease apart.
    #[test]
    fn orders_of_two_holders_lie_a_lease_apart(
        renewed_ms in 0_u64..20_000,
        answered_after_ms in 0_u64..3_000,
        taken_after_ms in 0_u64..5_000,
        asked_ms in 0_u64..60_000,
    ) {
        let renewed_at = MonotonicTime::from_millis(renewed_ms);
        // The service counts from the arrival of the renewal, at the earliest when it was sent.
        let lease_ends = renewed_at + TIME_TO_LIVE;
        let taken_at = lease_ends + Duration::from_millis(taken_after_ms);
        let former = FleetLease::default();
        former.mandate.set(Some(mandate(1, renewed_at, MonotonicTime::ZERO)));
        let next = FleetLease::default();
        let acquired_at = taken_at + Duration::from_millis(answered_after_ms);
        next.mandate.set(Some(mandate(2, acquired_at, acquired_at)));
        let at = MonotonicTime::from_millis(asked_ms);
        if former.mandate(at).is_some() {
            prop_assert!(at < lease_ends);
        }
        if next.mandate(at).is_some() {
            prop_assert!(at >= lease_ends + TIME_TO_LIVE);
        }
    }
}

/// A process that stood still past its lease believes nothing when it wakes.
#[test]
fn a_mandate_ends_by_the_clock_alone() {
    let authority = FleetLease::default();
    let renewed_at = MonotonicTime::from_millis(10_000);
    authority
        .mandate
        .set(Some(mandate(1, renewed_at, MonotonicTime::ZERO)));
    assert!(
        authority
            .mandate(MonotonicTime::from_millis(12_300))
            .is_some()
    );
    assert_eq!(authority.mandate(MonotonicTime::from_millis(12_400)), None);
    assert_eq!(authority.mandate(MonotonicTime::from_millis(60_000)), None);
}

#[test]
fn a_new_holder_is_quiet_for_a_whole_lease() {
    let authority = FleetLease::default();
    let acquired_at = MonotonicTime::from_millis(10_000);
    let mut held = mandate(1, acquired_at, acquired_at);
    held.valid_until = acquired_at + Duration::from_secs(60);
    authority.mandate.set(Some(held));
    assert_eq!(authority.mandate(MonotonicTime::from_millis(12_999)), None);
    assert!(
        authority
            .mandate(MonotonicTime::from_millis(13_000))
            .is_some()
    );
}
