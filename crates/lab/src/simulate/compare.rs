//! Runs all policies on the same requests.

use dalestand_planner::Composition;
use serde::Serialize;

use super::fleet::Fleet;
use super::oracle;
use super::outcome::PolicyResult;
use super::policy::Policy;
use super::scenario::Scenario;
use super::simulation;
use super::workload::{OfferedRequest, offered_requests};

/// Number of threads that run policies in parallel.
const WORKERS: usize = 4;

/// Maximum number of fixed splits tried to find the best one.
const MAX_SPLITS: usize = 24;

/// Number of requests above which fewer splits are tried.
const LARGE_RUN_REQUESTS: usize = 150_000;

/// Maximum number of fixed splits tried in a large run.
const MAX_LARGE_RUN_SPLITS: usize = 5;

/// Results of a scenario.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Comparison {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the run.
    pub seed: u64,
    /// Total duration of the phases, in seconds.
    pub duration_s: f64,
    /// Number of offered requests.
    pub offered: usize,
    /// Results by policy.
    pub policies: Vec<PolicyResult>,
}

/// Runs all policies.
pub fn compare(scenario: &Scenario, seed: u64) -> Comparison {
    let fleet = Fleet::new(scenario);
    let offered = offered_requests(scenario, seed);
    let run = |policy: &Policy| simulation::run(scenario, &fleet, &offered, seed, *policy);
    let simple = [Policy::ROUND_ROBIN, Policy::LEAST_LOADED];
    let mut policies = in_parallel(&simple, run);
    policies.push(best_split(scenario, &fleet, &offered, seed));
    policies.extend(in_parallel(&[Policy::THRESHOLD], run));
    policies.push(oracle::upper_bound(scenario, &offered));
    policies.extend(in_parallel(&[Policy::DALESTAND], run));
    Comparison {
        scenario: scenario.name.clone(),
        seed,
        duration_s: scenario.duration_s(),
        offered: offered.len(),
        policies,
    }
}

/// Result of the fixed split with the highest goodput, chosen in hindsight.
fn best_split(
    scenario: &Scenario,
    fleet: &Fleet,
    offered: &[OfferedRequest],
    seed: u64,
) -> PolicyResult {
    let limit = if offered.len() > LARGE_RUN_REQUESTS {
        MAX_LARGE_RUN_SPLITS
    } else {
        MAX_SPLITS
    };
    let splits: Vec<Policy> = splits(scenario, limit)
        .into_iter()
        .map(Policy::fixed)
        .collect();
    let results = in_parallel(&splits, |policy| {
        simulation::run(scenario, fleet, offered, seed, *policy)
    });
    let best = results.into_iter().reduce(|best, other| {
        if other.goodput_share > best.goodput_share {
            other
        } else {
            best
        }
    });
    best.unwrap_or_else(|| simulation::run(scenario, fleet, offered, seed, Policy::ROUND_ROBIN))
}

/// At most `limit` splits of the first pool with more than one role. If there are more, only splits
/// without mixed, without decode or with only mixed engines are considered, and sampled evenly.
fn splits(scenario: &Scenario, limit: usize) -> Vec<Composition> {
    let pool = scenario.pools.iter().find(|pool| pool.roles.len() > 1);
    let Some(pool) = pool else {
        return vec![Composition::default()];
    };
    let engines = pool.engines.values().sum();
    let all = Composition::all(engines, &pool.roles);
    let extremes = all
        .iter()
        .filter(|split| split.mixed == 0 || split.mixed == engines || split.decode == 0)
        .copied();
    let others = all.iter().copied();
    let candidates: Vec<Composition> = if all.len() <= limit {
        others.collect()
    } else {
        extremes.collect()
    };
    let step = candidates.len().div_ceil(limit).max(1);
    candidates.into_iter().step_by(step).collect()
}

/// Runs the items on up to [`WORKERS`] threads; returns the results in the order of the items.
fn in_parallel<T: Sync, R: Send>(items: &[T], run: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let run = &run;
    let mut results: Vec<(usize, R)> = std::thread::scope(|scope| {
        let workers: Vec<_> = (0..WORKERS.min(items.len()))
            .map(|worker| {
                scope.spawn(move || {
                    let assigned = items.iter().enumerate().skip(worker).step_by(WORKERS);
                    assigned
                        .map(|(index, item)| (index, run(item)))
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
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
