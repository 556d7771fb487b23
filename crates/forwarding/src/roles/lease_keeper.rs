//! Takes the authority over the engines' roles, and keeps it.

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

/// The key that names the holder.
pub(crate) const HOLDER_KEY: &str = "dalestand/holder";

/// Renewals in the time of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// How often a node that does not hold the authority looks whether it is free.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);

/// Relays ask for a free authority one after the other, this far apart.
const TURN: Duration = Duration::from_millis(300);

/// Takes and keeps the authority for as long as it is polled, while this node is a relay: relays
/// know the demand of the whole fleet, and few of them ask for the authority when it is free.
pub(crate) async fn acquire_and_renew(
    context: Rc<Context>,
    store: Rc<dyn KeyValue>,
    authority: FleetLease,
) {
    loop {
        let turn = context.dissemination.relay_index();
        sleep(LOOK_INTERVAL + TURN * turn).await;
        let is_relay = context.dissemination.role(context.now()).is_relay;
        if !is_relay || authority.is_taken.get() || context.is_stopping() || !context.is_ready() {
            continue;
        }
        match acquire(&context, &*store).await {
            Ok(Some((lease, mandate, sent_at))) => {
                log_event!(context.logger, Event::LeaseAcquired, "token" => mandate.token);
                authority.mandate.set(Some(mandate));
                renew(&context, &*store, &authority, lease, sent_at).await;
                authority.mandate.set(None);
                authority.set_taken(false);
                log_event!(context.logger, Event::LeaseLost, "token" => mandate.token);
            }
            Ok(None) => authority.set_taken(true),
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
        // The lease ends by itself if giving it up fails.
        let _ = store.revoke_lease(lease).await;
        return Ok(None);
    };
    let grant = grant(lease, revision.0, sent_at, time_to_live);
    let mandate = HeldLease {
        token: revision.0,
        quiet_until: context.now() + time_to_live,
        valid_until: grant.valid_until(),
    };
    Ok(Some((lease, mandate, sent_at)))
}

/// What the key-value service granted, counted from before the call was sent.
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

/// Renews the lease until it is gone or was not renewed in time.
async fn renew(
    context: &Context,
    store: &dyn KeyValue,
    authority: &FleetLease,
    lease: LeaseId,
    acquired_at: MonotonicTime,
) {
    let time_to_live = context.settings.lease();
    let mut renewed_at = acquired_at;
    while let Some(mandate) = authority.mandate.get() {
        sleep(time_to_live / RENEWALS_PER_LEASE).await;
        if context.is_stopping() {
            authority.mandate.set(None);
            let _ = store.revoke_lease(lease).await;
            return;
        }
        let sent_at = context.now();
        match store.renew_lease(lease).await {
            // It may have been given up meanwhile, since a higher token was seen: that stays so.
            Ok(true) if authority.held_token() != Some(mandate.token) => return,
            Ok(true) => {
                renewed_at = sent_at;
                let grant = grant(lease, mandate.token, sent_at, time_to_live);
                authority.mandate.set(Some(HeldLease {
                    valid_until: grant.valid_until(),
                    ..mandate
                }));
            }
            Ok(false) => return,
            Err(_) if context.now().since(renewed_at) > time_to_live => return,
            Err(_) => {}
        }
    }
}
