//! The planner's view of one engine.

use std::time::Duration;

use dalestand_types::{EngineDigest, EngineLoad, GroupId, Incarnation, MonotonicTime, Role};

use crate::demand::Demand;
use crate::speeds::SpeedSample;

/// Minimum time between two reports from which rates are computed.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Time in which queued prompts should be processed, in seconds.
const QUEUE_DRAIN_TIME_S: f64 = 5.0;

/// Queue length, in prompt tokens, at which an engine is assumed to prefill without idle time.
const SATURATING_QUEUE_TOKENS: u64 = 2_000;

/// Longest time for which an engine that accepts no new work may be draining for a role change.
const MAX_DRAIN_DURATION: Duration = Duration::from_secs(180);

/// Weight of the latest measurement in the moving averages.
const NEW_RATE_WEIGHT: f64 = 0.5;

/// Last report of an engine and its measured demand.
#[derive(Clone, Debug)]
pub(crate) struct EngineState {
    group: GroupId,
    load: EngineLoad,
    reported_at: MonotonicTime,
    accepting: bool,
    /// Start of the current period without new work.
    not_accepting_since: Option<MonotonicTime>,
    demand: Demand,
}

impl EngineState {
    /// Starts from the first report.
    pub(crate) fn new(now: MonotonicTime, group: &GroupId, digest: &EngineDigest) -> Self {
        Self {
            group: group.clone(),
            load: digest.load.clone(),
            reported_at: reported_at(now, digest),
            accepting: digest.accepting,
            not_accepting_since: (!digest.accepting).then_some(now),
            demand: Demand::default(),
        }
    }

    /// Applies a later report. If the engine was busy since the last one, returns its work as a speed
    /// sample.
    pub(crate) fn update(
        &mut self,
        now: MonotonicTime,
        digest: &EngineDigest,
    ) -> Option<SpeedSample> {
        self.accepting = digest.accepting;
        self.not_accepting_since = match self.not_accepting_since {
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
        if load.sequence <= self.load.sequence || elapsed < MIN_REPORT_INTERVAL {
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
        let increase = |now: u64, before: u64| now.saturating_sub(before) as f64;
        let min_queued = self
            .load
            .queued_prefill_tokens
            .min(load.queued_prefill_tokens);
        SpeedSample {
            role,
            elapsed_s,
            prefill_tokens: increase(load.prefill_tokens_total, self.load.prefill_tokens_total),
            decode_tokens: increase(load.decode_tokens_total, self.load.decode_tokens_total),
            running: f64::from(self.load.running + load.running) / 2.0,
            queued: min_queued >= SATURATING_QUEUE_TOKENS,
        }
    }

    /// Requested prompt tokens are those processed plus the growth of the queue.
    fn measure_demand(&mut self, load: &EngineLoad, sample: &SpeedSample) {
        let growth = load.queued_prefill_tokens as f64 - self.load.queued_prefill_tokens as f64;
        let requested = (sample.prefill_tokens + growth).max(0.0) / sample.elapsed_s;
        let generated = sample.decode_tokens / sample.elapsed_s;
        let average = &mut self.demand;
        average.prefill_tokens_per_s +=
            NEW_RATE_WEIGHT * (requested - average.prefill_tokens_per_s);
        average.decode_tokens_per_s += NEW_RATE_WEIGHT * (generated - average.decode_tokens_per_s);
    }

    /// Demand at this engine, including its queue spread over [`QUEUE_DRAIN_TIME_S`].
    pub(crate) fn demand(&self) -> Demand {
        let queued = self.load.queued_prefill_tokens as f64 / QUEUE_DRAIN_TIME_S;
        Demand {
            prefill_tokens_per_s: self.demand.prefill_tokens_per_s + queued,
            decode_tokens_per_s: self.demand.decode_tokens_per_s,
        }
    }

    pub(crate) fn group(&self) -> &GroupId {
        &self.group
    }

    pub(crate) fn incarnation(&self) -> Incarnation {
        self.load.incarnation
    }

    /// Reported role; `None` while out of service.
    pub(crate) fn role(&self) -> Option<Role> {
        self.load.role
    }

    pub(crate) fn accepting(&self) -> bool {
        self.accepting
    }

    /// Whether the engine may be draining for a role change. An engine without new work for longer than
    /// [`MAX_DRAIN_DURATION`] is leaving or was drained by an operator.
    pub(crate) fn may_be_draining(&self, now: MonotonicTime) -> bool {
        self.not_accepting_since
            .is_some_and(|since| now.since(since) < MAX_DRAIN_DURATION)
    }

    /// Running and waiting requests.
    pub(crate) fn requests(&self) -> u32 {
        self.load.running + self.load.waiting
    }

    pub(crate) fn age(&self, now: MonotonicTime) -> Duration {
        now.since(self.reported_at)
    }
}

fn reported_at(now: MonotonicTime, digest: &EngineDigest) -> MonotonicTime {
    now.saturating_sub(Duration::from_millis(digest.age_ms))
}
