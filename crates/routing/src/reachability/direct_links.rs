//! Detects that a node is cut off from all engines.
//!
//! A failed connection alone does not tell whether its engine has ended or this node is cut off. Evidence of a cut is a direct
//! connection that could not be opened although another node opened one, or that was reset before the first byte. A cut
//! begins with evidence from two engines and no byte on any connection that was opened since, and ends when trial
//! connections to two engines succeed.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::staged::EngineKey;

/// Without a byte from any engine for this long while calls wait, kept connections are not used. Long enough for the first
/// token of a long prompt at an idle engine.
const SILENCE_LIMIT: Duration = Duration::from_millis(300);

/// Number of engines whose evidence is needed for a change, if so many are known: a single one may itself be at fault.
const ENGINES_UNTIL_CHANGE: usize = 2;

/// Evidence is dropped after this time.
const EVIDENCE_TTL: Duration = Duration::from_secs(2);

/// A change of [`DirectLinks`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkChange {
    /// The node is cut off from all engines.
    CutOff,
    /// It reaches engines directly again.
    Restored {
        /// How long it was cut off.
        after: Duration,
    },
}

/// What a node knows of its own links to engines.
#[derive(Clone, Debug, Default)]
pub struct DirectLinks {
    /// Since when the node is cut off.
    cut_off_since: Option<MonotonicTime>,
    /// Engines to which no direct connection worked, with the time of the last failure.
    failed_opens: BTreeMap<EngineKey, MonotonicTime>,
    /// Engines that broke a kept connection, or did not answer on one, since the last byte from any engine.
    broken_kept: BTreeSet<EngineKey>,
    /// Engines that trial connections reached without a failure in between.
    reached: BTreeSet<EngineKey>,
    /// Calls on direct connections that wait for bytes.
    waiting_calls: usize,
    /// When the last byte arrived, or when calls began to wait.
    waiting_since: MonotonicTime,
}

impl DirectLinks {
    /// Records that a call is sent on a direct connection.
    pub fn record_call(&mut self, now: MonotonicTime) {
        if self.waiting_calls == 0 {
            self.waiting_since = now;
        }
        self.waiting_calls += 1;
    }

    /// Records the end of a call.
    pub fn record_call_end(&mut self) {
        self.waiting_calls = self.waiting_calls.saturating_sub(1);
    }

    /// Records that bytes were received on a direct connection of this age.
    pub fn record_bytes(&mut self, now: MonotonicTime, connection_age: Duration) {
        self.waiting_since = now;
        self.broken_kept.clear();
        // Bytes on an older connection do not show that new ones can be opened.
        let failed_at = self.failed_opens.values().min();
        if failed_at.is_some_and(|failed_at| now.since(*failed_at) > connection_age) {
            self.failed_opens.clear();
        }
    }

    /// Records that a direct connection to `engine` could not be opened although another node opened one, or was reset
    /// before the first byte. `engines`: number of engines known.
    pub fn record_failed_open(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        engines: usize,
    ) -> Option<LinkChange> {
        self.reached.clear();
        self.failed_opens
            .retain(|_, failed_at| now.since(*failed_at) < EVIDENCE_TTL);
        self.failed_opens.insert(engine, now);
        let is_enough = self.failed_opens.len() >= ENGINES_UNTIL_CHANGE.min(engines.max(1));
        if self.cut_off_since.is_some() || !is_enough {
            return None;
        }
        self.cut_off_since = Some(now);
        Some(LinkChange::CutOff)
    }

    /// Records that a kept direct connection to `engine` broke during a call, or that a call on it got no answer.
    pub fn record_broken_kept(&mut self, engine: EngineKey) {
        self.broken_kept.insert(engine);
    }

    /// Records the result of a trial connection during a cut.
    pub fn record_trial(
        &mut self,
        now: MonotonicTime,
        engine: EngineKey,
        is_reached: bool,
        engines: usize,
    ) -> Option<LinkChange> {
        let since = self.cut_off_since?;
        if !is_reached {
            self.reached.clear();
            return None;
        }
        self.reached.insert(engine);
        if self.reached.len() < ENGINES_UNTIL_CHANGE.min(engines.max(1)) {
            return None;
        }
        *self = Self {
            waiting_calls: self.waiting_calls,
            waiting_since: now,
            ..Self::default()
        };
        Some(LinkChange::Restored {
            after: now.since(since),
        })
    }

    /// Whether the node is cut off from all engines.
    pub fn is_cut_off(&self) -> bool {
        self.cut_off_since.is_some()
    }

    /// Whether kept direct connections may be used. A request that is lost on one may have run.
    pub fn trusts_kept(&self, now: MonotonicTime) -> bool {
        let is_silent = self.waiting_calls > 0 && now.since(self.waiting_since) > SILENCE_LIMIT;
        !self.is_cut_off() && !is_silent && self.broken_kept.len() < ENGINES_UNTIL_CHANGE
    }

    /// Number of engines with evidence of a cut.
    pub fn evidence(&self) -> usize {
        self.failed_opens.len()
    }

    /// Time since the last byte from an engine on a direct connection, while calls wait.
    pub fn silence(&self, now: MonotonicTime) -> Duration {
        now.since(self.waiting_since)
    }
}
