//! What came of the requests of one run.

use serde::Serialize;

use super::workload::SECOND_US;

/// Resolution of the histograms, in microseconds.
const BUCKET_US: u64 = 500;

/// Buckets; longer times fall into the last one.
const BUCKETS: usize = 400_000;

/// Counts times in buckets.
#[derive(Clone, Debug)]
pub(crate) struct Histogram {
    buckets: Vec<u64>,
    count: u64,
}

impl Histogram {
    /// An empty histogram.
    pub(crate) fn new() -> Self {
        Self {
            buckets: vec![0; BUCKETS],
            count: 0,
        }
    }

    /// Adds a time.
    pub(crate) fn add(&mut self, time_us: u64) {
        let bucket = (time_us / BUCKET_US) as usize;
        self.buckets[bucket.min(BUCKETS - 1)] += 1;
        self.count += 1;
    }

    /// The time that `share` of the counted ones do not exceed, in milliseconds.
    pub(crate) fn quantile_ms(&self, share: f64) -> f64 {
        let rank = (self.count as f64 * share).ceil() as u64;
        let mut seen = 0;
        for (bucket, count) in self.buckets.iter().enumerate() {
            seen += count;
            if seen >= rank.max(1) {
                return (bucket as u64 + 1) as f64 * BUCKET_US as f64 / 1_000.0;
            }
        }
        0.0
    }
}

/// The final answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The whole answer came, in time or not.
    Complete { in_time: bool },
    /// Refused, and not run.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Measures of one policy over one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyResult {
    /// The policy.
    pub name: String,
    /// Whole answers in time, a second.
    pub goodput_per_s: f64,
    /// Share of the requests offered that got one.
    pub goodput_share: f64,
    /// Role changes begun.
    pub role_changes: u64,
    /// Requests refused that did not run.
    pub not_run: u64,
    /// Requests without a final answer.
    pub lost: u64,
    /// Requests of which it is not known whether they ran.
    pub unknown: u64,
    /// Requests that may not be repeated and ran more than once.
    pub ran_twice: u64,
    /// Time to the first token that 95 in 100 do not exceed.
    pub p95_first_token_ms: f64,
    /// Time between tokens that 95 in 100 do not exceed.
    pub p95_between_tokens_ms: f64,
    /// Share of the prompt tokens found in a prefix cache.
    pub prefix_hit_share: f64,
    /// Refused callers who came back when they were told to.
    pub returned: u64,
    /// Those of them that were admitted.
    pub returned_admitted: u64,
    /// The course of the run; not part of the JSON output.
    #[serde(skip)]
    pub timeline: Timeline,
}

/// The course of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    /// Length of one interval, in seconds.
    pub interval_s: f64,
    /// Requests sent in an interval that got a whole answer in time, a second.
    pub goodput_per_s: Vec<f64>,
    /// Engines that run prompts only, output only, and both, at the end of each interval.
    pub roles: Vec<[usize; 3]>,
}

/// Length of an interval of the timeline, in seconds.
const TIMELINE_INTERVAL_S: f64 = 5.0;

/// Gathers the measures of a run.
#[derive(Debug)]
pub(crate) struct Measures {
    duration_s: f64,
    offered: u64,
    in_time: u64,
    complete: u64,
    pub(crate) not_run: u64,
    pub(crate) unknown: u64,
    pub(crate) role_changes: u64,
    pub(crate) ran_twice: u64,
    pub(crate) first_token: Histogram,
    pub(crate) between_tokens: Histogram,
    pub(crate) prompt_tokens: u64,
    pub(crate) cached_tokens: u64,
    pub(crate) returned: u64,
    pub(crate) returned_admitted: u64,
    in_time_by_interval: Vec<u64>,
    pub(crate) roles: Vec<[usize; 3]>,
}

impl Measures {
    /// Nothing measured yet.
    pub(crate) fn new(duration_s: f64, offered: u64) -> Self {
        let intervals = (duration_s / TIMELINE_INTERVAL_S).ceil() as usize;
        Self {
            duration_s,
            offered,
            in_time: 0,
            complete: 0,
            not_run: 0,
            unknown: 0,
            role_changes: 0,
            ran_twice: 0,
            first_token: Histogram::new(),
            between_tokens: Histogram::new(),
            prompt_tokens: 0,
            cached_tokens: 0,
            returned: 0,
            returned_admitted: 0,
            in_time_by_interval: vec![0; intervals],
            roles: Vec::new(),
        }
    }

    /// Whether the time has come to note the roles.
    pub(crate) fn interval_ended(&self, now_us: u64) -> bool {
        let ended = (now_us as f64 / SECOND_US / TIMELINE_INTERVAL_S) as usize;
        self.roles.len() < ended.min(self.in_time_by_interval.len())
    }

    /// Counts a final answer.
    pub(crate) fn answered(&mut self, sent_us: u64, outcome: Outcome) {
        match outcome {
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Complete { in_time } => {
                self.complete += 1;
                if in_time {
                    self.in_time += 1;
                    let interval = (sent_us as f64 / SECOND_US / TIMELINE_INTERVAL_S) as usize;
                    if let Some(count) = self.in_time_by_interval.get_mut(interval) {
                        *count += 1;
                    }
                }
            }
        }
    }

    /// The result.
    pub(crate) fn result(&self, name: &str) -> PolicyResult {
        let answered = self.complete + self.not_run + self.unknown;
        let goodput = self.in_time_by_interval.iter();
        PolicyResult {
            name: name.to_owned(),
            goodput_per_s: rounded(self.in_time as f64 / self.duration_s),
            goodput_share: rounded(self.in_time as f64 / self.offered.max(1) as f64),
            role_changes: self.role_changes,
            not_run: self.not_run,
            lost: self.offered - answered,
            unknown: self.unknown,
            ran_twice: self.ran_twice,
            p95_first_token_ms: self.first_token.quantile_ms(0.95),
            p95_between_tokens_ms: self.between_tokens.quantile_ms(0.95),
            prefix_hit_share: rounded(self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64),
            returned: self.returned,
            returned_admitted: self.returned_admitted,
            timeline: Timeline {
                interval_s: TIMELINE_INTERVAL_S,
                goodput_per_s: goodput
                    .map(|count| *count as f64 / TIMELINE_INTERVAL_S)
                    .collect(),
                roles: self.roles.clone(),
            },
        }
    }
}

/// Rounded to six decimals, so that output stays short.
pub(crate) fn rounded(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}
