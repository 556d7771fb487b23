//! Decides for one pool, at one node, which requests go to engines now, which wait, and which are refused.

use std::time::Duration;

use dalestand_types::MonotonicTime;

use super::ShareStanding;
use super::class_scheduler::{MIN_CLASS_SHARE, QueueEntry};
use super::queue::{AdmissionQueue, WaiterId};
use super::retry_after::{RETURN_SHARE, RetryAfterBounds, RetryAfterSchedule, RetryAfterSlot};
use super::room_account::{CapacityFactor, PoolLoad, RoomAccount};
use crate::staged::{LatencyEstimate, TimeBounds};

/// Share of the time left that may be planned with: expectations err, and an answer that comes after the deadline has
/// cost an engine's work for nothing.
const PLANNED_SHARE: f64 = 0.8;

/// Share of an objective that may go to waiting here and to work at an engine, as both are expected: they are means,
/// and a request that waits longer than expected has to be answered in time still.
const IN_TIME_SHARE: f64 = 0.6;

/// Most requests that wait at a node: with the bodies that callers send, a tenth of the memory of a small node.
const MOST_WAITING: usize = 512;

/// Callers come back within this share of the time that they have left.
const RETURN_WITHIN: f64 = 1.0 / 3.0;

/// Shortest time after which a caller is asked to come back: a place that comes free is known no sooner.
const SHORTEST_RETURN: Duration = Duration::from_millis(50);

/// A request that wants a place.
#[derive(Clone, Copy, Debug)]
pub struct AdmissionRequest {
    /// Importance; 0 is the highest.
    pub priority: u8,
    /// Whether its tenant is within its share.
    pub standing: ShareStanding,
    /// The time that it has.
    pub bounds: TimeBounds,
    /// What is expected of it at an engine.
    pub expected: LatencyEstimate,
    /// First tries a second of more urgent requests, at this node.
    pub more_urgent_per_s: f64,
}

impl AdmissionRequest {
    /// The claim that it has at `now`. Its objective is that of an answer, so what it takes at the engine is taken
    /// off. One that takes longer than that by itself is not late because of the load: it may wait as long as others.
    fn claim(&self, now: MonotonicTime) -> QueueEntry {
        let left_s = self.bounds.left.as_secs_f64() * PLANNED_SHARE - self.expected.total_s;
        let wanted_s = self.bounds.objective.as_secs_f64() * IN_TIME_SHARE;
        let own_s = self.expected.total_s - self.expected.queue_s;
        let in_time_s = if wanted_s <= 0.0 {
            left_s
        } else if own_s <= wanted_s {
            wanted_s - self.expected.total_s
        } else {
            wanted_s
        };
        QueueEntry {
            priority: self.priority,
            standing: self.standing,
            on_time_until: now + seconds(in_time_s.min(left_s)),
            expires_at: now + seconds(left_s),
        }
    }
}

fn seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.max(0.0)).unwrap_or(Duration::MAX)
}

/// What becomes of a request that comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionOutcome {
    /// It goes to an engine, as without an account: the pool is not short, or not known.
    Ungated,
    /// It has a place.
    Placed,
    /// It waits, for this time at most.
    Queued(WaiterId, Duration),
    /// It cannot be served in its time.
    Refused(RetryAfterSlot),
}

/// A decision, with what decided it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdmissionDecision {
    /// What becomes of the request.
    pub outcome: AdmissionOutcome,
    /// The account, where there was one.
    pub account: Option<RoomAccount>,
    /// Requests that waited here.
    pub waiting: usize,
}

/// Room of one pool at one node.
#[derive(Clone, Debug, Default)]
pub struct PoolAdmission {
    account: Option<RoomAccount>,
    capacity_factor: Option<CapacityFactor>,
    is_short: bool,
    queue: AdmissionQueue,
    returns: RetryAfterSchedule<()>,
    /// Requests that have a place and have not been sent.
    placed: u32,
}

impl PoolAdmission {
    /// Brings the account up to what the node knows now. Whether the pool became short, or ceased to be.
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

    /// Whether the pool is short.
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// The account, as of the last look.
    pub fn account(&self) -> Option<&RoomAccount> {
        self.account.as_ref()
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Decides about a request; `own_taken` are the requests of this node at the pool's engines.
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
            self.placed += 1;
            return AdmissionOutcome::Placed;
        }
        let claim = request.claim(now);
        if self.can_be_served(now, request, &claim, account) && self.queue.len() < MOST_WAITING {
            let number = self.queue.enter(now, claim);
            AdmissionOutcome::Queued(number, claim.expires_at.since(now))
        } else {
            AdmissionOutcome::Refused(self.retry_slot(now, request))
        }
    }

    /// Whether a request may get a place within its time. One that cannot be in time is kept if it could be answered
    /// were it not for those that come after it: bursts end within the time that callers have, and one that is refused
    /// comes back to the same queue.
    fn can_be_served(
        &self,
        now: MonotonicTime,
        request: &AdmissionRequest,
        claim: &QueueEntry,
        account: &RoomAccount,
    ) -> bool {
        let ahead = self.queue.ahead(claim);
        let least_per_s = account.own_freed_per_s * MIN_CLASS_SHARE;
        let in_time_per_s = (account.own_freed_per_s - request.more_urgent_per_s).max(least_per_s);
        let fits = |ahead: usize, per_s: f64, until: MonotonicTime| {
            let wait_s = (ahead + 1) as f64 / per_s;
            wait_s <= until.since(now).as_secs_f64()
        };
        let returning_per_s = in_time_per_s * RETURN_SHARE;
        fits(ahead.in_time, in_time_per_s, claim.on_time_until)
            || fits(ahead.returning, returning_per_s, claim.on_time_until)
            || fits(ahead.late, in_time_per_s, claim.expires_at)
    }

    /// The slot of a request that is refused.
    pub fn retry_slot(&mut self, now: MonotonicTime, request: &AdmissionRequest) -> RetryAfterSlot {
        let freed_per_s = self.account.map_or(0.0, |account| account.own_freed_per_s);
        let bounds = RetryAfterBounds {
            shortest: SHORTEST_RETURN,
            longest: request.bounds.left.mul_f64(RETURN_WITHIN),
        };
        let returns = &mut self.returns;
        returns.assign(now, &(), request.priority, freed_per_s, bounds)
    }

    fn has_place(&self, own_taken: u32) -> bool {
        let taken = f64::from(own_taken + self.placed);
        // To the nearest whole place: rounded down, each node would leave half a place empty.
        let has_place = |account: &RoomAccount| taken + 0.5 <= account.own_places;
        !self.is_short || self.account.as_ref().is_none_or(has_place)
    }

    /// The request that takes a place which is free; all go one after another once the pool is not short any more.
    pub fn release(&mut self, now: MonotonicTime, own_taken: u32) -> Option<WaiterId> {
        if self.queue.is_empty() || !self.has_place(own_taken) {
            return None;
        }
        let released = self.queue.release(now)?;
        self.placed += 1;
        Some(released)
    }

    /// Notes that a request that had a place was sent, or will not be.
    pub fn note_sent(&mut self) {
        self.placed = self.placed.saturating_sub(1);
    }

    /// Takes a request out that waits no longer.
    pub fn remove(&mut self, number: WaiterId) {
        self.queue.leave(number);
    }
}
