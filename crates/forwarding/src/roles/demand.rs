//! Prompt tokens that callers ask for, by where they are best prefilled.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_planner::StageDemand;
use dalestand_routing::staged::LoadSource;
use dalestand_types::{MonotonicTime, PoolName};

/// Time over which demand is taken.
const WINDOW: Duration = Duration::from_secs(6);

/// A report counts for this long; it comes once a second.
const REPORT_COUNTS: Duration = Duration::from_secs(3);

/// Where the tokens of a prompt are best read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PrefillPlace {
    /// At an engine that only reads.
    Disaggregated,
    /// Where they are answered.
    Colocated,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    at: MonotonicTime,
    place: PrefillPlace,
    tokens: u32,
}

/// Demand at this node and, as they reported, at others.
#[derive(Debug, Default)]
pub(crate) struct DemandMeter {
    own: HashMap<PoolName, VecDeque<Asked>>,
    reported: HashMap<(LoadSource, PoolName), (StageDemand, MonotonicTime)>,
}

impl DemandMeter {
    /// Notes a prompt.
    pub(crate) fn record(
        &mut self,
        at: MonotonicTime,
        pool: &PoolName,
        place: PrefillPlace,
        tokens: u32,
    ) {
        let asked = self.own.entry(pool.clone()).or_default();
        asked.push_back(Asked { at, place, tokens });
    }

    /// Demand at this node, by pool.
    pub(crate) fn own(&mut self, now: MonotonicTime) -> Vec<(PoolName, StageDemand)> {
        for asked in self.own.values_mut() {
            while asked.front().is_some_and(|one| now.since(one.at) > WINDOW) {
                asked.pop_front();
            }
        }
        self.own.retain(|_, asked| !asked.is_empty());
        let pools = self.own.iter();
        pools
            .map(|(pool, asked)| (pool.clone(), rate(now, asked)))
            .collect()
    }

    /// Notes what a source reported.
    pub(crate) fn set_reported(
        &mut self,
        now: MonotonicTime,
        source: LoadSource,
        pool: PoolName,
        demand: StageDemand,
    ) {
        self.reported.insert((source, pool), (demand, now));
    }

    /// Demand at this node and at the sources that `counts` names, by pool.
    pub(crate) fn sum_of(
        &mut self,
        now: MonotonicTime,
        counts: impl Fn(LoadSource) -> bool,
    ) -> HashMap<PoolName, StageDemand> {
        self.reported
            .retain(|_, (_, reported_at)| now.since(*reported_at) < REPORT_COUNTS);
        let mut sums: HashMap<PoolName, StageDemand> = self.own(now).into_iter().collect();
        let counted = self.reported.iter();
        for ((_, pool), (demand, _)) in counted.filter(|((source, _), _)| counts(*source)) {
            let sum = sums.entry(pool.clone()).or_default();
            sum.disaggregated_tokens_per_s += demand.disaggregated_tokens_per_s;
            sum.colocated_tokens_per_s += demand.colocated_tokens_per_s;
        }
        sums
    }

    /// Demand for a pool at all nodes.
    pub(crate) fn total(&mut self, now: MonotonicTime, pool: &PoolName) -> StageDemand {
        let sums = self.sum_of(now, |_| true);
        sums.get(pool).copied().unwrap_or_default()
    }
}

fn rate(now: MonotonicTime, asked: &VecDeque<Asked>) -> StageDemand {
    // A node that has just started has seen less than a window.
    let seen = WINDOW.min(now.since(MonotonicTime::ZERO));
    let seen_s = seen.as_secs_f64().max(1.0);
    let mut demand = StageDemand::default();
    for one in asked {
        let per_s = f64::from(one.tokens) / seen_s;
        match one.place {
            PrefillPlace::Disaggregated => demand.disaggregated_tokens_per_s += per_s,
            PrefillPlace::Colocated => demand.colocated_tokens_per_s += per_s,
        }
    }
    demand
}
