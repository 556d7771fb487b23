//! Balances prefill and decode engines of a pool.
//!
//! Prefill engines run the prompts of disaggregated requests. Decode engines generate output and run
//! the prompts of colocated requests. Engines are split in proportion to the square roots of the two
//! prompt demands, at which one more engine saves the same queueing time on either side. A change
//! takes an engine out of service for a while, so an imbalance must persist before engines change,
//! and changes are spaced in time.

use std::time::Duration;

use dalestand_types::MonotonicTime;

/// Cost of prefilling a prompt on a decode engine, relative to a prefill engine.
const COLOCATED_PREFILL_COST: f64 = 2.0;

/// Maximum fraction of prefill engines. The rest is reserved for decoding, which is not part of the
/// demand in prompt tokens.
const MAX_PREFILL_SHARE: f64 = 0.8;

/// Prompt demand of a pool, summed over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageDemand {
    /// Prompt tokens per second to prefill on prefill engines.
    pub disaggregated_tokens_per_s: f64,
    /// Prompt tokens per second to prefill on the decode engine that generates the answer.
    pub colocated_tokens_per_s: f64,
}

/// Mean time needed to prefill the prompts queued at an engine, by stage, in seconds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct StageQueueTimes {
    /// At prefill engines, in seconds.
    pub prefill_s: f64,
    /// At decode engines, in seconds.
    pub decode_s: f64,
}

/// Utilization of the engines of each stage; above 1 under overload.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageUtilization {
    /// Prefill engines: prefill time demanded per second and engine.
    pub prefill: f64,
    /// Decode engines: prefill time demanded per second and engine, or the fraction of slots in use,
    /// whichever is higher.
    pub decode: f64,
}

/// Engines by stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageCounts {
    /// Prefill engines.
    pub prefill: usize,
    /// Decode engines.
    pub decode: usize,
}

/// Direction of a stage change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StageChange {
    /// From decode to prefill.
    ToPrefill,
    /// From prefill to decode.
    ToDecode,
}

/// Engines to change now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StageRebalance {
    /// Direction of the change.
    pub change: StageChange,
    /// Number of engines to change.
    pub engines: usize,
}

/// Conditions and limits for changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct StageBalancerConfig {
    /// Longest queue time of a stage that may give engines away, in seconds.
    pub max_donor_queue_s: f64,
    /// Smallest imbalance to correct, in engines.
    pub min_imbalance: f64,
    /// Fraction of the imbalance to correct per step, at least one engine. Demand is averaged over
    /// seconds and pending changes become visible late, so larger steps would overshoot.
    pub step_share: f64,
    /// Utilization below which a stage gets no further engine: prompts hardly queue there.
    pub min_utilization: f64,
    /// How long an imbalance must persist.
    pub min_imbalance_duration: Duration,
    /// Pause between two changes in the same direction.
    pub pause: Duration,
    /// Pause between two changes in opposite directions.
    pub pause_to_reverse: Duration,
}

impl Default for StageBalancerConfig {
    fn default() -> Self {
        Self {
            max_donor_queue_s: 0.1,
            min_imbalance: 1.0,
            step_share: 1.0 / 8.0,
            min_utilization: 0.1,
            min_imbalance_duration: Duration::from_millis(1_500),
            pause: Duration::from_millis(1_500),
            pause_to_reverse: Duration::from_secs(20),
        }
    }
}

/// Decides the stage changes of one pool.
#[derive(Clone, Debug)]
pub struct StageBalancer {
    config: StageBalancerConfig,
    imbalanced_since: Option<(StageChange, MonotonicTime)>,
    last_change: Option<(StageChange, MonotonicTime)>,
}

impl StageBalancer {
    /// A balancer without any change so far.
    pub fn new(config: StageBalancerConfig) -> Self {
        Self {
            config,
            imbalanced_since: None,
            last_change: None,
        }
    }

    /// Returns the change that is due now, if any. At least one engine of each stage is kept.
    pub fn decide(
        &mut self,
        now: MonotonicTime,
        demand: &StageDemand,
        counts: StageCounts,
        queues: StageQueueTimes,
        utilization: StageUtilization,
    ) -> Option<StageRebalance> {
        let rebalance = self.wanted_rebalance(demand, counts, queues);
        let rebalance =
            rebalance.filter(|rebalance| !self.is_underutilized(rebalance.change, utilization));
        let Some(rebalance) = rebalance else {
            self.imbalanced_since = None;
            return None;
        };
        let since = match self.imbalanced_since {
            Some((direction, since)) if direction == rebalance.change => since,
            _ => {
                self.imbalanced_since = Some((rebalance.change, now));
                now
            }
        };
        let has_persisted = now.since(since) >= self.config.min_imbalance_duration;
        (has_persisted && self.pause_is_over(now, rebalance.change)).then_some(rebalance)
    }

    /// Whether the stage that would gain engines has a low utilization.
    fn is_underutilized(&self, change: StageChange, utilization: StageUtilization) -> bool {
        let gaining = match change {
            StageChange::ToPrefill => utilization.prefill,
            StageChange::ToDecode => utilization.decode,
        };
        gaining < self.config.min_utilization
    }

    /// The change that corrects the imbalance, unless the stage that would lose engines has a queue.
    /// Queues show a shift of load at once, while the demand is averaged over seconds.
    fn wanted_rebalance(
        &self,
        demand: &StageDemand,
        counts: StageCounts,
        queues: StageQueueTimes,
    ) -> Option<StageRebalance> {
        let imbalance = target_prefill(demand, counts)? - counts.prefill as f64;
        let may_give =
            |engines: usize, queue_s: f64| engines > 1 && queue_s <= self.config.max_donor_queue_s;
        let change = if imbalance >= self.config.min_imbalance {
            may_give(counts.decode, queues.decode_s).then_some(StageChange::ToPrefill)
        } else if imbalance <= -self.config.min_imbalance {
            may_give(counts.prefill, queues.prefill_s).then_some(StageChange::ToDecode)
        } else {
            None
        }?;
        let donors = match change {
            StageChange::ToPrefill => counts.decode,
            StageChange::ToDecode => counts.prefill,
        };
        let step = (imbalance.abs() * self.config.step_share) as usize;
        Some(StageRebalance {
            change,
            engines: step.clamp(1, donors - 1),
        })
    }

    /// Records that a change was ordered.
    pub fn record_order(&mut self, now: MonotonicTime, change: StageChange) {
        self.last_change = Some((change, now));
    }

    fn pause_is_over(&self, now: MonotonicTime, change: StageChange) -> bool {
        let Some((last, at)) = self.last_change else {
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

/// Target number of prefill engines; `None` without demand.
fn target_prefill(demand: &StageDemand, counts: StageCounts) -> Option<f64> {
    let prefill = demand.disaggregated_tokens_per_s.sqrt();
    let decode = (demand.colocated_tokens_per_s * COLOCATED_PREFILL_COST).sqrt();
    let all = (counts.prefill + counts.decode) as f64;
    let weight = prefill + decode;
    let share = (prefill / weight).min(MAX_PREFILL_SHARE);
    (weight > 0.0).then_some(all * share)
}
