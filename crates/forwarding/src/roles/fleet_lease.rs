//! FleetLease over the engines' stages: one node holds it, under a lease of the key-value service.
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

use dalestand_types::MonotonicTime;

/// What a holder may order under.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldLease {
    /// The fencing token.
    pub(crate) token: u64,
    /// No order before this time.
    pub(super) quiet_until: MonotonicTime,
    /// No order from this time on.
    pub(super) valid_until: MonotonicTime,
}

/// Whether this node holds the authority.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetLease {
    pub(super) mandate: Rc<Cell<Option<HeldLease>>>,
    /// Whether some node holds it, as far as is known.
    pub(super) is_taken: Rc<Cell<bool>>,
}

impl FleetLease {
    /// The mandate, if an order may be given at `now`.
    pub(crate) fn mandate(&self, now: MonotonicTime) -> Option<HeldLease> {
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
    pub(crate) fn clear(&self) {
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
    authority: &FleetLease,
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
