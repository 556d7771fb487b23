//! What engines say of themselves in their answers: that they drain, and for how long they want no calls.
//!
//! It reaches a node with the answer, whatever the state of the key-value service, and binds this node
//! from then on. That an engine's run drains is final: an entry of the same run that says otherwise is
//! older, or was written by an engine that does not know better. Nothing but time ends a backoff: an entry
//! that lapses and is written again is the same run's.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{LimitSignal, MonotonicTime, RequestRate};

use super::EngineKey;
use super::named_limits::{EngineRateLimits, LimitChange};
use super::remembered::Remembered;
use crate::shared_rate::HeldPermits;

/// Longest backoff that one answer brings about. An engine that asks for days is asked again after this
/// time, by one call, so that one wrong answer does not lose it for as long as it lives.
const LONGEST_BACKOFF: Duration = Duration::from_secs(600);

/// Calls return to an engine within this share of the backoff after its end, each node at a moment of its
/// own: nodes that were refused together would come back together, with all that they held back.
const RETURN_SPREAD: f64 = 0.25;

/// Calls of this node that may be without an answer at an engine just after its backoff. Each time the
/// engine takes one up, twice as many.
const FIRST_RETURNING: u32 = 1;

/// From this many calls at once on an engine counts as returned: a node's part of an engine's slots.
const RETURNED: u32 = 8;

/// Time after which a caller may come back where an engine is just being asked whether it takes calls
/// again: a usual call takes less.
const RETURNING_SOON: Duration = Duration::from_millis(200);

/// Backoffs from which on those that are over are thrown away, called or not.
const MANY_BACKOFFS: usize = 1_024;

/// Why an engine is to get no request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosedReason {
    /// It has said that it drains.
    Draining,
    /// It wants no calls until this time.
    Backoff(MonotonicTime),
    /// Its backoff is over, and as many calls as may be are asking whether it takes any again.
    Probing,
    /// It takes only so many requests of all nodes together, and this node is to ask for none until this time.
    Limit(MonotonicTime),
}

/// A backoff that an engine asked for, and the return from it.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: MonotonicTime,
    /// Calls that may be without an answer once it is over.
    allowed: u32,
    /// Those that are.
    unanswered: u32,
    /// Tells calls made after this backoff from those made after an earlier one.
    number: u64,
}

/// A call to an engine whose backoff has ended a short time ago.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct ProbeCall {
    engine: EngineKey,
    backoff: u64,
}

/// How a call to an engine came out, as far as that tells whether it takes calls again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The engine took it up.
    Accepted,
    /// The engine refused it, or said nothing.
    NotAccepted,
}

/// What engines said of themselves. All of it is said of one start of an engine: nothing of it holds for
/// another start under the same name.
#[derive(Clone, Debug, Default)]
pub struct SignalTable {
    draining: Remembered<()>,
    /// Engines whose entries say that they drain, with the era of the key-value service that told it.
    listed_draining: Remembered<u64>,
    /// When engines started, by their own clocks, in milliseconds since 1970.
    starts: Remembered<u64>,
    limits: EngineRateLimits,
    /// Leave to send requests to engines that take only so many.
    pub permits: HeldPermits,
    backoffs: HashMap<EngineKey, Backoff>,
    backoffs_noted: u64,
}

impl SignalTable {
    /// Notes that an engine drains; whether that is news.
    pub fn record_draining(&mut self, engine: EngineKey) -> bool {
        self.draining.set(engine, ())
    }

    /// Notes what an engine's entry says, as the key-value service told it in an era. In one era an engine that
    /// drained takes work again only if it started anew, or if another writer had said that it drains; the
    /// copy from which a later era began may be older than what it said.
    pub fn record_entry(&mut self, engine: EngineKey, accepting: bool, era: u64) {
        let known = self.listed_draining.get(engine);
        if !accepting {
            self.listed_draining.set(engine, era);
        } else if known.is_some_and(|known| *known >= era) {
            self.listed_draining.remove(engine);
        }
    }

    /// Notes when an engine started. What it said before holds no longer, if it had started before.
    pub fn record_start(&mut self, engine: EngineKey, born: u64) {
        if !self.starts.set(engine, born) {
            self.draining.remove(engine);
            self.listed_draining.remove(engine);
            self.limits.forget(engine);
            self.permits.forget(engine);
            self.backoffs.remove(&engine);
        }
    }

    /// When the engine started, in milliseconds since 1970; 0 where that is not known.
    pub fn started_at_ms(&self, engine: EngineKey) -> u64 {
        let born = self.starts.get(engine);
        born.copied().unwrap_or_default()
    }

    /// Engines of which it is known when they started.
    pub fn start_times(&self) -> impl Iterator<Item = (EngineKey, u64)> {
        let starts = self.starts.iter();
        starts.map(|(engine, born)| (engine, *born))
    }

    /// Notes that an engine asked at `now` for the time `asked` without calls; whether it had not done so
    /// before. `place`, from 0 to 1, is this node's place among those that return.
    ///
    /// Each refusal binds for as long as it asks: a shorter one that comes later takes nothing back.
    pub fn record_backoff(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        asked: Duration,
        place: f64,
    ) -> bool {
        let asked = asked.min(LONGEST_BACKOFF);
        let until = now + asked + asked.mul_f64(RETURN_SPREAD * place);
        let known = self.backoffs.get(&engine).copied();
        let is_news = known.is_none_or(|known| known.until <= now);
        if self.backoffs.len() >= MANY_BACKOFFS {
            // Who has not been called since then is taken for any other engine.
            self.backoffs.retain(|_, backoff| now < backoff.until);
        }
        self.backoffs_noted += 1;
        let backoff = Backoff {
            until: known.map_or(until, |known| known.until.max(until)),
            allowed: FIRST_RETURNING,
            unanswered: 0,
            number: self.backoffs_noted,
        };
        self.backoffs.insert(engine, backoff);
        is_news
    }

    /// Notes what an answer says of its engine's limit; see [`EngineRateLimits::record_answer`].
    pub fn record_limit(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        said: LimitSignal,
        request_sent_at: Option<MonotonicTime>,
    ) -> Option<LimitChange> {
        let change = self
            .limits
            .record_answer(now, engine, said, request_sent_at)?;
        self.limit_changed(now, engine, change);
        Some(change)
    }

    /// Notes what another node heard of an engine's limit; see [`EngineRateLimits::record_peer`].
    pub fn record_peer_limit(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        rate: Option<RequestRate>,
        heard_at: MonotonicTime,
    ) -> Option<LimitChange> {
        let change = self.limits.record_peer(engine, rate, heard_at)?;
        self.limit_changed(now, engine, change);
        Some(change)
    }

    /// How many requests engines take.
    pub fn limits(&self) -> &EngineRateLimits {
        &self.limits
    }

    /// An engine whose limit has ended is returned to as after a backoff: all nodes hear of the end within a
    /// moment, and each has held requests back.
    fn limit_changed(&mut self, now: MonotonicTime, engine: EngineKey, change: LimitChange) {
        if change.current.is_some() {
            return;
        }
        self.permits.forget(engine);
        self.backoffs_noted += 1;
        let number = self.backoffs_noted;
        self.backoffs.entry(engine).or_insert(Backoff {
            until: now,
            allowed: FIRST_RETURNING,
            unanswered: 0,
            number,
        });
    }

    /// Whether the engine's run has said that it drains, in an answer or in its entry.
    pub fn is_draining(&self, engine: EngineKey) -> bool {
        self.draining.get(engine).is_some() || self.listed_draining.get(engine).is_some()
    }

    /// Why the engine is to get no request at `now`.
    pub fn closed(&self, now: MonotonicTime, engine: EngineKey) -> Option<ClosedReason> {
        if self.is_draining(engine) {
            return Some(ClosedReason::Draining);
        }
        self.closed_by_backoff(now, engine)
            .or_else(|| self.closed_by_limit(now, engine))
    }

    fn closed_by_backoff(&self, now: MonotonicTime, engine: EngineKey) -> Option<ClosedReason> {
        let backoff = self.backoffs.get(&engine)?;
        if now < backoff.until {
            return Some(ClosedReason::Backoff(backoff.until));
        }
        (backoff.unanswered >= backoff.allowed).then_some(ClosedReason::Probing)
    }

    fn closed_by_limit(&self, now: MonotonicTime, engine: EngineKey) -> Option<ClosedReason> {
        self.limits.get(engine)?;
        let until = self.permits.closed_until(now, engine);
        until.map(ClosedReason::Limit)
    }

    /// After how long one of `engines` may take calls again; `None` if none is backing off or limited.
    pub fn time_until_open(
        &self,
        now: MonotonicTime,
        engines: impl Fn(EngineKey) -> bool,
    ) -> Option<Duration> {
        let closed = self.backoffs.keys().copied().chain(self.permits.closed());
        let closed = closed.filter(|engine| engines(*engine));
        let waits = closed.filter_map(|engine| match self.closed(now, engine)? {
            ClosedReason::Draining => None,
            ClosedReason::Backoff(until) | ClosedReason::Limit(until) => {
                Some(until.since(now).max(RETURNING_SOON))
            }
            ClosedReason::Probing => Some(RETURNING_SOON),
        });
        waits.min()
    }

    /// Notes a call that is about to go out; what it yields tells later how it came out.
    pub fn begin_call(&mut self, now: MonotonicTime, engine: EngineKey) -> Option<ProbeCall> {
        let backoff = self.backoffs.get_mut(&engine)?;
        if now < backoff.until {
            return None;
        }
        backoff.unanswered += 1;
        Some(ProbeCall {
            engine,
            backoff: backoff.number,
        })
    }

    /// Notes how a call came out that [`Self::begin_call`] noted.
    pub fn finish_probe(&mut self, call: ProbeCall, end: ProbeOutcome) {
        let backoff = self.backoffs.get_mut(&call.engine);
        let Some(backoff) = backoff.filter(|backoff| backoff.number == call.backoff) else {
            return;
        };
        backoff.unanswered -= 1;
        match end {
            ProbeOutcome::Accepted => backoff.allowed *= 2,
            ProbeOutcome::NotAccepted => backoff.allowed = FIRST_RETURNING,
        }
        if backoff.allowed >= RETURNED {
            self.backoffs.remove(&call.engine);
        }
    }

    /// Engines that want no calls at `now`.
    pub fn backing_off_count(&self, now: MonotonicTime) -> usize {
        let backoffs = self.backoffs.values();
        backoffs.filter(|backoff| now < backoff.until).count()
    }
}
