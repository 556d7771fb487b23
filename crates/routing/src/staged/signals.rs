//! Signals that engines send in their responses: draining, backoff times and rate limits.
//!
//! They apply from the response on and do not depend on the key-value service. Draining is final for a run of an
//! engine: a registry entry of the same run that says otherwise is outdated. A backoff ends only by time, even if
//! the engine's entry expires and is written again meanwhile.

use std::collections::HashMap;
use std::time::Duration;

use dalestand_types::{LimitSignal, MonotonicTime, RequestRate};

use super::EngineKey;
use super::bounded_map::BoundedMap;
use super::engine_rate_limits::{EngineRateLimits, LimitChange};
use crate::shared_rate::HeldPermits;

/// Maximum duration of a backoff. Limits the effect of a wrong response that asks for days: after this time
/// the engine gets a probe call.
const MAX_BACKOFF: Duration = Duration::from_secs(600);

/// Maximum extension of a backoff, as a share of its duration. Each node extends it by a random amount, so that
/// nodes refused at the same time do not all call again at the same time.
const BACKOFF_JITTER: f64 = 0.25;

/// Maximum number of unanswered probe calls of this node right after a backoff. Doubles with each accepted call.
const INITIAL_PROBES: u32 = 1;

/// Probing ends when the number of allowed unanswered calls reaches this value, about one node's share of an
/// engine's slots.
const RECOVERED_AT_PROBES: u32 = 8;

/// Retry delay of requests refused while an engine is being probed; longer than a typical call.
const PROBE_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Number of stored backoffs from which expired ones are removed.
const BACKOFF_CLEANUP_THRESHOLD: usize = 1_024;

/// Reason why an engine is closed to requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClosedReason {
    /// It has signalled that it is draining.
    Draining,
    /// Its registry entry was removed.
    Removed,
    /// It has asked for no calls until this time.
    Backoff(MonotonicTime),
    /// Its backoff is over, and the maximum number of probe calls is unanswered.
    Probing,
    /// It is rate limited, and this node may not request permits until this time.
    Limit(MonotonicTime),
}

/// A backoff that an engine asked for, and the probing after it.
#[derive(Clone, Copy, Debug)]
struct Backoff {
    until: MonotonicTime,
    /// Maximum number of unanswered calls after the end of the backoff.
    allowed: u32,
    /// Number of unanswered calls after the end of the backoff.
    unanswered: u32,
    /// Sequence number; matches probe calls to the backoff after which they were made.
    number: u64,
}

/// A probe call to an engine after its backoff.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[must_use]
pub struct ProbeCall {
    engine: EngineKey,
    backoff: u64,
}

/// Outcome of a probe call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProbeOutcome {
    /// The engine accepted the call.
    Accepted,
    /// The engine refused the call or did not respond.
    NotAccepted,
}

/// The signals received from engines. They apply to one start of an engine only, not to a later start under the
/// same name.
#[derive(Clone, Debug, Default)]
pub struct SignalTable {
    draining: BoundedMap<()>,
    /// Start times of engines by their own clocks, in milliseconds since the Unix epoch.
    starts: BoundedMap<u64>,
    limits: EngineRateLimits,
    /// Permits to send requests to engines with a rate limit.
    pub permits: HeldPermits,
    backoffs: HashMap<EngineKey, Backoff>,
    /// Sequence number of the newest backoff.
    last_backoff: u64,
}

impl SignalTable {
    /// Records that an engine is draining, according to a response or to its registry entry. Returns whether that is
    /// new.
    ///
    /// Only another start of the engine reverts it. An entry that says otherwise may be an earlier write that was
    /// carried out late, or come from a backup.
    pub fn record_draining(&mut self, engine: EngineKey) -> bool {
        self.draining.set(engine, ())
    }

    /// Records when an engine started, in milliseconds since the Unix epoch. Discards all signals of a previous
    /// start.
    pub fn record_start(&mut self, engine: EngineKey, started_at_ms: u64) {
        if !self.starts.set(engine, started_at_ms) {
            self.draining.remove(engine);
            self.limits.forget(engine);
            self.permits.forget(engine);
            self.backoffs.remove(&engine);
        }
    }

    /// When the engine started, in milliseconds since the Unix epoch; 0 if that is not known.
    pub fn started_at_ms(&self, engine: EngineKey) -> u64 {
        let started_at_ms = self.starts.get(engine);
        started_at_ms.copied().unwrap_or_default()
    }

    /// Engines with a known start time, in milliseconds since the Unix epoch.
    pub fn start_times(&self) -> impl Iterator<Item = (EngineKey, u64)> {
        let starts = self.starts.iter();
        starts.map(|(engine, started_at_ms)| (engine, *started_at_ms))
    }

    /// Records that an engine asked at `now` for no calls during `requested`. Returns whether it was not backing
    /// off already. `jitter`, from 0 to 1, scales this node's extension of the backoff.
    ///
    /// A later, shorter backoff does not shorten an earlier one.
    pub fn record_backoff(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        requested: Duration,
        jitter: f64,
    ) -> bool {
        let requested = requested.min(MAX_BACKOFF);
        let until = now + requested + requested.mul_f64(BACKOFF_JITTER * jitter);
        let known = self.backoffs.get(&engine).copied();
        let is_new = known.is_none_or(|known| known.until <= now);
        if self.backoffs.len() >= BACKOFF_CLEANUP_THRESHOLD {
            // Engines that were not called since their backoff ended are no longer probed.
            self.backoffs.retain(|_, backoff| now < backoff.until);
        }
        self.last_backoff += 1;
        let backoff = Backoff {
            until: known.map_or(until, |known| known.until.max(until)),
            allowed: INITIAL_PROBES,
            unanswered: 0,
            number: self.last_backoff,
        };
        self.backoffs.insert(engine, backoff);
        is_new
    }

    /// Records the limit in a response; see [`EngineRateLimits::record_answer`].
    pub fn record_limit(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        signal: LimitSignal,
        request_sent_at: Option<MonotonicTime>,
    ) -> Option<LimitChange> {
        let change = self
            .limits
            .record_answer(now, engine, signal, request_sent_at)?;
        self.limit_changed(now, engine, change);
        Some(change)
    }

    /// Records a limit that another node received; see [`EngineRateLimits::record_peer`].
    pub fn record_peer_limit(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        rate: Option<RequestRate>,
        received_at: MonotonicTime,
    ) -> Option<LimitChange> {
        let change = self.limits.record_peer(engine, rate, received_at)?;
        self.limit_changed(now, engine, change);
        Some(change)
    }

    /// Rate limits of engines.
    pub fn limits(&self) -> &EngineRateLimits {
        &self.limits
    }

    /// Starts probing an engine whose limit has ended, as after a backoff: all nodes learn of the end at almost the
    /// same time, and each may have queued requests for it.
    fn limit_changed(&mut self, now: MonotonicTime, engine: EngineKey, change: LimitChange) {
        if change.current.is_some() {
            return;
        }
        self.permits.forget(engine);
        self.last_backoff += 1;
        let number = self.last_backoff;
        self.backoffs.entry(engine).or_insert(Backoff {
            until: now,
            allowed: INITIAL_PROBES,
            unanswered: 0,
            number,
        });
    }

    /// Whether the engine is draining, according to a response or to its registry entry.
    pub fn is_draining(&self, engine: EngineKey) -> bool {
        self.draining.get(engine).is_some()
    }

    /// Why the engine is closed to requests at `now`; `None` if it is open.
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

    /// Time until one of the engines that `engines` selects may accept calls again; `None` if none of them is
    /// backing off or rate limited.
    pub fn time_until_open(
        &self,
        now: MonotonicTime,
        engines: impl Fn(EngineKey) -> bool,
    ) -> Option<Duration> {
        let closed = self.backoffs.keys().copied().chain(self.permits.closed());
        let closed = closed.filter(|engine| engines(*engine));
        let waits = closed.filter_map(|engine| match self.closed(now, engine)? {
            ClosedReason::Draining | ClosedReason::Removed => None,
            ClosedReason::Backoff(until) | ClosedReason::Limit(until) => {
                Some(until.since(now).max(PROBE_RETRY_AFTER))
            }
            ClosedReason::Probing => Some(PROBE_RETRY_AFTER),
        });
        waits.min()
    }

    /// Registers a call that is about to be sent. Returns a handle for [`Self::finish_probe`] if it is a probe.
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

    /// Records the outcome of a probe call that [`Self::begin_call`] returned.
    pub fn finish_probe(&mut self, call: ProbeCall, outcome: ProbeOutcome) {
        let backoff = self.backoffs.get_mut(&call.engine);
        let Some(backoff) = backoff.filter(|backoff| backoff.number == call.backoff) else {
            return;
        };
        backoff.unanswered -= 1;
        match outcome {
            ProbeOutcome::Accepted => backoff.allowed *= 2,
            ProbeOutcome::NotAccepted => backoff.allowed = INITIAL_PROBES,
        }
        if backoff.allowed >= RECOVERED_AT_PROBES {
            self.backoffs.remove(&call.engine);
        }
    }

    /// Number of engines that are backing off at `now`.
    pub fn backing_off_count(&self, now: MonotonicTime) -> usize {
        let backoffs = self.backoffs.values();
        backoffs.filter(|backoff| now < backoff.until).count()
    }
}
