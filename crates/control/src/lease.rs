//! A group's lease and the epoch it was granted under.

use std::time::Duration;

use dalestand_types::{Epoch, MonotonicTime};

use crate::action::Action;

/// Safety margin at the end of a lease for clock drift, as a divisor of the time to live.
const MARGIN_DIVISOR: u32 = 5;

/// Renewals per time to live.
const RENEWALS_PER_LEASE: u32 = 3;

/// Retries of a failed renewal per time to live.
const RENEWAL_RETRIES_PER_LEASE: u32 = 12;

/// A granted lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseGrant {
    /// Lease id at the key-value service.
    pub lease: u64,
    /// Fencing epoch.
    pub epoch: Epoch,
    /// Send time of the request that granted or last renewed the lease.
    pub sent_at: MonotonicTime,
    /// Time to live.
    pub time_to_live: Duration,
}

impl LeaseGrant {
    /// End of the time in which the holder may act on the lease. Counted from the sending of the request,
    /// so that it ends before the lease expires at the service.
    pub fn valid_until(&self) -> MonotonicTime {
        self.sent_at + (self.time_to_live - self.time_to_live / MARGIN_DIVISOR)
    }

    fn renewal_due(&self) -> MonotonicTime {
        self.sent_at + self.time_to_live / RENEWALS_PER_LEASE
    }
}

/// State of the lease at this node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Authority {
    /// Not held.
    None,
    /// Requested; the answer is pending.
    Acquiring,
    /// Held.
    Held(LeaseGrant),
}

/// Lease of one group as seen by one node.
pub(crate) struct Lease {
    authority: Authority,
    /// Earliest time of the next attempt to acquire.
    acquire_not_before: MonotonicTime,
    /// Whether the previous holder has asked this node to take over.
    takeover_requested: bool,
    renewing: bool,
    renew_not_before: MonotonicTime,
    /// Id of a lost lease that is still to be released.
    to_release: Option<u64>,
}

impl Lease {
    /// A lease that is not held, with the earliest time of an attempt to acquire it.
    pub(crate) fn new(acquire_not_before: MonotonicTime) -> Self {
        Self {
            authority: Authority::None,
            acquire_not_before,
            takeover_requested: false,
            renewing: false,
            renew_not_before: MonotonicTime::ZERO,
            to_release: None,
        }
    }

    /// The grant, if valid at `now`.
    pub(crate) fn grant(&self, now: MonotonicTime) -> Option<&LeaseGrant> {
        match &self.authority {
            Authority::Held(grant) if now < grant.valid_until() => Some(grant),
            _ => None,
        }
    }

    /// Whether the lease is held under `epoch`, even if its validity has ended.
    pub(crate) fn holds_epoch(&self, epoch: Epoch) -> bool {
        matches!(self.authority, Authority::Held(grant) if grant.epoch == epoch)
    }

    /// Whether an attempt to acquire the lease is due at `now`.
    pub(crate) fn acquire_due(&self, now: MonotonicTime) -> bool {
        self.authority == Authority::None
            && (self.takeover_requested || now >= self.acquire_not_before)
    }

    /// Postpones the next attempt to acquire to `until` or later.
    pub(crate) fn postpone_acquire(&mut self, until: MonotonicTime) {
        self.acquire_not_before = self.acquire_not_before.max(until);
    }

    /// Makes the next attempt due at once.
    pub(crate) fn acquire_immediately(&mut self) {
        self.takeover_requested = true;
    }

    /// Returns the actions due at `now`.
    pub(crate) fn tick(&mut self, now: MonotonicTime) -> Vec<Action> {
        if let Authority::Held(grant) = self.authority
            && now >= grant.valid_until()
        {
            self.relinquish(now);
        }
        let mut actions: Vec<Action> = self
            .to_release
            .take()
            .map(|lease| Action::ReleaseLease { lease })
            .into_iter()
            .collect();
        actions.extend(self.next_step(now));
        actions
    }

    fn next_step(&mut self, now: MonotonicTime) -> Option<Action> {
        if self.acquire_due(now) {
            self.authority = Authority::Acquiring;
            self.takeover_requested = false;
            return Some(Action::AcquireLease);
        }
        let Authority::Held(grant) = self.authority else {
            return None;
        };
        let due = grant.renewal_due().max(self.renew_not_before);
        if self.renewing || now < due {
            return None;
        }
        self.renewing = true;
        Some(Action::RenewLease { lease: grant.lease })
    }

    /// Records the grant.
    pub(crate) fn acquired(&mut self, grant: LeaseGrant) {
        self.authority = Authority::Held(grant);
        self.renewing = false;
        self.renew_not_before = MonotonicTime::ZERO;
    }

    /// Records that the lease was not granted, or that the outcome is unknown.
    pub(crate) fn not_acquired(&mut self, retry_at: MonotonicTime) {
        if self.authority == Authority::Acquiring {
            self.authority = Authority::None;
        }
        self.postpone_acquire(retry_at);
    }

    /// Records a renewal by a request sent at `sent_at`.
    pub(crate) fn renewed(&mut self, lease: u64, sent_at: MonotonicTime) {
        if let Authority::Held(grant) = &mut self.authority
            && grant.lease == lease
        {
            self.renewing = false;
            grant.sent_at = grant.sent_at.max(sent_at);
        }
    }

    /// Records a failed renewal; the lease may still exist.
    pub(crate) fn renewal_failed(&mut self, now: MonotonicTime, lease: u64) {
        if let Authority::Held(grant) = &self.authority
            && grant.lease == lease
        {
            self.renewing = false;
            self.renew_not_before = now + grant.time_to_live / RENEWAL_RETRIES_PER_LEASE;
        }
    }

    /// Records that a lease no longer exists at the service. Answers about other leases are ignored.
    pub(crate) fn gone(&mut self, now: MonotonicTime, lease: u64) {
        if matches!(self.authority, Authority::Held(grant) if grant.lease == lease) {
            self.relinquish(now);
            self.to_release = None;
        }
    }

    /// Gives the lease up and schedules its release.
    pub(crate) fn relinquish(&mut self, now: MonotonicTime) {
        if let Authority::Held(grant) = self.authority {
            self.to_release = Some(grant.lease);
            self.authority = Authority::None;
            self.postpone_acquire(now);
        }
        self.renewing = false;
    }

    /// Ends the holding of the lease for a planned hand-over and returns its grant.
    pub(crate) fn hand_over(&mut self, retry_at: MonotonicTime) -> Option<LeaseGrant> {
        let Authority::Held(grant) = self.authority else {
            return None;
        };
        self.authority = Authority::None;
        self.renewing = false;
        self.postpone_acquire(retry_at);
        Some(grant)
    }
}
