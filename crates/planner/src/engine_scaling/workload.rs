//! Estimates how many engines a pool's requests keep busy.

use std::collections::BTreeMap;

use dalestand_types::MonotonicTime;
use serde::Serialize;

/// Limit on the ratio of arriving to started requests, for classes whose cost per request is unknown. Rejected callers
/// retry, and each retry is counted as another arrival.
const MAX_UNSERVED_RATIO: f64 = 4.0;

/// Rates below this, in requests per second, are too low to compute a ratio from.
const MIN_RATE_PER_S: f64 = 1.0;

/// Slot utilization above which requests queue behind each other, so that their cost cannot be measured.
const MAX_UNCONTENDED_UTILIZATION: f64 = 0.8;

/// Ratio of arriving to started requests up to which all count as served. Both rates are averages over seconds.
const FULLY_SERVED_RATIO: f64 = 1.1;

/// Limit on the estimate under overload, as a multiple of the current engines. Retries of rejected callers cannot
/// inflate it further, and any remaining need shows once the added engines serve.
const MAX_GROWTH_FACTOR: f64 = 2.0;

/// Time constant for smoothing the cost per request, in seconds; longer than a change of mix within a class lasts.
const COST_TIME_CONSTANT_S: f64 = 10.0;

/// Cap on the time between two cost samples, in seconds; a sample after a long gap weighs no more than this.
const MAX_SAMPLE_INTERVAL_S: f64 = 3.0;

/// Load of one request class, summed over all nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct ClassWorkload {
    /// Requests per second that arrived, first attempts only.
    pub asked_per_s: f64,
    /// Requests per second that engines started to answer.
    pub begun_per_s: f64,
    /// Engine slots in use, including those of requests queued at engines.
    pub busy_slots: f64,
    /// Prompt tokens per second prefilled by engines.
    pub prefill_tokens_per_s: f64,
}

impl ClassWorkload {
    fn is_valid(&self) -> bool {
        let figures = [
            self.asked_per_s,
            self.begun_per_s,
            self.busy_slots,
            self.prefill_tokens_per_s,
        ];
        let mut figures = figures.into_iter();
        figures.all(|figure| figure.is_finite() && figure >= 0.0)
    }

    /// Ratio of arriving to started requests, at least 1.
    fn unserved_ratio(&self) -> f64 {
        if self.asked_per_s < MIN_RATE_PER_S {
            return 1.0;
        }
        let begun = self.begun_per_s.max(MIN_RATE_PER_S);
        (self.asked_per_s / begun).clamp(1.0, MAX_UNSERVED_RATIO)
    }
}

/// Load and capacity of a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolWorkload {
    /// Load by request priority.
    pub classes: BTreeMap<u8, ClassWorkload>,
    /// Learned time to prefill one token, in seconds.
    pub prefill_token_s: f64,
    /// Slots of all engines that accept new requests.
    pub slots: f64,
    /// Engines that accept new requests.
    pub engines: f64,
}

impl PoolWorkload {
    /// Sum over all classes.
    pub fn total(&self) -> ClassWorkload {
        let mut total = ClassWorkload::default();
        for class in self.classes.values() {
            total.asked_per_s += class.asked_per_s;
            total.begun_per_s += class.begun_per_s;
            total.busy_slots += class.busy_slots;
            total.prefill_tokens_per_s += class.prefill_tokens_per_s;
        }
        total
    }

    /// Engines kept busy by `load`: by its slots for generation, and by its tokens for prefill.
    fn busy_engines(&self, load: &ClassWorkload) -> f64 {
        let generating = (load.busy_slots / self.slots).min(1.0) * self.engines;
        let prefilling = (load.prefill_tokens_per_s * self.prefill_token_s).min(self.engines);
        generating + prefilling
    }

    /// Whether slots are free, so that requests do not wait for each other. Requests rejected in this state are not
    /// rejected for lack of engines.
    fn is_uncontended(&self) -> bool {
        self.total().busy_slots <= self.slots * MAX_UNCONTENDED_UTILIZATION
    }

    fn is_valid(&self) -> bool {
        let is_time = self.prefill_token_s.is_finite() && self.prefill_token_s >= 0.0;
        is_time
            && self.engines >= 1.0
            && self.slots >= 1.0
            && self.classes.values().all(ClassWorkload::is_valid)
    }
}

/// Learns the cost of a request by class, in engine seconds, while the pool serves all requests.
#[derive(Clone, Debug, Default)]
pub struct RequestCost {
    cost_s: BTreeMap<u8, f64>,
    sampled_at: Option<MonotonicTime>,
}

impl RequestCost {
    /// Number of engines that would be fully busy if every arriving request were served. `None` if the pool has no
    /// engine or a figure is invalid.
    pub fn engines_needed(&mut self, now: MonotonicTime, work: &PoolWorkload) -> Option<f64> {
        if !work.is_valid() {
            return None;
        }
        let busy = work.busy_engines(&work.total());
        if work.is_uncontended() {
            if work.total().unserved_ratio() <= FULLY_SERVED_RATIO {
                self.learn(now, work);
            }
            return Some(busy);
        }
        // Busy slots are capped by the capacity under overload, so the estimate uses arrivals and learned costs.
        let arriving = work.classes.iter().map(|(class, load)| {
            let learned = self.cost_s.get(class);
            learned.map_or_else(
                || work.busy_engines(load) * load.unserved_ratio(),
                |cost_s| cost_s * load.asked_per_s,
            )
        });
        Some(
            arriving
                .sum::<f64>()
                .max(busy)
                .min(work.engines * MAX_GROWTH_FACTOR),
        )
    }

    fn learn(&mut self, now: MonotonicTime, work: &PoolWorkload) {
        let elapsed = now.since(self.sampled_at.unwrap_or(now));
        let elapsed_s = elapsed.as_secs_f64().min(MAX_SAMPLE_INTERVAL_S);
        self.sampled_at = Some(now);
        let gain = 1.0 - (-elapsed_s / COST_TIME_CONSTANT_S).exp();
        for (class, load) in &work.classes {
            if load.begun_per_s >= MIN_RATE_PER_S {
                let sample_s = work.busy_engines(load) / load.begun_per_s;
                let cost_s = self.cost_s.entry(*class).or_insert(sample_s);
                *cost_s += gain * (sample_s - *cost_s);
            }
        }
    }
}
