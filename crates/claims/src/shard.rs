//! One shard on one node: batches claims into the stored record and answers from a cached copy.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use dalestand_types::{MonotonicTime, RequestId, Revision};

use crate::entry::{ClaimState, Entry, merge_batch};
use crate::message::{Action, Claim, LoadedRecord, Reply, Ticket, WriteFailure};
use crate::table::ClaimTable;
use crate::write_rate::WriteRateLimiter;

/// Longest time a claim may be pending before it is refused.
const CLAIM_TIMEOUT: Duration = Duration::from_millis(4_000);

/// A copy older than this is read again before it is used to refuse a claim, since another leader
/// may have written in the meantime.
const MAX_COPY_AGE: Duration = Duration::from_secs(5);

/// A request whose end was not recorded within this time counts as [`ClaimState::Unknown`]: the
/// node that ran it has probably failed.
const RUNNING_TIMEOUT: Duration = Duration::from_secs(120);

/// Delay after a failed call, and the retry delay given to refused callers.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);

/// Entries at which a head is sealed; about 16 KiB of text.
const MAX_HEAD_ENTRIES: usize = 240;

/// Maximum number of ends of requests that wait for a write. Further ends are dropped, and their
/// claims count as running until they time out.
const MAX_PENDING_ENDS: usize = 10_000;

/// Maximum number of claims that wait for a write; further claims are refused.
const MAX_PENDING_CLAIMS: usize = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The record has to be read before anything else is done.
    Unloaded,
    /// The copy matches the head at `revision`.
    Ready,
    /// An action is in progress.
    Busy,
}

#[derive(Clone, Copy, Debug)]
struct PendingClaim {
    ticket: Ticket,
    claim: Claim,
    refuse_at: MonotonicTime,
    /// Whether an unconfirmed write may have stored this claim.
    in_doubt: bool,
}

/// A recorded end of a request that waits for the next write.
#[derive(Clone, Copy, Debug)]
struct PendingEnd {
    entry: Entry,
    received_at: MonotonicTime,
}

/// State of one shard on one node.
pub struct Shard {
    phase: Phase,
    table: ClaimTable,
    /// When the last call that confirmed the copy was started.
    confirmed_at: MonotonicTime,
    /// When the call in progress was started.
    call_started_at: MonotonicTime,
    revision: Option<Revision>,
    head: Vec<Entry>,
    /// Whether the head was copied to a segment, so that the next write starts an empty one.
    head_sealed: bool,
    claims: VecDeque<PendingClaim>,
    ends: VecDeque<PendingEnd>,
    /// Entries that the write in progress adds to the head.
    batch: Vec<Entry>,
    /// Number of pending claims in `batch`.
    batch_claim_count: usize,
    /// Number of pending ends in `batch`.
    batch_end_count: usize,
    /// Earliest time of the next call to the key-value service.
    next_call_at: MonotonicTime,
    write_rate: WriteRateLimiter,
    replies: Vec<(Ticket, Reply)>,
}

impl Default for Shard {
    fn default() -> Self {
        Self {
            phase: Phase::Unloaded,
            table: ClaimTable::default(),
            confirmed_at: MonotonicTime::ZERO,
            call_started_at: MonotonicTime::ZERO,
            revision: None,
            head: Vec::new(),
            head_sealed: false,
            claims: VecDeque::new(),
            ends: VecDeque::new(),
            batch: Vec::new(),
            batch_claim_count: 0,
            batch_end_count: 0,
            next_call_at: MonotonicTime::ZERO,
            write_rate: WriteRateLimiter::default(),
            replies: Vec::new(),
        }
    }
}

impl Shard {
    /// Submits a claim. [`Self::take_replies`] returns its reply, at once or after a later event.
    pub fn claim(&mut self, now: MonotonicTime, ticket: Ticket, claim: Claim) {
        if self.is_confirmed(now)
            && let Some(reply) = self.reply_from_copy(now, &claim)
        {
            self.replies.push((ticket, reply));
            return;
        }
        let pending = self.claims.iter().map(|pending| &pending.claim);
        let other = pending
            .filter(|other| other.key == claim.key && other.request != claim.request)
            .map(|other| {
                held_reply(
                    other.request,
                    other.fingerprint,
                    ClaimState::Running,
                    &claim,
                )
            })
            .next();
        if let Some(reply) = other {
            self.replies.push((ticket, reply));
            return;
        }
        if self.claims.len() >= MAX_PENDING_CLAIMS || !self.table.has_capacity() {
            self.replies.push((ticket, refused_reply()));
            return;
        }
        self.claims.push_back(PendingClaim {
            ticket,
            claim,
            refuse_at: now + CLAIM_TIMEOUT,
            in_doubt: false,
        });
    }

    /// Queues the end of a claimed request for the next write.
    pub fn record_end(&mut self, now: MonotonicTime, claim: Claim, state: ClaimState) {
        if self.ends.len() >= MAX_PENDING_ENDS {
            return;
        }
        let entry = Entry {
            key: claim.key,
            request: claim.request,
            fingerprint: claim.fingerprint,
            state,
        };
        let received_at = now;
        self.ends.push_back(PendingEnd { entry, received_at });
    }

    /// Removes and returns the replies that are ready.
    pub fn take_replies(&mut self) -> Vec<(Ticket, Reply)> {
        std::mem::take(&mut self.replies)
    }

    /// When [`Self::tick`] is due next; `None` if nothing is pending or a call is in progress.
    pub fn wake_at(&self) -> Option<MonotonicTime> {
        if self.phase == Phase::Busy || (self.claims.is_empty() && self.ends.is_empty()) {
            return None;
        }
        let refusal = self.claims.front().map(|pending| pending.refuse_at);
        Some(refusal.map_or(self.next_call_at, |at| at.min(self.next_call_at)))
    }

    /// Returns the next action, if one is due.
    pub fn tick(&mut self, now: MonotonicTime) -> Option<Action> {
        if self.phase == Phase::Busy {
            return None;
        }
        self.table.expire(now);
        self.refuse_overdue(now);
        if now < self.next_call_at || (self.claims.is_empty() && self.ends.is_empty()) {
            return None;
        }
        if self.phase == Phase::Unloaded || self.must_reload(now) {
            self.phase = Phase::Busy;
            self.call_started_at = now;
            return Some(Action::Load);
        }
        self.answer_from_copy(now);
        self.build_batch();
        if self.batch.is_empty() {
            return None;
        }
        self.phase = Phase::Busy;
        self.call_started_at = now;
        Some(self.write_action())
    }

    fn is_confirmed(&self, now: MonotonicTime) -> bool {
        now.since(self.confirmed_at) < MAX_COPY_AGE
    }

    /// Whether the record has to be read again: according to the copy, which may be outdated, a
    /// pending claim would be refused or a pending end dropped.
    fn must_reload(&self, now: MonotonicTime) -> bool {
        let mut claims = self.claims.iter();
        let mut ends = self.ends.iter();
        ends.any(|end| end.received_at > self.confirmed_at && !self.takes_effect(&end.entry))
            || !self.is_confirmed(now)
                && claims.any(|pending| self.reply_from_copy(now, &pending.claim).is_some())
    }

    /// Whether an end frees its key or belongs to the request that holds the key.
    fn takes_effect(&self, end: &Entry) -> bool {
        end.state == ClaimState::NotRun || self.table.is_held_by(end.key, end.request)
    }

    fn write_action(&self) -> Action {
        if self.head.len() >= MAX_HEAD_ENTRIES
            && !self.head_sealed
            && let Some(name) = self.revision
        {
            let entries = self.head.clone();
            return Action::Seal { name, entries };
        }
        Action::Write {
            expected: self.revision,
            entries: self.next_head(),
        }
    }

    /// The head that the write in progress stores.
    fn next_head(&self) -> Vec<Entry> {
        let head = if self.head_sealed {
            &[][..]
        } else {
            &self.head
        };
        merge_batch(head, &self.batch)
    }

    /// Reports that [`Action::Load`] succeeded.
    pub fn load_succeeded(&mut self, now: MonotonicTime, loaded: LoadedRecord) {
        self.phase = Phase::Ready;
        self.confirmed_at = self.call_started_at;
        self.table = ClaimTable::default();
        for entry in loaded.sealed.iter().chain(&loaded.head) {
            self.table.apply(now, entry);
        }
        self.revision = loaded.revision;
        self.head = loaded.head;
        self.head_sealed = false;
        self.answer_from_copy(now);
    }

    /// Reports that [`Action::Load`] failed.
    pub fn load_failed(&mut self, now: MonotonicTime) {
        self.phase = Phase::Unloaded;
        self.back_off(now);
    }

    /// Reports that [`Action::Seal`] succeeded.
    pub fn segment_sealed(&mut self) {
        self.phase = Phase::Ready;
        self.head_sealed = true;
    }

    /// Reports that [`Action::Write`] succeeded.
    pub fn write_succeeded(&mut self, now: MonotonicTime, revision: Revision) {
        self.phase = Phase::Ready;
        self.confirmed_at = self.call_started_at;
        self.revision = Some(revision);
        self.head = self.next_head();
        self.head_sealed = false;
        for entry in std::mem::take(&mut self.batch) {
            self.table.apply(now, &entry);
        }
        self.ends.drain(..self.batch_end_count);
        let answered: Vec<PendingClaim> = self.claims.drain(..self.batch_claim_count).collect();
        for pending in answered {
            let reply = self
                .reply_from_copy(now, &pending.claim)
                .unwrap_or_else(refused_reply);
            self.replies.push((pending.ticket, reply));
        }
        self.next_call_at = self.write_rate.record_write(now);
    }

    /// Reports that a write or a seal was not confirmed. The record is read again before any
    /// further decision, which shows whether the write took effect.
    pub fn write_failed(&mut self, now: MonotonicTime, failure: WriteFailure) {
        self.phase = Phase::Unloaded;
        self.batch.clear();
        if failure == WriteFailure::InDoubt {
            for pending in self.claims.iter_mut().take(self.batch_claim_count) {
                pending.in_doubt = true;
            }
        }
        if failure == WriteFailure::NoEffect {
            self.back_off(now);
        }
    }

    /// Refuses all pending claims and delays the next call.
    fn back_off(&mut self, now: MonotonicTime) {
        self.next_call_at = now + RETRY_DELAY;
        while let Some(pending) = self.claims.pop_front() {
            self.refuse(now, &pending);
        }
    }

    fn refuse_overdue(&mut self, now: MonotonicTime) {
        while self
            .claims
            .front()
            .is_some_and(|pending| pending.refuse_at <= now)
        {
            if let Some(pending) = self.claims.pop_front() {
                self.refuse(now, &pending);
            }
        }
    }

    fn refuse(&mut self, now: MonotonicTime, pending: &PendingClaim) {
        self.replies.push((pending.ticket, refused_reply()));
        if pending.in_doubt {
            // The claim may be stored but was not granted, so its request does not run.
            self.record_end(now, pending.claim, ClaimState::NotRun);
        }
    }

    /// Replies to the pending claims that the copy can answer.
    fn answer_from_copy(&mut self, now: MonotonicTime) {
        for pending in std::mem::take(&mut self.claims) {
            match self.reply_from_copy(now, &pending.claim) {
                Some(reply) => self.replies.push((pending.ticket, reply)),
                None => self.claims.push_back(pending),
            }
        }
    }

    fn build_batch(&mut self) {
        self.drop_ineffective_ends();
        let claims = self.claims.iter().map(|pending| Entry {
            key: pending.claim.key,
            request: pending.claim.request,
            fingerprint: pending.claim.fingerprint,
            state: ClaimState::Running,
        });
        // Ends come first, since an end may free the key of a claim.
        let ends = self.ends.iter().map(|end| end.entry);
        self.batch = ends.chain(claims).collect();
        self.batch_end_count = self.ends.len();
        self.batch_claim_count = self.claims.len();
    }

    /// Drops ends that would restore a claim on a free key: those of requests that do not hold
    /// their key, and those of requests whose key another pending end frees. The copy can be relied
    /// on, since it matches the head that the write replaces.
    fn drop_ineffective_ends(&mut self) {
        let freed: HashSet<RequestId> = self
            .ends
            .iter()
            .filter(|end| end.entry.state == ClaimState::NotRun)
            .map(|end| end.entry.request)
            .collect();
        let mut ends = std::mem::take(&mut self.ends);
        ends.retain(|end| {
            let frees = end.entry.state == ClaimState::NotRun;
            frees || self.takes_effect(&end.entry) && !freed.contains(&end.entry.request)
        });
        self.ends = ends;
    }

    /// The reply to a claim according to the copy; `None` if its key is free or is freed by a
    /// pending end.
    fn reply_from_copy(&self, now: MonotonicTime, claim: &Claim) -> Option<Reply> {
        let record = self.table.get(claim.key)?;
        if record.request == claim.request && record.state == ClaimState::Running {
            return Some(Reply::Granted);
        }
        let ends = self.ends.iter().map(|end| &end.entry);
        let freed = ends
            .filter(|end| end.key == claim.key && end.request == record.request)
            .any(|end| end.state == ClaimState::NotRun);
        if freed {
            return None;
        }
        let timed_out = now.since(record.learned_at) > RUNNING_TIMEOUT;
        let state = match record.state {
            ClaimState::Running if timed_out => ClaimState::Unknown,
            state => state,
        };
        Some(held_reply(record.request, record.fingerprint, state, claim))
    }
}

fn held_reply(request: RequestId, fingerprint: u32, state: ClaimState, claim: &Claim) -> Reply {
    if fingerprint == claim.fingerprint {
        Reply::Held { request, state }
    } else {
        Reply::KeyReused
    }
}

fn refused_reply() -> Reply {
    Reply::Refused {
        retry_after: RETRY_DELAY,
    }
}
