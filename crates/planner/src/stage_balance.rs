//! How many engines of a pool only prefill, and which one changes next.
//!
//! Where the outside system gives every engine one of two stages, a prefill engine and a decode engine
//! each have a load of their own. The best share of prefill engines grows with the
//! square root of the ratio of the two demands: queues grow with load, and the square root evens
//! out what one more engine saves on either side. A change costs the engine for some time, so the
//! lean must last and changes are spaced.

use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Prefilling at a decode engine takes this multiple of the work.
const COLOCATED_FACTOR: f64 = 2.0;

/// Largest share of prefill engines: decoding takes time that is not counted in prompt tokens.
const LARGEST_PREFILL_SHARE: f64 = 0.8;

/// What a pool is asked for, over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageDemand {
    /// Prompt tokens a second that are best prefilled at an engine of their own.
    pub disaggregated_tokens_per_s: f64,
    /// Prompt tokens a second that are read where they are answered.
    pub colocated_tokens_per_s: f64,
}

/// Mean time until what is queued at the engines of a stage is read, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageQueueTimes {
    /// At prefill engines.
    pub prefill_s: f64,
    /// At decode engines.
    pub decode_s: f64,
}

/// Share of what the engines of a stage could do that they are asked for, 0 to 1 and above.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageUtilization {
    /// Of prefill engines: the engines that the demand keeps reading, over all.
    pub prefill: f64,
    /// Of decode engines: the same, or the requests there over all slots if that is more.
    pub decode: f64,
}

/// Engines by what they do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageCounts {
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
}

/// What is to change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageChange {
    /// A decode engine is to prefill.
    ToPrefill,
    /// A prefill engine is to decode.
    ToDecode,
}

/// A change, and of how many engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageRebalance {
    /// What changes.
    pub change: StageChange,
    /// Engines that are to make it now.
    pub engines: usize,
}

/// When changes are made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageBalancerConfig {
    /// A stage whose queue takes longer gives no engine away, in seconds.
    pub short_queue_s: f64,
    /// The lean must be this many engines.
    pub lean_engines: f64,
    /// Share of the lean that changes at once. The lean follows from a demand that is a mean over
    /// seconds, and what is under way shows late; so it is made good in steps that shrink with it, and
    /// after ten steps a quarter of it is left. Below so many engines they change one by one.
    pub step_share: f64,
    /// A stage in less use than this gains nothing from another engine, and a change has its price.
    /// Where each engine reads one prompt at a time, a prompt that has no choice waits for 6 in 100 of a
    /// reading (a queue with one server and constant service); with a choice of engines, for less.
    pub idle_use: f64,
    /// The lean must last this long.
    pub lean_lasts: Duration,
    /// Pause between two changes in one direction.
    pub pause: Duration,
    /// Pause between two changes in opposite directions.
    pub pause_to_reverse: Duration,
}

impl Default for StageBalancerConfig {
    fn default() -> Self {
        Self {
            short_queue_s: 0.1,
            lean_engines: 1.0,
            step_share: 1.0 / 8.0,
            idle_use: 0.1,
            lean_lasts: Duration::from_millis(1_500),
            pause: Duration::from_millis(1_500),
            pause_to_reverse: Duration::from_secs(20),
        }
    }
}

/// Decides for one pool.
#[derive(Clone, Debug)]
pub struct StageBalancer {
    config: StageBalancerConfig,
    leaning: Option<(StageChange, MonotonicTime)>,
    changed: Option<(StageChange, MonotonicTime)>,
}

impl StageBalancer {
    /// A balance that has changed nothing.
    pub fn new(config: StageBalancerConfig) -> Self {
        Self {
            config,
            leaning: None,
            changed: None,
        }
    }

    /// The change that is due now. At least one engine of each stage stays.
    pub fn decide(
        &mut self,
        now: MonotonicTime,
        demand: &StageDemand,
        counts: StageCounts,
        queues: StageQueueTimes,
        in_use: StageUtilization,
    ) -> Option<StageRebalance> {
        let wanted = self.wanted(demand, counts, queues);
        let wanted = wanted.filter(|shift| !self.is_idle(shift.change, in_use));
        let Some(shift) = wanted else {
            self.leaning = None;
            return None;
        };
        let since = match self.leaning {
            Some((leaning, since)) if leaning == shift.change => since,
            _ => {
                self.leaning = Some((shift.change, now));
                now
            }
        };
        let lasted = now.since(since) >= self.config.lean_lasts;
        (lasted && self.pause_is_over(now, shift.change)).then_some(shift)
    }

    /// Whether the stage that would gain an engine is hardly used.
    fn is_idle(&self, change: StageChange, in_use: StageUtilization) -> bool {
        let gaining = match change {
            StageChange::ToPrefill => in_use.prefill,
            StageChange::ToDecode => in_use.decode,
        };
        gaining < self.config.idle_use
    }

    /// The change that the demand speaks for and no queue speaks against. Demand is a mean over
    /// seconds and lags a shift, which queues show at once: a stage with a queue gives no engine away.
    fn wanted(
        &self,
        demand: &StageDemand,
        counts: StageCounts,
        queues: StageQueueTimes,
    ) -> Option<StageRebalance> {
        let lean = wanted_prefill(demand, counts)? - counts.prefill as f64;
        let may_give =
            |engines: usize, queue_s: f64| engines > 1 && queue_s <= self.config.short_queue_s;
        let change = if lean >= self.config.lean_engines {
            may_give(counts.decode, queues.decode_s).then_some(StageChange::ToPrefill)
        } else if lean <= -self.config.lean_engines {
            may_give(counts.prefill, queues.prefill_s).then_some(StageChange::ToDecode)
        } else {
            None
        }?;
        let given = match change {
            StageChange::ToPrefill => counts.decode,
            StageChange::ToDecode => counts.prefill,
        };
        let step = (lean.abs() * self.config.step_share) as usize;
        Some(StageRebalance {
            change,
            engines: step.clamp(1, given - 1),
        })
    }

    /// Notes that a change was ordered.
    pub fn record_order(&mut self, now: MonotonicTime, change: StageChange) {
        self.changed = Some((change, now));
    }

    fn pause_is_over(&self, now: MonotonicTime, change: StageChange) -> bool {
        let Some((last, at)) = self.changed else {
            return true;
        };
        let pause = if last == change {
            self.config.pause
        } else {
            self.config.pause_to_reverse
        };
        now.since(at) >= pause
    }
}

/// The number of prefill engines that suits the demand; `None` without demand.
fn wanted_prefill(demand: &StageDemand, counts: StageCounts) -> Option<f64> {
    let prefill = demand.disaggregated_tokens_per_s.sqrt();
    let decode = (demand.colocated_tokens_per_s * COLOCATED_FACTOR).sqrt();
    let all = (counts.prefill + counts.decode) as f64;
    let weight = prefill + decode;
    let share = (prefill / weight).min(LARGEST_PREFILL_SHARE);
    (weight > 0.0).then_some(all * share)
}
