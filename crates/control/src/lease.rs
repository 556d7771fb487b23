//! A group's lease and the epoch it was granted under.

use std::time::Duration;

use dalestand_types::{Epoch, MonotonicTime};

use crate::action::Action;

/// Share of the time to live that is not counted on, for clocks that run at different speeds.
const MARGIN_DIVISOR: u32 = 5;

/// Renewals within one time to live.
const RENEWALS_PER_LEASE: u32 = 3;

/// Renewals tried again within one time to live after a failure.
const RENEWAL_RETRIES_PER_LEASE: u32 = 12;

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

    fn renewal_due(&self) -> MonotonicTime {
        self.sent_at + self.time_to_live / RENEWALS_PER_LEASE
    }
}

/// Whether the lease is held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Authority {
    /// Not held.
    None,
    /// Asked for; the answer is awaited.
    Acquiring,
    /// Held.
    Held(LeaseGrant),
}

/// The state of one group's lease at one node.
pub(crate) struct Lease {
    authority: Authority,
    /// Not to be asked for before this time.
    acquire_not_before: MonotonicTime,
    /// A holder that gives the lease up asked this node to take it.
    invited: bool,
    renewing: bool,
    renew_not_before: MonotonicTime,
    /// A lease that was lost and is to be given up.
    to_release: Option<u64>,
}

impl Lease {
    /// Not held, and not to be asked for before a time.
    pub(crate) fn new(acquire_not_before: MonotonicTime) -> Self {
        Self {
            authority: Authority::None,
            acquire_not_before,
            invited: false,
            renewing: false,
            renew_not_before: MonotonicTime::ZERO,
            to_release: None,
        }
    }

    /// The grant, if it is valid at `now`.
    pub(crate) fn grant(&self, now: MonotonicTime) -> Option<&LeaseGrant> {
        match &self.authority {
            Authority::Held(grant) if now < grant.valid_until() => Some(grant),
            _ => None,
        }
    }

    /// Whether the lease is held under `epoch`, valid or not.
    pub(crate) fn holds_epoch(&self, epoch: Epoch) -> bool {
        matches!(self.authority, Authority::Held(grant) if grant.epoch == epoch)
    }

    /// Whether an attempt to acquire it would be made at `now`.
    pub(crate) fn acquire_due(&self, now: MonotonicTime) -> bool {
        self.authority == Authority::None && (self.invited || now >= self.acquire_not_before)
    }

    /// Postpones the next attempt to acquire.
    pub(crate) fn postpone_acquire(&mut self, until: MonotonicTime) {
        self.acquire_not_before = self.acquire_not_before.max(until);
    }

    /// Makes the next attempt due at once.
    pub(crate) fn acquire_immediately(&mut self) {
        self.invited = true;
    }

    /// Yields what is to be done at `now`.
    pub(crate) fn tick(&mut self, now: MonotonicTime) -> Vec<Action> {
        if let Authority::Held(grant) = self.authority
            && now >= grant.valid_until()
        {
            self.lose(now);
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
            self.invited = false;
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

    /// The lease was granted.
    pub(crate) fn acquired(&mut self, grant: LeaseGrant) {
        self.authority = Authority::Held(grant);
        self.renewing = false;
        self.renew_not_before = MonotonicTime::ZERO;
    }

    /// The lease was not granted, or it is unknown whether it was.
    pub(crate) fn not_acquired(&mut self, retry_at: MonotonicTime) {
        if self.authority == Authority::Acquiring {
            self.authority = Authority::None;
        }
        self.postpone_acquire(retry_at);
    }

    /// The lease was renewed by a request sent at `sent_at`.
    pub(crate) fn renewed(&mut self, lease: u64, sent_at: MonotonicTime) {
        if let Authority::Held(grant) = &mut self.authority
            && grant.lease == lease
        {
            self.renewing = false;
            grant.sent_at = grant.sent_at.max(sent_at);
        }
    }

    /// A renewal failed without proof that the lease is gone.
    pub(crate) fn renewal_failed(&mut self, now: MonotonicTime, lease: u64) {
        if let Authority::Held(grant) = &self.authority
            && grant.lease == lease
        {
            self.renewing = false;
            self.renew_not_before = now + grant.time_to_live / RENEWAL_RETRIES_PER_LEASE;
        }
    }

    /// The service says that a lease is gone. An answer about another lease changes nothing.
    pub(crate) fn gone(&mut self, now: MonotonicTime, lease: u64) {
        if matches!(self.authority, Authority::Held(grant) if grant.lease == lease) {
            self.lose(now);
            self.to_release = None;
        }
    }

    /// The lease is of no use any more.
    pub(crate) fn lose(&mut self, now: MonotonicTime) {
        if let Authority::Held(grant) = self.authority {
            self.to_release = Some(grant.lease);
            self.authority = Authority::None;
            self.postpone_acquire(now);
        }
        self.renewing = false;
    }

    /// Takes the grant out, for a planned hand-over.
    pub(crate) fn take(&mut self, retry_at: MonotonicTime) -> Option<LeaseGrant> {
        let Authority::Held(grant) = self.authority else {
            return None;
        };
        self.authority = Authority::None;
        self.renewing = false;
        self.postpone_acquire(retry_at);
        Some(grant)
    }
}
