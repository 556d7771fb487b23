//! Prompt tokens that callers ask for, by whether they are worth reading apart.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use dalestand_planner::StageDemand;
use dalestand_types::{MonotonicTime, PoolName};

/// Time over which demand is taken.
const WINDOW: Duration = Duration::from_secs(6);

/// What a peer told counts for this long.
const PEER_DEMAND_COUNTS: Duration = Duration::from_secs(3);

/// Where the tokens of a prompt are best read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadingPlace {
    /// At an engine that only reads.
    Apart,
    /// Where they are answered.
    Beside,
}

#[derive(Clone, Copy, Debug)]
struct Asked {
    at: MonotonicTime,
    place: ReadingPlace,
    tokens: u32,
}

/// Demand at this node and, as they told, at its peers.
#[derive(Debug, Default)]
pub(crate) struct DemandMeter {
    own: HashMap<PoolName, VecDeque<Asked>>,
    peers: HashMap<(u64, PoolName), (StageDemand, MonotonicTime)>,
}

impl DemandMeter {
    /// Notes a prompt.
    pub(crate) fn note(
        &mut self,
        at: MonotonicTime,
        pool: &PoolName,
        place: ReadingPlace,
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

    /// Notes what a peer told.
    pub(crate) fn peer_told(
        &mut self,
        now: MonotonicTime,
        peer: u64,
        pool: PoolName,
        demand: StageDemand,
    ) {
        self.peers.insert((peer, pool), (demand, now));
    }

    /// Demand for a pool at all nodes.
    pub(crate) fn total(&mut self, now: MonotonicTime, pool: &PoolName) -> StageDemand {
        self.peers
            .retain(|_, (_, told_at)| now.since(*told_at) < PEER_DEMAND_COUNTS);
        let own = self.own(now);
        let own = own.iter().filter(|(name, _)| name == pool);
        let peers = self.peers.iter().filter(|((_, name), _)| name == pool);
        let told = peers.map(|(_, (demand, _))| demand);
        let mut total = StageDemand::default();
        for demand in own.map(|(_, demand)| demand).chain(told) {
            total.apart_tokens_per_s += demand.apart_tokens_per_s;
            total.beside_tokens_per_s += demand.beside_tokens_per_s;
        }
        total
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
            ReadingPlace::Apart => demand.apart_tokens_per_s += per_s,
            ReadingPlace::Beside => demand.beside_tokens_per_s += per_s,
        }
    }
    demand
}
