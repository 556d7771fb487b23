//! Admits, queues or refuses the requests of one pool at one node.

use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::ShareStanding;
use super::class_scheduler::{MIN_CLASS_SHARE, QueueEntry};
use super::queue::{AdmissionQueue, WaiterId};
use super::retry_after::{RETRY_SHARE, RetryAfterBounds, RetryAfterSchedule, RetryAfterSlot};
use super::room_account::{CapacityFactor, PoolLoad, RoomAccount};
use crate::staged::{LatencyEstimate, TimeBounds};

/// Fraction of the time to the deadline that a request may be expected to take. The rest is a margin for estimation
/// errors: an answer after the deadline wastes the engine's work.
const DEADLINE_FRACTION: f64 = 0.8;

/// Fraction of the objective that the expected wait and processing time may take. Expectations are means, so the rest
/// is a margin for requests that take longer.
const OBJECTIVE_FRACTION: f64 = 0.6;

/// Most requests queued at a node for one pool; bounds the memory that their bodies take.
const MAX_WAITING: usize = 512;

/// Largest retry delay, as a fraction of the caller's remaining time.
const MAX_RETRY_FRACTION: f64 = 1.0 / 3.0;

/// Smallest retry delay: about the age of the load reports that show a place becoming free.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A request that asks for a place.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether the request lies within its tenant's share.
    pub standing: ShareStanding,
    /// Its deadline and objective.
    pub bounds: TimeBounds,
    /// Expected time at an engine.
    pub expected: LatencyEstimate,
    /// Rate of more urgent requests at this node per second, without retries.
    pub more_urgent_per_s: f64,
}

impl AdmissionRequest {
    /// The queue entry of a request that arrives at `now`. The expected time at the engine is deducted from the
    /// objective, except for a request that would miss the objective even without a queue.
    fn queue_entry(&self, now: MonotonicTime) -> QueueEntry {
        let left_s = self.bounds.left.as_secs_f64() * DEADLINE_FRACTION - self.expected.total_s;
        let wanted_s = self.bounds.objective.as_secs_f64() * OBJECTIVE_FRACTION;
        let own_s = self.expected.total_s - self.expected.queue_s;
        let on_time_s = if wanted_s <= 0.0 {
            left_s
        } else if own_s <= wanted_s {
            wanted_s - self.expected.total_s
        } else {
            wanted_s
        };
        QueueEntry {
            priority: self.priority,
            standing: self.standing,
            on_time_until: now + duration(on_time_s.min(left_s)),
            expires_at: now + duration(left_s),
        }
    }
}

fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

/// What happens to an arriving request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// Goes to an engine without admission control: the pool is not short, or its load is unknown.
    Ungated,
    /// Has a place and goes to an engine now.
    Placed,
    /// Waits for a place, for at most this time.
    Queued(WaiterId, Duration),
    /// Cannot be served in time; the caller may retry as the slot says.
    Refused(RetryAfterSlot),
}

/// An admission decision and the state it is based on.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// What happens to the request.
    pub outcome: AdmissionOutcome,
    /// Capacity of the pool; `None` unless the pool is short.
    pub account: Option<RoomAccount>,
    /// Requests queued at this node before the decision.
    pub waiting: usize,
}

/// Admission control of one pool at one node.
#[derive(Clone, Debug, Default)]
pub struct PoolAdmission {
    account: Option<RoomAccount>,
    capacity_factor: Option<CapacityFactor>,
    is_short: bool,
    queue: AdmissionQueue,
    retries: RetryAfterSchedule<()>,
    /// Requests that have a place but are not yet counted among those at engines.
    unsent: u32,
}

impl PoolAdmission {
    /// Updates capacity and share from the current load. Returns whether the pool became short, or ceased to be.
    pub fn update(&mut self, now: MonotonicTime, load: &PoolLoad) -> bool {
        let factor = self
            .capacity_factor
            .get_or_insert(CapacityFactor::full(now));
        self.account = RoomAccount::of(load, *factor);
        if let Some(account) = &self.account {
            factor.update(now, account.refused_share);
        }
        let was_short = self.is_short;
        let waiting = self.queue.len();
        let is_short = |account: &RoomAccount| account.is_short(was_short, waiting);
        self.is_short = self.account.as_ref().is_some_and(is_short);
        self.is_short != was_short
    }

    /// Whether the pool is short of capacity.
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// Capacity and share as of the last [`Self::update`]; `None` if the load is unknown.
    pub fn account(&self) -> Option<&RoomAccount> {
        self.account.as_ref()
    }

    /// Number of queued requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides about an arriving request. `own_taken` counts this node's requests at the pool's engines.
    pub fn decide(
        &mut self,
        now: MonotonicTime,
        request: &AdmissionRequest,
        own_taken: u32,
    ) -> AdmissionDecision {
        let waiting = self.queue.len();
        let account = self.account.filter(|_| self.is_short);
        let outcome = match &account {
            None => AdmissionOutcome::Ungated,
            Some(account) => self.decide_when_short(now, request, own_taken, account),
        };
        AdmissionDecision {
            outcome,
            account,
            waiting,
        }
    }

    fn decide_when_short(
        &mut self,
        now: MonotonicTime,
        request: &AdmissionRequest,
        own_taken: u32,
        account: &RoomAccount,
    ) -> AdmissionOutcome {
        if self.queue.is_empty() && self.has_place(own_taken) {
            self.unsent += 1;
            return AdmissionOutcome::Placed;
        }
        let entry = request.queue_entry(now);
        if self.can_be_served(now, request, &entry, account) && self.queue.len() < MAX_WAITING {
            let waiter = self.queue.insert(now, entry);
            AdmissionOutcome::Queued(waiter, entry.expires_at.since(now))
        } else {
            AdmissionOutcome::Refused(self.retry_slot(now, request))
        }
    }

    /// Whether a request is expected to get a place in time. One that would miss its objective is still queued if it
    /// can meet its deadline with only the requests ahead of it: most bursts end by then, and a refused caller would
    /// come back to the same queue.
    fn can_be_served(
        &self,
        now: MonotonicTime,
        request: &AdmissionRequest,
        entry: &QueueEntry,
        account: &RoomAccount,
    ) -> bool {
        let ahead = self.queue.ahead(entry);
        let min_per_s = account.own_freed_per_s * MIN_CLASS_SHARE;
        let freed_per_s = (account.own_freed_per_s - request.more_urgent_per_s).max(min_per_s);
        let fits = |ahead: usize, per_s: f64, until: MonotonicTime| {
            let wait_s = (ahead + 1) as f64 / per_s;
            wait_s <= until.since(now).as_secs_f64()
        };
        let by_expiry_per_s = freed_per_s * RETRY_SHARE;
        fits(ahead.on_time, freed_per_s, entry.on_time_until)
            || fits(ahead.by_expiry, by_expiry_per_s, entry.on_time_until)
            || fits(ahead.late, freed_per_s, entry.expires_at)
    }

    /// Assigns a retry slot to the caller of a refused request.
    pub fn retry_slot(&mut self, now: MonotonicTime, request: &AdmissionRequest) -> RetryAfterSlot {
        let freed_per_s = self.account.map_or(0.0, |account| account.own_freed_per_s);
        let bounds = RetryAfterBounds {
            shortest: MIN_RETRY_DELAY,
            longest: request.bounds.left.mul_f64(MAX_RETRY_FRACTION),
        };
        let retries = &mut self.retries;
        retries.assign(now, &(), request.priority, freed_per_s, bounds)
    }

    fn has_place(&self, own_taken: u32) -> bool {
        let taken = f64::from(own_taken + self.unsent);
        // Round to the nearest whole place. Rounding down would leave half a place per node unused on average.
        let has_place = |account: &RoomAccount| taken + 0.5 <= account.own_places;
        !self.is_short || self.account.as_ref().is_none_or(has_place)
    }

    /// Gives a free place, if there is one, to the next queued request, if any. Once the pool is no longer short,
    /// repeated calls empty the queue.
    pub fn release(&mut self, now: MonotonicTime, own_taken: u32) -> Option<WaiterId> {
        if self.queue.is_empty() || !self.has_place(own_taken) {
            return None;
        }
        let released = self.queue.pop(now)?;
        self.unsent += 1;
        Some(released)
    }

    /// Notes that a request with a place was sent (and now counts as taken), or will not be sent.
    pub fn record_sent(&mut self) {
        self.unsent = self.unsent.saturating_sub(1);
    }

    /// Removes a request that no longer waits.
    pub fn remove(&mut self, waiter: WaiterId) {
        self.queue.remove(waiter);
    }
}
