//! What the planner knows of one engine.

use std::time::Duration;

use dalestand_types::{EngineDigest, EngineLoad, GroupId, Incarnation, MonotonicTime, Role};

use crate::demand::Demand;
use crate::speeds::SpeedSample;

/// Shortest time between two reports that are compared.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(100);

/// Time within which a backlog of prompts is meant to be worked off, in seconds.
const BACKLOG_TIME_S: f64 = 5.0;

/// Queued prompt tokens from which an engine is taken never to run short of prompts.
const SATURATING_QUEUE_TOKENS: u64 = 2_000;

/// Longest time that an engine is taken to drain for a change.
const LONGEST_CHANGE: Duration = Duration::from_secs(180);

/// Weight of a new measurement in an engine's rates.
const NEW_RATE_WEIGHT: f64 = 0.5;

/// An engine with its last report and what it was seen to do.
#[derive(Clone, Debug)]
pub(crate) struct EngineState {
    group: GroupId,
    load: EngineLoad,
    reported_at: MonotonicTime,
    accepting: bool,
    /// Since when it has taken no new work.
    refusing_since: Option<MonotonicTime>,
    demand: Demand,
}

impl EngineState {
    /// An engine that has reported once.
    pub(crate) fn new(now: MonotonicTime, group: &GroupId, digest: &EngineDigest) -> Self {
        Self {
            group: group.clone(),
            load: digest.load.clone(),
            reported_at: reported_at(now, digest),
            accepting: digest.accepting,
            refusing_since: (!digest.accepting).then_some(now),
            demand: Demand::default(),
        }
    }

    /// Takes a later report in; yields what the engine did since the last one if it was busy.
    pub(crate) fn update(
        &mut self,
        now: MonotonicTime,
        digest: &EngineDigest,
    ) -> Option<SpeedSample> {
        self.accepting = digest.accepting;
        self.refusing_since = match self.refusing_since {
            _ if digest.accepting => None,
            None => Some(now),
            since => since,
        };
        let load = &digest.load;
        if load.incarnation != self.load.incarnation {
            *self = Self::new(now, &self.group.clone(), digest);
            return None;
        }
        let reported_at = reported_at(now, digest);
        let elapsed = reported_at.since(self.reported_at);
        if load.sequence <= self.load.sequence || elapsed < SHORTEST_INTERVAL {
            return None;
        }
        let role = self.load.role.unwrap_or(Role::Mixed);
        let sample = self.sample(load, role, elapsed.as_secs_f64());
        self.measure_demand(load, &sample);
        let in_role = load.role.is_some() && self.load.role == load.role;
        let busy = self.load.running.min(load.running) > 0 && in_role;
        self.load = load.clone();
        self.reported_at = reported_at;
        busy.then_some(sample)
    }

    fn sample(&self, load: &EngineLoad, role: Role, elapsed_s: f64) -> SpeedSample {
        let run = |now: u64, before: u64| now.saturating_sub(before) as f64;
        let least_queued = self
            .load
            .queued_prefill_tokens
            .min(load.queued_prefill_tokens);
        SpeedSample {
            role,
            elapsed_s,
            prefill_tokens: run(load.prefill_tokens_total, self.load.prefill_tokens_total),
            decode_tokens: run(load.decode_tokens_total, self.load.decode_tokens_total),
            running: f64::from(self.load.running + load.running) / 2.0,
            queued: least_queued >= SATURATING_QUEUE_TOKENS,
        }
    }

    /// Prompt tokens asked for are those run and those by which the queue has grown.
    fn measure_demand(&mut self, load: &EngineLoad, sample: &SpeedSample) {
        let growth = load.queued_prefill_tokens as f64 - self.load.queued_prefill_tokens as f64;
        let offered = (sample.prefill_tokens + growth).max(0.0) / sample.elapsed_s;
        let generated = sample.decode_tokens / sample.elapsed_s;
        let known = &mut self.demand;
        known.prefill_tokens_per_s += NEW_RATE_WEIGHT * (offered - known.prefill_tokens_per_s);
        known.decode_tokens_per_s += NEW_RATE_WEIGHT * (generated - known.decode_tokens_per_s);
    }

    /// Demand that reaches this engine, with its backlog spread over a few seconds.
    pub(crate) fn demand(&self) -> Demand {
        let backlog = self.load.queued_prefill_tokens as f64 / BACKLOG_TIME_S;
        Demand {
            prefill_tokens_per_s: self.demand.prefill_tokens_per_s + backlog,
            decode_tokens_per_s: self.demand.decode_tokens_per_s,
        }
    }

    /// Its group.
    pub(crate) fn group(&self) -> &GroupId {
        &self.group
    }

    /// Its run.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.load.incarnation
    }

    /// The role it reported; `None` while it is out of service.
    pub(crate) fn role(&self) -> Option<Role> {
        self.load.role
    }

    /// Whether it takes new work.
    pub(crate) fn accepting(&self) -> bool {
        self.accepting
    }

    /// Whether it takes no new work and may be about to change its role: a change ends within
    /// minutes, and an engine that refuses for longer is leaving or was drained by an operator.
    pub(crate) fn may_be_draining(&self, now: MonotonicTime) -> bool {
        self.refusing_since
            .is_some_and(|since| now.since(since) < LONGEST_CHANGE)
    }

    /// Requests it holds.
    pub(crate) fn held(&self) -> u32 {
        self.load.running + self.load.waiting
    }

    /// Age of its last report.
    pub(crate) fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.reported_at)
    }
}

fn reported_at(now: MonotonicTime, digest: &EngineDigest) -> MonotonicTime {
    now.saturating_sub(Duration::from_millis(digest.age_ms))
}
