//! Authority over the engines' stages: one node holds it, under a lease of the key-value service.
//!
//! The revision of the write that took the key is the fencing token: it rises with every holder. A
//! holder counts its lease on the boot clock from before the last renewal was sent, and looks again
//! right before each order, so that a process that stood still or was suspended gives none. A new holder is
//! quiet for the time of a whole lease first: orders of two holders never lie closer.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use dalestand_clock::sleep;
use dalestand_control::LeaseGrant;
use dalestand_edge::{CasOutcome, KeyValue, LeaseId, PlatformError, WriteExpectation};
use dalestand_telemetry::{Event, log_event};
use dalestand_types::{Epoch, MonotonicTime};
use error_stack::Report;

use crate::context::Context;

/// The key that names the holder.
pub(crate) const HOLDER_KEY: &str = "dalestand/holder";

/// Renewals in the time of a lease.
const RENEWALS_PER_LEASE: u32 = 3;

/// How often a node that does not hold the authority looks whether it is free.
const LOOK_INTERVAL: Duration = Duration::from_millis(400);

/// Relays ask for a free authority one after the other, this far apart.
const TURN: Duration = Duration::from_millis(300);

/// What a holder may order under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Mandate {
    /// The fencing token.
    pub(crate) token: u64,
    /// No order before this time.
    quiet_until: MonotonicTime,
    /// No order from this time on.
    valid_until: MonotonicTime,
}

/// Whether this node holds the authority.
#[derive(Clone, Debug, Default)]
pub(crate) struct Authority {
    mandate: Rc<Cell<Option<Mandate>>>,
    /// Whether some node holds it, as far as is known.
    is_taken: Rc<Cell<bool>>,
}

impl Authority {
    /// The mandate, if an order may be given at `now`.
    pub(crate) fn mandate(&self, now: MonotonicTime) -> Option<Mandate> {
        let mandate = self.mandate.get()?;
        (now >= mandate.quiet_until && now < mandate.valid_until).then_some(mandate)
    }

    /// The token, if this node holds the lease, whether or not it may order already.
    pub(crate) fn held_token(&self) -> Option<u64> {
        self.mandate.get().map(|mandate| mandate.token)
    }

    /// Gives the authority under `token` up: the platform has seen a higher one.
    pub(crate) fn give_up(&self, token: u64) {
        if self.mandate.get().is_some_and(|held| held.token == token) {
            self.mandate.set(None);
        }
    }

    /// Gives the authority up: the lease under which it was held is gone.
    pub(crate) fn drop_mandate(&self) {
        self.mandate.set(None);
    }

    /// Notes whether the holder's key stands.
    pub(crate) fn set_taken(&self, is_taken: bool) {
        self.is_taken.set(is_taken);
    }
}

/// What `call` yields, as long as the authority under `token` allows it. That is looked at each time the
/// call goes on: a machine that is suspended while it connects to an engine must not send the order
/// when it wakes.
pub(crate) async fn while_held<C: Future>(
    authority: &Authority,
    token: u64,
    now: impl Fn() -> MonotonicTime,
    call: C,
) -> Option<C::Output> {
    let mut call = pin!(call);
    poll_fn(|task| {
        let mandate = authority.mandate(now());
        if mandate.is_none_or(|mandate| mandate.token != token) {
            return Poll::Ready(None);
        }
        call.as_mut().poll(task).map(Some)
    })
    .await
}

/// Takes and keeps the authority for as long as it is polled, while this node is a relay: relays
/// know the demand of the whole fleet, and few of them ask for the authority when it is free.
pub(crate) async fn hold(context: Rc<Context>, store: Rc<dyn KeyValue>, authority: Authority) {
    loop {
        let turn = context.spread.place_among_relays();
        sleep(LOOK_INTERVAL + TURN * turn).await;
        let is_relay = context.spread.role(context.now()).is_relay;
        if !is_relay || authority.is_taken.get() || context.is_stopping() || !context.is_ready() {
            continue;
        }
        match acquire(&context, &*store).await {
            Ok(Some((lease, mandate, sent_at))) => {
                log_event!(context.logger, Event::LeaseAcquired, "token" => mandate.token);
                authority.mandate.set(Some(mandate));
                keep(&context, &*store, &authority, lease, sent_at).await;
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
) -> Result<Option<(LeaseId, Mandate, MonotonicTime)>, Report<PlatformError>> {
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
    let mandate = Mandate {
        token: revision.0,
        quiet_until: context.now() + time_to_live,
        valid_until: grant.valid_until(),
    };
    Ok(Some((lease, mandate, sent_at)))
}

fn grant(lease: LeaseId, token: u64, sent_at: MonotonicTime, time_to_live: Duration) -> LeaseGrant {
    LeaseGrant {
        lease: lease.0,
        epoch: Epoch(token),
        sent_at,
        time_to_live,
    }
}

/// Renews the lease until it is gone or was not renewed in time.
async fn keep(
    context: &Context,
    store: &dyn KeyValue,
    authority: &Authority,
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
                authority.mandate.set(Some(Mandate {
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
