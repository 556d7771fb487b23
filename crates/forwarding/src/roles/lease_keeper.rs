//! Acquires the fleet lease and renews it.

use std::rc::Rc;
use std::time::Duration;

use dalestand_clock::sleep;
use dalestand_control::LeaseGrant;
use dalestand_edge::{CasOutcome, KeyValue, LeaseId, PlatformError, WriteExpectation};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{Epoch, MonotonicTime};
use error_stack::Report;

use crate::context::Context;
use crate::roles::fleet_lease::{FleetLease, HeldLease};

/// Key whose value is the name of the holder.
pub(crate) const HOLDER_KEY: &str = "dalestand/holder";

/// Number of renewals within one lease duration.
const RENEWALS_PER_LEASE: u32 = 3;

/// How often a relay that does not hold the lease checks whether it is free.
const CHECK_INTERVAL: Duration = Duration::from_millis(400);

/// Added to the interval for each further relay, so that relays do not all try at once.
const RELAY_STAGGER: Duration = Duration::from_millis(300);

/// Acquires and renews the fleet lease while this node is a relay; never returns. Only relays try: they
/// know the demand of the whole fleet, and they are few.
pub(crate) async fn acquire_and_renew(
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    fleet_lease: FleetLease,
) {
    loop {
        let relay_index = context.dissemination.relay_index();
        sleep(CHECK_INTERVAL + RELAY_STAGGER * relay_index).await;
        if context.detours.is_cut_off() {
            // Leaves the lease to nodes that reach engines, if there are any.
            sleep(context.settings.lease()).await;
        }
        let is_relay = context.dissemination.role(context.now()).is_relay;
        if !is_relay || fleet_lease.is_taken.get() || context.is_stopping() || !context.is_ready() {
            continue;
        }
        match acquire(&context, &*store).await {
            Ok(Some((lease, held, sent_at))) => {
                log_event!(context.logger, Event::LeaseAcquired, "token" => held.token);
                fleet_lease.held.set(Some(held));
                renew(&context, &*store, &fleet_lease, lease, sent_at).await;
                fleet_lease.held.set(None);
                fleet_lease.set_taken(false);
                log_event!(context.logger, Event::LeaseLost, "token" => held.token);
            }
            Ok(None) => fleet_lease.set_taken(true),
            Err(_) => sleep(context.settings.lease()).await,
        }
    }
}

async fn acquire(
    context: &Context,
    store: &dyn KeyValue,
) -> Result<Option<(LeaseId, HeldLease, MonotonicTime)>, Report<PlatformError>> {
    let time_to_live = context.settings.lease();
    let sent_at = context.now();
    let lease = store.grant_lease(time_to_live).await?;
    let node = context.settings.node.as_str();
    let taken = store
        .compare_and_swap(
            HOLDER_KEY,
            WriteExpectation::Absent,
            Some(node),
            Some(lease),
        )
        .await?;
    let CasOutcome::Written { revision } = taken else {
        // If the revocation fails, the lease expires by itself.
        let _ = store.revoke_lease(lease).await;
        return Ok(None);
    };
    let grant = grant(lease, revision.0, sent_at, time_to_live);
    let held = HeldLease {
        token: revision.0,
        active_from: context.now() + time_to_live,
        valid_until: grant.valid_until(),
    };
    Ok(Some((lease, held, sent_at)))
}

/// The granted lease; its duration counts from before the call was sent.
pub(super) fn grant(
    lease: LeaseId,
    token: u64,
    sent_at: MonotonicTime,
    time_to_live: Duration,
) -> LeaseGrant {
    LeaseGrant {
        lease: lease.0,
        epoch: Epoch(token),
        sent_at,
        time_to_live,
    }
}

/// Renews the lease until the service no longer has it or a renewal did not succeed in time.
async fn renew(
    context: &Context,
    store: &dyn KeyValue,
    fleet_lease: &FleetLease,
    lease: LeaseId,
    acquired_at: MonotonicTime,
) {
    let time_to_live = context.settings.lease();
    let mut renewed_at = acquired_at;
    while let Some(held) = fleet_lease.held.get() {
        sleep(time_to_live / RENEWALS_PER_LEASE).await;
        // A node that reaches no engine can give no orders; another one may.
        if context.is_stopping() || context.detours.is_cut_off() {
            fleet_lease.held.set(None);
            let _ = store.revoke_lease(lease).await;
            return;
        }
        let sent_at = context.now();
        match store.renew_lease(lease).await {
            // The lease was relinquished or lost during the call; don't take it up again.
            Ok(true) if fleet_lease.held_token() != Some(held.token) => return,
            Ok(true) => {
                renewed_at = sent_at;
                let grant = grant(lease, held.token, sent_at, time_to_live);
                fleet_lease.held.set(Some(HeldLease {
                    valid_until: grant.valid_until(),
                    ..held
                }));
            }
            Ok(false) => return,
            Err(_) if context.now().since(renewed_at) > time_to_live => return,
            Err(_) => {}
        }
    }
}
