//! Demand for prompt prefill in tokens per second, by where the prompts are best prefilled.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_planner::StageDemand;
use dalestand_routing::staged::LoadSource;
use dalestand_types::{MonotonicTime, PoolName};

/// Window over which the token rate is averaged.
const RATE_WINDOW: Duration = Duration::from_secs(6);

/// A report counts for this long; reports arrive once a second.
const REPORT_VALIDITY: Duration = Duration::from_secs(3);

/// Where a prompt is best prefilled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PrefillPlace {
    /// On a separate prefill engine.
    Disaggregated,
    /// On the engine that decodes the answer.
    Colocated,
}

#[derive(Clone, Copy, Debug)]
struct PromptArrival {
    at: MonotonicTime,
    place: PrefillPlace,
    tokens: u32,
}

/// Prefill demand measured at this node and reported by other nodes.
#[derive(Debug, Default)]
pub(crate) struct DemandMeter {
    local: HashMap<PoolName, VecDeque<PromptArrival>>,
    reported: HashMap<(LoadSource, PoolName), (StageDemand, MonotonicTime)>,
}

impl DemandMeter {
    /// Records a prompt that arrived at this node.
    pub(crate) fn record(
        &mut self,
        at: MonotonicTime,
        pool: &PoolName,
        place: PrefillPlace,
        tokens: u32,
    ) {
        let arrivals = self.local.entry(pool.clone()).or_default();
        arrivals.push_back(PromptArrival { at, place, tokens });
    }

    /// Demand at this node, by pool.
    pub(crate) fn local(&mut self, now: MonotonicTime) -> Vec<(PoolName, StageDemand)> {
        for arrivals in self.local.values_mut() {
            while arrivals
                .front()
                .is_some_and(|arrival| now.since(arrival.at) > RATE_WINDOW)
            {
                arrivals.pop_front();
            }
        }
        self.local.retain(|_, arrivals| !arrivals.is_empty());
        let pools = self.local.iter();
        pools
            .map(|(pool, arrivals)| (pool.clone(), rate(now, arrivals)))
            .collect()
    }

    /// Stores the demand that a source reported.
    pub(crate) fn set_reported(
        &mut self,
        now: MonotonicTime,
        source: LoadSource,
        pool: PoolName,
        demand: StageDemand,
    ) {
        self.reported.insert((source, pool), (demand, now));
    }

    /// Sum of the demand at this node and at the sources for which `counts` is true, by pool.
    pub(crate) fn sum_of(
        &mut self,
        now: MonotonicTime,
        counts: impl Fn(LoadSource) -> bool,
    ) -> HashMap<PoolName, StageDemand> {
        self.reported
            .retain(|_, (_, reported_at)| now.since(*reported_at) < REPORT_VALIDITY);
        let mut sums: HashMap<PoolName, StageDemand> = self.local(now).into_iter().collect();
        let counted = self.reported.iter();
        for ((_, pool), (demand, _)) in counted.filter(|((source, _), _)| counts(*source)) {
            let sum = sums.entry(pool.clone()).or_default();
            sum.disaggregated_tokens_per_s += demand.disaggregated_tokens_per_s;
            sum.colocated_tokens_per_s += demand.colocated_tokens_per_s;
        }
        sums
    }

    /// Demand for a pool, summed over all nodes.
    pub(crate) fn total(&mut self, now: MonotonicTime, pool: &PoolName) -> StageDemand {
        let sums = self.sum_of(now, |_| true);
        sums.get(pool).copied().unwrap_or_default()
    }
}

fn rate(now: MonotonicTime, arrivals: &VecDeque<PromptArrival>) -> StageDemand {
    // A node that has just started has observed less than a full window.
    let observed = RATE_WINDOW.min(now.since(MonotonicTime::ZERO));
    let observed_s = observed.as_secs_f64().max(1.0);
    let mut demand = StageDemand::default();
    for arrival in arrivals {
        let per_s = f64::from(arrival.tokens) / observed_s;
        match arrival.place {
            PrefillPlace::Disaggregated => demand.disaggregated_tokens_per_s += per_s,
            PrefillPlace::Colocated => demand.colocated_tokens_per_s += per_s,
        }
    }
    demand
}
