//! One shard at one node: batches claims into its record and answers from its copy.

use std::collections::{HashSet, VecDeque};
use std::time::Duration;

use dalestand_types::{MonotonicTime, RequestId, Revision};

use crate::entry::{ClaimState, Entry, head_with_batch};
use crate::message::{Action, Claim, LoadedRecord, Reply, Ticket, WriteFailure};
use crate::pace::WritePace;
use crate::table::ClaimTable;

/// Longest wait of a claim before it is refused.
const CLAIM_WAIT: Duration = Duration::from_millis(4_000);

/// A copy that was not confirmed for this long is read again before it says that a key is held:
/// another leader may have written since.
const COPY_LIFETIME: Duration = Duration::from_secs(5);

/// After this long a request whose end was not told counts as one whose end is not known: the
/// node that ran it is most likely gone.
const RUNNING_LIMIT: Duration = Duration::from_secs(120);

/// Pause after a failed call.
const FAILURE_PAUSE: Duration = Duration::from_millis(1_000);

/// Entries of a head record beyond which it is sealed; about 16 KiB of text.
const HEAD_ENTRIES: usize = 240;

/// Ends of requests kept for the next write; older ones are dropped, their claims then count as
/// running until they are forgotten.
const MAX_WAITING_ENDS: usize = 10_000;

/// Most claims that wait for a write.
const MAX_WAITING_CLAIMS: usize = 2_000;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Unloaded,
    /// The copy is that of the head at its revision.
    Ready,
    /// An action's result is awaited.
    Busy,
}

#[derive(Clone, Copy, Debug)]
struct WaitingClaim {
    ticket: Ticket,
    claim: Claim,
    refuse_at: MonotonicTime,
    /// Whether a write of it is in doubt.
    in_doubt: bool,
}

#[derive(Clone, Copy, Debug)]
struct WaitingEnd {
    entry: Entry,
    taken_at: MonotonicTime,
}

/// One shard at one node.
pub struct Shard {
    phase: Phase,
    table: ClaimTable,
    /// When the call was made that last showed the copy to be that of the record.
    confirmed_at: MonotonicTime,
    /// When the call under way was made.
    called_at: MonotonicTime,
    revision: Option<Revision>,
    head: Vec<Entry>,
    sealed: bool,
    claims: VecDeque<WaitingClaim>,
    ends: VecDeque<WaitingEnd>,
    /// What the write under way adds to the head.
    batch: Vec<Entry>,
    /// How many of the waiting claims are in it.
    batch_claims: usize,
    batch_ends: usize,
    not_before: MonotonicTime,
    pace: WritePace,
    replies: Vec<(Ticket, Reply)>,
}

impl Default for Shard {
    fn default() -> Self {
        Self {
            phase: Phase::Unloaded,
            table: ClaimTable::default(),
            confirmed_at: MonotonicTime::ZERO,
            called_at: MonotonicTime::ZERO,
            revision: None,
            head: Vec::new(),
            sealed: false,
            claims: VecDeque::new(),
            ends: VecDeque::new(),
            batch: Vec::new(),
            batch_claims: 0,
            batch_ends: 0,
            not_before: MonotonicTime::ZERO,
            pace: WritePace::default(),
            replies: Vec::new(),
        }
    }
}

impl Shard {
    /// Takes a claim; its reply comes from [`Self::take_replies`], now or later.
    pub fn claim(&mut self, now: MonotonicTime, ticket: Ticket, claim: Claim) {
        if self.is_confirmed(now)
            && let Some(reply) = self.known(now, &claim)
        {
            self.replies.push((ticket, reply));
            return;
        }
        let waiting = self.claims.iter().map(|waiting| &waiting.claim);
        let other = waiting
            .filter(|other| other.key == claim.key && other.request != claim.request)
            .map(|other| {
                held(
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
        if self.claims.len() >= MAX_WAITING_CLAIMS || !self.table.has_capacity() {
            self.replies.push((ticket, refused()));
            return;
        }
        self.claims.push_back(WaitingClaim {
            ticket,
            claim,
            refuse_at: now + CLAIM_WAIT,
            in_doubt: false,
        });
    }

    /// Takes the end of a claimed request, for the next write.
    pub fn record_end(&mut self, now: MonotonicTime, claim: Claim, state: ClaimState) {
        if self.ends.len() >= MAX_WAITING_ENDS {
            return;
        }
        let entry = Entry {
            key: claim.key,
            request: claim.request,
            fingerprint: claim.fingerprint,
            state,
        };
        let taken_at = now;
        self.ends.push_back(WaitingEnd { entry, taken_at });
    }

    /// Replies that are due.
    pub fn take_replies(&mut self) -> Vec<(Ticket, Reply)> {
        std::mem::take(&mut self.replies)
    }

    /// When [`Self::tick`] has something to do next; `None` if nothing waits or a result is
    /// awaited.
    pub fn wake_at(&self) -> Option<MonotonicTime> {
        if self.phase == Phase::Busy || (self.claims.is_empty() && self.ends.is_empty()) {
            return None;
        }
        let refusal = self.claims.front().map(|waiting| waiting.refuse_at);
        Some(refusal.map_or(self.not_before, |at| at.min(self.not_before)))
    }

    /// Yields what is to be done at `now`.
    pub fn tick(&mut self, now: MonotonicTime) -> Option<Action> {
        if self.phase == Phase::Busy {
            return None;
        }
        self.table.expire(now);
        self.refuse_overdue(now);
        if now < self.not_before || (self.claims.is_empty() && self.ends.is_empty()) {
            return None;
        }
        if self.phase == Phase::Unloaded || self.must_read_again(now) {
            self.phase = Phase::Busy;
            self.called_at = now;
            return Some(Action::Load);
        }
        self.answer_known(now);
        self.gather_batch();
        if self.batch.is_empty() {
            return None;
        }
        self.phase = Phase::Busy;
        self.called_at = now;
        Some(self.write_action())
    }

    fn is_confirmed(&self, now: MonotonicTime) -> bool {
        now.since(self.confirmed_at) < COPY_LIFETIME
    }

    /// Whether a copy that may be outdated says that a waiting claim's key is held, or that a
    /// request which ended does not hold its key.
    fn must_read_again(&self, now: MonotonicTime) -> bool {
        let mut claims = self.claims.iter();
        let mut ends = self.ends.iter();
        ends.any(|end| end.taken_at > self.confirmed_at && !self.takes_effect(&end.entry))
            || !self.is_confirmed(now) && claims.any(|one| self.known(now, &one.claim).is_some())
    }

    /// Whether an end is of the request that holds its key, or frees a key.
    fn takes_effect(&self, end: &Entry) -> bool {
        end.state == ClaimState::NotRun || self.table.is_held_by(end.key, end.request)
    }

    fn write_action(&self) -> Action {
        if self.head.len() >= HEAD_ENTRIES
            && !self.sealed
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

    /// The head that the write under way puts in place.
    fn next_head(&self) -> Vec<Entry> {
        let head = if self.sealed { &[][..] } else { &self.head };
        head_with_batch(head, &self.batch)
    }

    /// The record was read.
    pub fn load_succeeded(&mut self, now: MonotonicTime, loaded: LoadedRecord) {
        self.phase = Phase::Ready;
        self.confirmed_at = self.called_at;
        self.table = ClaimTable::default();
        for entry in loaded.sealed.iter().chain(&loaded.head) {
            self.table.apply(now, entry);
        }
        self.revision = loaded.revision;
        self.head = loaded.head;
        self.sealed = false;
        self.answer_known(now);
    }

    /// The record could not be read.
    pub fn load_failed(&mut self, now: MonotonicTime) {
        self.phase = Phase::Unloaded;
        self.back_off(now);
    }

    /// The segment is stored; the head may start anew.
    pub fn segment_sealed(&mut self) {
        self.phase = Phase::Ready;
        self.sealed = true;
    }

    /// The head was replaced.
    pub fn write_succeeded(&mut self, now: MonotonicTime, revision: Revision) {
        self.phase = Phase::Ready;
        self.confirmed_at = self.called_at;
        self.revision = Some(revision);
        self.head = self.next_head();
        self.sealed = false;
        for entry in std::mem::take(&mut self.batch) {
            self.table.apply(now, &entry);
        }
        self.ends.drain(..self.batch_ends);
        let answered: Vec<WaitingClaim> = self.claims.drain(..self.batch_claims).collect();
        for waiting in answered {
            let reply = self.known(now, &waiting.claim).unwrap_or_else(refused);
            self.replies.push((waiting.ticket, reply));
        }
        self.not_before = self.pace.written(now);
    }

    /// A write or a seal is not known to be done. The record is read before anything else is
    /// decided: it says whether the write took effect after all.
    pub fn write_failed(&mut self, now: MonotonicTime, failure: WriteFailure) {
        self.phase = Phase::Unloaded;
        self.batch.clear();
        if failure == WriteFailure::InDoubt {
            for waiting in self.claims.iter_mut().take(self.batch_claims) {
                waiting.in_doubt = true;
            }
        }
        if failure == WriteFailure::NoEffect {
            self.back_off(now);
        }
    }

    /// The key-value service is of no use for now: nobody is kept waiting.
    fn back_off(&mut self, now: MonotonicTime) {
        self.not_before = now + FAILURE_PAUSE;
        while let Some(waiting) = self.claims.pop_front() {
            self.refuse(now, &waiting);
        }
    }

    fn refuse_overdue(&mut self, now: MonotonicTime) {
        while self
            .claims
            .front()
            .is_some_and(|waiting| waiting.refuse_at <= now)
        {
            if let Some(waiting) = self.claims.pop_front() {
                self.refuse(now, &waiting);
            }
        }
    }

    fn refuse(&mut self, now: MonotonicTime, waiting: &WaitingClaim) {
        self.replies.push((waiting.ticket, refused()));
        if waiting.in_doubt {
            // The claim may stand in the record; it was not granted, so its request does not run.
            self.record_end(now, waiting.claim, ClaimState::NotRun);
        }
    }

    /// Replies to waiting claims that the copy settles.
    fn answer_known(&mut self, now: MonotonicTime) {
        for waiting in std::mem::take(&mut self.claims) {
            match self.known(now, &waiting.claim) {
                Some(reply) => self.replies.push((waiting.ticket, reply)),
                None => self.claims.push_back(waiting),
            }
        }
    }

    fn gather_batch(&mut self) {
        self.drop_void_ends();
        let claims = self.claims.iter().map(|waiting| Entry {
            key: waiting.claim.key,
            request: waiting.claim.request,
            fingerprint: waiting.claim.fingerprint,
            state: ClaimState::Running,
        });
        // Ends come first: one may free the key of a claim.
        let ends = self.ends.iter().map(|end| end.entry);
        self.batch = ends.chain(claims).collect();
        self.batch_ends = self.ends.len();
        self.batch_claims = self.claims.len();
    }

    /// Drops the ends of requests that do not hold their key, or are freed by another end: such an
    /// end must not bring a claim back. The copy is that of the head which the write replaces.
    fn drop_void_ends(&mut self) {
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

    /// What the copy says of a claim; `None` if its key is free or the copy may be of use no more.
    fn known(&self, now: MonotonicTime, claim: &Claim) -> Option<Reply> {
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
        let silent = now.since(record.learned_at) > RUNNING_LIMIT;
        let state = match record.state {
            ClaimState::Running if silent => ClaimState::Unknown,
            state => state,
        };
        Some(held(record.request, record.fingerprint, state, claim))
    }
}

fn held(request: RequestId, fingerprint: u32, state: ClaimState, claim: &Claim) -> Reply {
    if fingerprint == claim.fingerprint {
        Reply::Held { request, state }
    } else {
        Reply::KeyReused
    }
}

fn refused() -> Reply {
    Reply::Refused {
        retry_after: FAILURE_PAUSE,
    }
}
