//! Detects whether a pool is short of capacity, and estimates the capacity from throughput and failed attempts.
//!
//! The estimate needs no configured or nominal speed of the engines, so it follows engines that start, stop or slow
//! down.

use std::collections::VecDeque;
use std::time::Duration;

use dalestand_types::MonotonicTime;

use crate::class_meter::RATE_TIME_CONSTANT_S;
use crate::figures::WorkRate;

/// Fraction of failed attempts above which a pool is short of capacity. Above it, a caller that
/// tries twice is refused both times more than once in 400 requests.
const MAX_FAILED_FRACTION: f64 = 0.05;

/// Largest fraction by which the estimate exceeds the current throughput: reached while no attempt fails, so that new
/// engines are put to use.
const MAX_GROWTH: f64 = 0.5;

/// Smallest estimate, as a fraction of the highest throughput since the pool became short. Attempts may also fail for
/// other reasons than load.
const MIN_CAPACITY_FRACTION: f64 = 0.5;

/// Period over which failed attempts are counted. Over a longer one, failures from before tenants were limited would
/// keep the estimate low.
const ATTEMPT_WINDOW: Duration = Duration::from_secs(1);

/// Fraction of a pool's slots in use from which slots count as its bottleneck.
const BUSY_SLOTS_FRACTION: f64 = 0.9;

/// The resource that limits a pool, in which demand and capacity are measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum CapacityUnit {
    /// Engine slots in use, on average.
    #[default]
    SlotTime,
    /// Prompt tokens prefilled per second.
    PromptTokens,
}

impl CapacityUnit {
    /// The unit of a pool with `slots` slots, of which `busy_slots` are in use.
    pub fn of_pool(serves_prompts: bool, busy_slots: f64, slots: f64) -> Self {
        if serves_prompts && busy_slots < slots * BUSY_SLOTS_FRACTION {
            Self::PromptTokens
        } else {
            Self::SlotTime
        }
    }

    /// Whether a pool has idle slots and is limited by nothing else. Refusals are then due to bursts at single engines,
    /// and another engine can take the request. Always false for pools that serve prompts, which prefill may limit.
    pub fn has_idle_slots(serves_prompts: bool, busy_slots: f64, slots: f64) -> bool {
        !serves_prompts && busy_slots < slots * BUSY_SLOTS_FRACTION
    }

    pub(super) fn amount(self, work: WorkRate) -> f64 {
        f64::from(match self {
            Self::SlotTime => work.slots,
            Self::PromptTokens => work.prompt_tokens_per_s,
        })
    }
}

/// Rates of attempts at a pool, over all nodes, averaged over the last seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct AttemptRates {
    /// Requests per second that engines began to serve.
    pub begun_per_s: f64,
    /// Requests per second that no engine accepted. Calls that one engine refused and another accepted do not count,
    /// because they also depend on the choice of engine.
    pub failed_per_s: f64,
    /// Whether the pool has idle slots; see [`CapacityUnit::has_idle_slots`].
    pub has_idle_slots: bool,
}

impl AttemptRates {
    /// The rates without the events that `earlier` contains. Those are the rates `elapsed` ago and have decayed since.
    fn since(self, earlier: Self, elapsed: Duration) -> Self {
        let kept = (-elapsed.as_secs_f64() / RATE_TIME_CONSTANT_S).exp();
        Self {
            begun_per_s: (self.begun_per_s - earlier.begun_per_s * kept).max(0.0),
            failed_per_s: (self.failed_per_s - earlier.failed_per_s * kept).max(0.0),
            has_idle_slots: self.has_idle_slots,
        }
    }

    fn failed_fraction(self) -> f64 {
        let all = self.begun_per_s + self.failed_per_s;
        if all > 0.0 {
            self.failed_per_s / all
        } else {
            0.0
        }
    }

    /// Estimated capacity as a multiple of the throughput: larger the fewer attempts fail, and largest while slots are
    /// idle. Otherwise a few refusing engines could keep a tenant limited forever, because requests of a limited tenant
    /// try only one engine.
    fn growth(self) -> f64 {
        if self.has_idle_slots {
            return 1.0 + MAX_GROWTH;
        }
        1.0 + MAX_GROWTH * (1.0 - self.failed_fraction() / MAX_FAILED_FRACTION).max(0.0)
    }
}

/// Tracks whether a pool is short of capacity.
#[derive(Clone, Debug, Default)]
pub struct ShortageDetector {
    /// Attempt rates observed within [`ATTEMPT_WINDOW`].
    observed: VecDeque<(MonotonicTime, AttemptRates)>,
    /// Highest throughput since the pool became short; `None` while it is not.
    peak_throughput: Option<f64>,
}

impl ShortageDetector {
    /// Estimated capacity in units per second; `None` if the pool is not short. `throughput` is what engines serve now.
    pub fn capacity(
        &mut self,
        now: MonotonicTime,
        attempts: AttemptRates,
        throughput: f64,
    ) -> Option<f64> {
        let recent = self.recent_attempts(now, attempts);
        // Without any throughput there is nothing to estimate the capacity from.
        if throughput <= 0.0 {
            self.end();
            return None;
        }
        let is_short =
            self.peak_throughput.is_some() || recent.failed_fraction() > MAX_FAILED_FRACTION;
        if !is_short {
            return None;
        }
        let peak = self
            .peak_throughput
            .map_or(throughput, |peak| peak.max(throughput));
        self.peak_throughput = Some(peak);
        Some((throughput * recent.growth()).max(peak * MIN_CAPACITY_FRACTION))
    }

    /// Records that the capacity suffices for all demand.
    pub fn end(&mut self) {
        self.peak_throughput = None;
    }

    /// The rates over the last [`ATTEMPT_WINDOW`], from rates averaged over a longer time.
    fn recent_attempts(&mut self, now: MonotonicTime, attempts: AttemptRates) -> AttemptRates {
        let is_old =
            |observed: &(MonotonicTime, AttemptRates)| now.since(observed.0) > ATTEMPT_WINDOW;
        while self.observed.front().is_some_and(is_old) {
            self.observed.pop_front();
        }
        let oldest = self.observed.front().copied();
        self.observed.push_back((now, attempts));
        match oldest {
            Some((at, earlier)) => attempts.since(earlier, now.since(at)),
            None => attempts,
        }
    }
}
