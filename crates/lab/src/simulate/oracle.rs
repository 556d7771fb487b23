//! An upper bound on goodput that no policy can beat.
//!
//! All engines are taken for one server of their joint speed that changes between prompts and
//! output at once and at no cost, knows every request beforehand, works on any part of any request
//! at any moment between its arrival and its deadline, finds every prefix that any request before
//! has had, and decodes at the cost a token has in a full batch. Of this relaxed problem an upper
//! bound is taken by weak duality: for every price of engine time by second, no schedule serves
//! more than the price of all engine time plus what each request is worth above the cheapest price
//! of its work. The prices are improved by steps against the load they leave, and the lowest bound
//! seen counts. Each relaxation can only raise the bound, and each price gives a valid one.

use std::collections::BTreeSet;

use super::outcome::{PolicyResult, Timeline, rounded};
use super::scenario::{Class, Scenario};
use super::workload::{OfferedRequest, SECOND_US};

/// Rounds in which the prices are improved.
const ROUNDS: usize = 300;

/// Step of the first round, as a share of the mean price.
const FIRST_STEP: f64 = 0.5;

/// One request as the bound sees it.
struct Job {
    pool: usize,
    /// Least engine time it needs, in seconds.
    work_s: f64,
    /// Seconds within which the work must be done.
    first: usize,
    last: usize,
}

/// The bound as a result to set beside those of the policies.
pub(crate) fn bound(scenario: &Scenario, offered: &[OfferedRequest]) -> PolicyResult {
    let jobs = jobs(scenario, offered);
    let seconds = jobs.iter().map(|job| job.last + 1).max().unwrap_or(1);
    let mut served = 0.0;
    for (place, pool) in scenario.pools.iter().enumerate() {
        let engines = pool.engines.values().sum::<usize>() as f64;
        let of_pool: Vec<&Job> = jobs.iter().filter(|job| job.pool == place).collect();
        served += pool_bound(&of_pool, engines, seconds);
    }
    let duration_s = scenario.duration_s();
    PolicyResult {
        name: "oracle".to_owned(),
        goodput_per_s: rounded(served / duration_s),
        goodput_share: rounded(served / offered.len().max(1) as f64),
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

/// Requests that some engine could answer in time if it had nothing else to do.
fn jobs(scenario: &Scenario, offered: &[OfferedRequest]) -> Vec<Job> {
    let mut seen = BTreeSet::new();
    let mut jobs = Vec::new();
    for request in offered {
        let class = &scenario.classes[request.class];
        let pool = scenario.pools.iter().position(|one| one.name == class.pool);
        let cached = request.prefix.map_or(0, |prefix| {
            if seen.insert(prefix.id) {
                0
            } else {
                prefix.tokens
            }
        });
        let prompt = f64::from(request.prompt_tokens.saturating_sub(cached).max(1));
        let (Some(pool), true) = (pool, possible(scenario, class, request, prompt)) else {
            continue;
        };
        let delay_s = scenario.network.caller_us as f64 / SECOND_US;
        let sent_s = request.sent_us as f64 / SECOND_US;
        let end_s = sent_s + class.deadline_ms as f64 / 1_000.0 - delay_s;
        jobs.push(Job {
            pool,
            work_s: work_s(scenario, request, prompt),
            first: (sent_s + delay_s) as usize,
            last: end_s as usize,
        });
    }
    jobs
}

/// Engine time of a request: its prompt, and its share of full decode steps.
fn work_s(scenario: &Scenario, request: &OfferedRequest, prompt: f64) -> f64 {
    let engine = &scenario.engine;
    let output = f64::from(request.output_tokens) - 1.0;
    let context = f64::from(request.prompt_tokens) + output / 2.0;
    let token_us = engine.step_us / f64::from(engine.max_running)
        + engine.step_per_sequence_us
        + engine.step_per_context_us * context / 1_000.0;
    (prompt * engine.prefill_token_us + output * token_us) / SECOND_US
}

/// Whether one idle engine would make both deadlines.
fn possible(scenario: &Scenario, class: &Class, request: &OfferedRequest, prompt: f64) -> bool {
    let engine = &scenario.engine;
    let first_us = prompt * engine.prefill_token_us + 2.0 * scenario.network.caller_us as f64;
    let output = f64::from(request.output_tokens) - 1.0;
    let context = f64::from(request.prompt_tokens) / 1_000.0;
    let step_us =
        engine.step_us + engine.step_per_sequence_us + engine.step_per_context_us * context;
    let whole_us = first_us + output * step_us;
    let within = |limit_ms: u64, needed_us: f64| needed_us <= limit_ms as f64 * 1_000.0;
    class
        .first_token_ms
        .is_none_or(|limit| within(limit, first_us))
        && within(class.deadline_ms, whole_us)
}

/// The lowest bound found for one pool's requests.
fn pool_bound(jobs: &[&Job], engines: f64, seconds: usize) -> f64 {
    let worth: f64 = jobs.len() as f64;
    let work: f64 = jobs.iter().map(|job| job.work_s).sum();
    if jobs.is_empty() {
        return 0.0;
    }
    let mut prices = vec![0.0; seconds];
    let mut lowest = worth;
    let mean_price = worth / work;
    for round in 0..ROUNDS {
        let cheapest = CheapestSecond::new(&prices);
        let mut load = vec![0.0; seconds];
        let mut bound: f64 = prices.iter().sum::<f64>() * engines;
        for job in jobs {
            let second = cheapest.within(job.first, job.last);
            let gain = 1.0 - job.work_s * prices[second];
            if gain > 0.0 {
                bound += gain;
                spread(&mut load, &prices, job, prices[second]);
            }
        }
        lowest = lowest.min(bound);
        let step = FIRST_STEP * mean_price / (1.0 + round as f64).sqrt();
        for (price, load) in prices.iter_mut().zip(&load) {
            let excess = (load / engines - 1.0).clamp(-1.0, 1.0);
            *price = (*price + step * excess).max(0.0);
        }
    }
    lowest
}

/// Spreads a job's work evenly over the seconds of its window that cost no more than the cheapest.
fn spread(load: &mut [f64], prices: &[f64], job: &Job, cheapest: f64) {
    let limit = cheapest * (1.0 + 1e-9);
    let window = job.first..=job.last;
    let equal = window.clone().filter(|second| prices[*second] <= limit);
    let share = job.work_s / equal.count().max(1) as f64;
    for second in window {
        if prices[second] <= limit {
            load[second] += share;
        }
    }
}

/// Finds the cheapest second of a window: a table of minima over power-of-two windows.
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
