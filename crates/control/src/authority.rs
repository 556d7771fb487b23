//! Authority over a group: a lease and the epoch it was granted under.

use std::time::Duration;

use dalestand_types::{Epoch, MonotonicTime};

/// Share of the time to live that is not counted on, for clocks that run at different speeds.
const MARGIN_DIVISOR: u32 = 5;

/// A lease as it was granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// The platform's number of the lease.
    pub lease: u64,
    /// The fencing epoch.
    pub epoch: Epoch,
    /// When the request that granted or last renewed it was sent.
    pub sent_at: MonotonicTime,
    /// Its time to live.
    pub time_to_live: Duration,
}

impl LeaseGrant {
    /// Until when the holder may count on the lease. Counted from before the request was sent, so
    /// that it ends no later than the service's own count.
    pub fn valid_until(&self) -> MonotonicTime {
        self.sent_at + (self.time_to_live - self.time_to_live / MARGIN_DIVISOR)
    }
}

/// Whether this node holds a group's lease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Authority {
    /// Not held.
    #[default]
    None,
    /// Asked for; the answer is awaited.
    Acquiring,
    /// Held.
    Held(LeaseGrant),
}

impl Authority {
    /// The grant, if it is still valid at `now`.
    pub fn valid(&self, now: MonotonicTime) -> Option<&LeaseGrant> {
        match self {
            Self::Held(grant) if now < grant.valid_until() => Some(grant),
            _ => None,
        }
    }
}
