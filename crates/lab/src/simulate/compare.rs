//! All policies on the same requests.

use dalestand_planner::Composition;
use serde::Serialize;

use super::fleet::Fleet;
use super::oracle;
use super::outcome::PolicyResult;
use super::policy::Policy;
use super::scenario::Scenario;
use super::workload::{OfferedRequest, offered_requests};
use super::world;

/// Runs of one policy at the same time.
const WORKERS: usize = 4;

/// Most fixed splits that are tried for the best one.
const MOST_SPLITS: usize = 24;

/// Requests above which fewer splits are tried.
const LARGE_RUN: usize = 150_000;

/// Fixed splits tried in a large run.
const LARGE_RUN_SPLITS: usize = 5;

/// The results of one scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// The scenario.
    pub scenario: String,
    /// The seed.
    pub seed: u64,
    /// Length of the phases, in seconds.
    pub duration_s: f64,
    /// Requests offered.
    pub offered: usize,
    /// The policies.
    pub policies: Vec<PolicyResult>,
}

/// Runs every policy.
pub fn compare(scenario: &Scenario, seed: u64) -> Comparison {
    let fleet = Fleet::new(scenario);
    let offered = offered_requests(scenario, seed);
    let run = |policy: &Policy| world::run(scenario, &fleet, &offered, seed, *policy);
    let simple = [Policy::ROUND_ROBIN, Policy::LEAST_LOADED];
    let mut policies = in_parallel(&simple, run);
    policies.push(best_split(scenario, &fleet, &offered, seed));
    policies.extend(in_parallel(&[Policy::THRESHOLD], run));
    policies.push(oracle::bound(scenario, &offered));
    policies.extend(in_parallel(&[Policy::DALESTAND], run));
    Comparison {
        scenario: scenario.name.clone(),
        seed,
        duration_s: scenario.duration_s(),
        offered: offered.len(),
        policies,
    }
}

/// The fixed split that turns out best, known only afterwards.
fn best_split(
    scenario: &Scenario,
    fleet: &Fleet,
    offered: &[OfferedRequest],
    seed: u64,
) -> PolicyResult {
    let most = if offered.len() > LARGE_RUN {
        LARGE_RUN_SPLITS
    } else {
        MOST_SPLITS
    };
    let splits: Vec<Policy> = splits(scenario, most)
        .into_iter()
        .map(Policy::fixed)
        .collect();
    let results = in_parallel(&splits, |policy| {
        world::run(scenario, fleet, offered, seed, *policy)
    });
    let best = results.into_iter().reduce(|best, other| {
        if other.goodput_share > best.goodput_share {
            other
        } else {
            best
        }
    });
    best.unwrap_or_else(|| world::run(scenario, fleet, offered, seed, Policy::ROUND_ROBIN))
}

/// Splits of the first pool that may be split, evenly chosen among all if there are many.
fn splits(scenario: &Scenario, most: usize) -> Vec<Composition> {
    let pool = scenario.pools.iter().find(|pool| pool.roles.len() > 1);
    let Some(pool) = pool else {
        return vec![Composition::default()];
    };
    let engines = pool.engines.values().sum();
    let all = Composition::all(engines, &pool.roles);
    let pure = all
        .iter()
        .filter(|split| split.mixed == 0 || split.mixed == engines || split.decode == 0)
        .copied();
    let others = all.iter().copied();
    let wanted: Vec<Composition> = if all.len() <= most {
        others.collect()
    } else {
        pure.collect()
    };
    let step = wanted.len().div_ceil(most).max(1);
    wanted.into_iter().step_by(step).collect()
}

/// Runs each item on one of a few threads; results stand in the order of the items.
fn in_parallel<T: Sync, R: Send>(items: &[T], run: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let run = &run;
    let mut results: Vec<(usize, R)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS.min(items.len()))
            .map(|worker| {
                scope.spawn(move || {
                    let own = items.iter().enumerate().skip(worker).step_by(WORKERS);
                    own.map(|(place, item)| (place, run(item)))
                        .collect::<Vec<_>>()
                })
            })
            .collect();
        workers
            .into_iter()
            .flat_map(|worker| match worker.join() {
                Ok(results) => results,
                Err(panic) => std::panic::resume_unwind(panic),
            })
            .collect()
    });
    results.sort_by_key(|(place, _)| *place);
    results.into_iter().map(|(_, result)| result).collect()
}
