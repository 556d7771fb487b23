//! An upper bound on goodput that no policy can beat.
//!
//! The scheduling problem is relaxed: the engines of a pool form one server with their total speed,
//! which
//!
//! * switches between prefill and decode without cost and knows all requests in advance,
//! * can work on any part of a request at any time between its arrival and its deadline,
//! * finds every prefix that an earlier request had in its cache,
//! * decodes at the per-token cost of a full batch.
//!
//! Weak duality then gives an upper bound: for any prices of engine time per second, no schedule
//! serves more requests than the price of all engine time plus, for each request, the part of its
//! value of 1 that exceeds the cheapest price of its work. A subgradient method adjusts the prices,
//! and the lowest bound found is used. Relaxation only raises the bound, and all prices give a
//! valid one.

use std::collections::BTreeSet;

use super::outcome::{PolicyResult, Timeline, round_to_micro};
use super::scenario::{Class, Scenario};
use super::workload::{MICROS_PER_SECOND, OfferedRequest};

/// Number of iterations that adjust the prices.
const ITERATIONS: usize = 300;

/// Step size of the first iteration, as a fraction of the mean price.
const INITIAL_STEP: f64 = 0.5;

/// A request in the relaxed problem.
struct Job {
    pool: usize,
    /// Minimum engine time, in seconds.
    work_s: f64,
    /// First second in which the work may be done.
    first_second: usize,
    /// Last second in which the work may be done.
    last_second: usize,
}

/// The bound in the form of a policy result.
pub(crate) fn upper_bound(scenario: &Scenario, offered: &[OfferedRequest]) -> PolicyResult {
    let jobs = jobs(scenario, offered);
    let seconds = jobs
        .iter()
        .map(|job| job.last_second + 1)
        .max()
        .unwrap_or(1);
    let mut served = 0.0;
    for (index, pool) in scenario.pools.iter().enumerate() {
        let engines = pool.engines.values().sum::<usize>() as f64;
        let of_pool: Vec<&Job> = jobs.iter().filter(|job| job.pool == index).collect();
        served += pool_bound(&of_pool, engines, seconds);
    }
    let duration_s = scenario.duration_s();
    PolicyResult {
        name: "oracle".to_owned(),
        goodput_per_s: round_to_micro(served / duration_s),
        goodput_share: round_to_micro(served / offered.len().max(1) as f64),
        role_changes: 0,
        not_run: 0,
        lost: 0,
        unknown: 0,
        ran_twice: 0,
        p95_first_token_ms: 0.0,
        p95_between_tokens_ms: 0.0,
        prefix_hit_share: 0.0,
        returned: 0,
        returned_admitted: 0,
        timeline: Timeline::default(),
    }
}

/// Jobs for the requests that an idle engine could serve in time.
fn jobs(scenario: &Scenario, offered: &[OfferedRequest]) -> Vec<Job> {
    let mut seen = BTreeSet::new();
    let mut jobs = Vec::new();
    for request in offered {
        let class = &scenario.classes[request.class];
        let pool = scenario
            .pools
            .iter()
            .position(|pool| pool.name == class.pool);
        let cached = request.prefix.map_or(0, |prefix| {
            if seen.insert(prefix.id) {
                0
            } else {
                prefix.tokens
            }
        });
        let prompt = f64::from(request.prompt_tokens.saturating_sub(cached).max(1));
        let (Some(pool), true) = (pool, is_feasible(scenario, class, request, prompt)) else {
            continue;
        };
        let delay_s = scenario.network.caller_us as f64 / MICROS_PER_SECOND;
        let sent_s = request.sent_us as f64 / MICROS_PER_SECOND;
        let end_s = sent_s + class.deadline_ms as f64 / 1_000.0 - delay_s;
        jobs.push(Job {
            pool,
            work_s: work_s(scenario, request, prompt),
            first_second: (sent_s + delay_s) as usize,
            last_second: end_s as usize,
        });
    }
    jobs
}

/// Engine time of a request in seconds: its prefill and its share of decode steps with a full
/// batch.
fn work_s(scenario: &Scenario, request: &OfferedRequest, prompt: f64) -> f64 {
    let engine = &scenario.engine;
    let output = f64::from(request.output_tokens) - 1.0;
    let context = f64::from(request.prompt_tokens) + output / 2.0;
    let token_us = engine.step_us / f64::from(engine.max_running)
        + engine.step_per_sequence_us
        + engine.step_per_context_us * context / 1_000.0;
    (prompt * engine.prefill_token_us + output * token_us) / MICROS_PER_SECOND
}

/// Whether an idle engine would meet both deadlines.
fn is_feasible(scenario: &Scenario, class: &Class, request: &OfferedRequest, prompt: f64) -> bool {
    let engine = &scenario.engine;
    let first_us = prompt * engine.prefill_token_us + 2.0 * scenario.network.caller_us as f64;
    let output = f64::from(request.output_tokens) - 1.0;
    let context = f64::from(request.prompt_tokens) / 1_000.0;
    let step_us =
        engine.step_us + engine.step_per_sequence_us + engine.step_per_context_us * context;
    let total_us = first_us + output * step_us;
    let within = |limit_ms: u64, needed_us: f64| needed_us <= limit_ms as f64 * 1_000.0;
    class
        .first_token_ms
        .is_none_or(|limit| within(limit, first_us))
        && within(class.deadline_ms, total_us)
}

/// Lowest upper bound found for the requests of one pool.
fn pool_bound(jobs: &[&Job], engines: f64, seconds: usize) -> f64 {
    let total_value: f64 = jobs.len() as f64;
    let work: f64 = jobs.iter().map(|job| job.work_s).sum();
    if jobs.is_empty() {
        return 0.0;
    }
    let mut prices = vec![0.0; seconds];
    let mut lowest_bound = total_value;
    let mean_price = total_value / work;
    for iteration in 0..ITERATIONS {
        let cheapest = CheapestSecond::new(&prices);
        let mut load = vec![0.0; seconds];
        let mut bound: f64 = prices.iter().sum::<f64>() * engines;
        for job in jobs {
            let second = cheapest.within(job.first_second, job.last_second);
            let gain = 1.0 - job.work_s * prices[second];
            if gain > 0.0 {
                bound += gain;
                distribute_work(&mut load, &prices, job, prices[second]);
            }
        }
        lowest_bound = lowest_bound.min(bound);
        let step = INITIAL_STEP * mean_price / (1.0 + iteration as f64).sqrt();
        for (price, load) in prices.iter_mut().zip(&load) {
            let excess = (load / engines - 1.0).clamp(-1.0, 1.0);
            *price = (*price + step * excess).max(0.0);
        }
    }
    lowest_bound
}

/// Distributes a job's work evenly over the cheapest seconds of its window.
fn distribute_work(load: &mut [f64], prices: &[f64], job: &Job, cheapest: f64) {
    let limit = cheapest * (1.0 + 1e-9);
    let window = job.first_second..=job.last_second;
    let cheapest_seconds = window.clone().filter(|second| prices[*second] <= limit);
    let share = job.work_s / cheapest_seconds.count().max(1) as f64;
    for second in window {
        if prices[second] <= limit {
            load[second] += share;
        }
    }
}

/// Finds the cheapest second of a window, by a sparse table of minima over power-of-two windows.
struct CheapestSecond<'a> {
    prices: &'a [f64],
    levels: Vec<Vec<usize>>,
}

impl<'a> CheapestSecond<'a> {
    fn new(prices: &'a [f64]) -> Self {
        let mut levels = vec![(0..prices.len()).collect::<Vec<_>>()];
        let mut width = 1;
        while 2 * width <= prices.len() {
            let below = &levels[levels.len() - 1];
            let level = (0..=prices.len() - 2 * width)
                .map(|first| cheaper(prices, below[first], below[first + width]))
                .collect();
            levels.push(level);
            width *= 2;
        }
        Self { prices, levels }
    }

    fn within(&self, first: usize, last: usize) -> usize {
        let level = (last + 1 - first).ilog2() as usize;
        let other = last + 1 - (1 << level);
        cheaper(
            self.prices,
            self.levels[level][first],
            self.levels[level][other],
        )
    }
}

fn cheaper(prices: &[f64], one: usize, other: usize) -> usize {
    if prices[other] < prices[one] {
        other
    } else {
        one
    }
}
