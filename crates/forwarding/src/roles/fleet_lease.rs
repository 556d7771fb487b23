//! The fleet lease: the node that holds it may change engine roles and make calls for the fleet.
//!
//! The fencing token is the revision of the write that took the holder's key, so it rises with every
//! holder. A holder measures its lease on the boot clock, from before the last renewal was sent, and
//! checks it again right before each order, so a process that was paused or suspended sends none. A
//! new holder waits for one lease duration first, which keeps orders of two holders that far apart.

#[cfg(test)]
mod tests;

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;

use dalestand_types::MonotonicTime;

/// A fleet lease that this node holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeldLease {
    /// The fencing token.
    pub(crate) token: u64,
    /// The holder may act from this time on.
    pub(super) active_from: MonotonicTime,
    /// The lease ends at this time unless it is renewed.
    pub(super) valid_until: MonotonicTime,
}

/// State of the fleet lease at this node. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetLease {
    pub(super) held: Rc<Cell<Option<HeldLease>>>,
    /// Whether the holder's key is known to exist, at this node or another.
    pub(super) is_taken: Rc<Cell<bool>>,
}

impl FleetLease {
    /// The lease, if this node holds it and may act under it at `now`.
    pub(crate) fn active(&self, now: MonotonicTime) -> Option<HeldLease> {
        let held = self.held.get()?;
        (now >= held.active_from && now < held.valid_until).then_some(held)
    }

    /// The fencing token if this node holds the lease, even if it may not act yet.
    pub(crate) fn held_token(&self) -> Option<u64> {
        self.held.get().map(|held| held.token)
    }

    /// Drops the lease with this token after the platform has seen a higher one.
    pub(crate) fn relinquish(&self, token: u64) {
        if self.held.get().is_some_and(|held| held.token == token) {
            self.held.set(None);
        }
    }

    /// Drops the lease after it was lost in the key-value service.
    pub(crate) fn clear(&self) {
        self.held.set(None);
    }

    /// Records whether the holder's key exists.
    pub(crate) fn set_taken(&self, is_taken: bool) {
        self.is_taken.set(is_taken);
    }
}

/// Polls `call` while this node holds the lease with `token`; returns `None` once it does not. The lease
/// is checked before each poll: a machine that is suspended while it connects to an engine must not
/// send the order after it resumes.
pub(crate) async fn while_held<C: Future>(
    fleet_lease: &FleetLease,
    token: u64,
    now: impl Fn() -> MonotonicTime,
    call: C,
) -> Option<C::Output> {
    let mut call = pin!(call);
    poll_fn(|task| {
        let held = fleet_lease.active(now());
        if held.is_none_or(|held| held.token != token) {
            return Poll::Ready(None);
        }
        call.as_mut().poll(task).map(Some)
    })
    .await
}
