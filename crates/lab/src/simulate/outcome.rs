//! Outcomes and metrics of one run.

use serde::Serialize;

use super::workload::MICROS_PER_SECOND;

/// Bucket width of the histograms, in microseconds.
const BUCKET_US: u64 = 500;

/// Number of buckets; longer times are counted in the last one.
const BUCKETS: usize = 400_000;

/// A histogram of times.
#[derive(Clone, Debug)]
pub(crate) struct Histogram {
    buckets: Vec<u64>,
    count: u64,
}

impl Histogram {
    /// Creates an empty histogram.
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

    /// Quantile in milliseconds, rounded up to the end of its bucket; 0 if the histogram is empty.
    pub(crate) fn quantile_ms(&self, quantile: f64) -> f64 {
        let rank = (self.count as f64 * quantile).ceil() as u64;
        let mut cumulative_count = 0;
        for (bucket, count) in self.buckets.iter().enumerate() {
            cumulative_count += count;
            if cumulative_count >= rank.max(1) {
                return (bucket as u64 + 1) as f64 * BUCKET_US as f64 / 1_000.0;
            }
        }
        0.0
    }
}

/// Final outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The response is complete; `in_time` if it met all deadlines.
    Complete { in_time: bool },
    /// The request was rejected and did not run.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
}

/// Metrics of one policy in one run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct PolicyResult {
    /// Name of the policy.
    pub name: String,
    /// Complete responses in time, per second.
    pub goodput_per_s: f64,
    /// Share of the offered requests with a complete response in time.
    pub goodput_share: f64,
    /// Number of role changes started.
    pub role_changes: u64,
    /// Requests that were rejected and did not run.
    pub not_run: u64,
    /// Requests without a final outcome.
    pub lost: u64,
    /// Requests that may or may not have run.
    pub unknown: u64,
    /// Times that a request that may not be repeated ran again.
    pub ran_twice: u64,
    /// 95th percentile of the time to first token, in milliseconds.
    pub p95_first_token_ms: f64,
    /// 95th percentile of the time between tokens, in milliseconds.
    pub p95_between_tokens_ms: f64,
    /// Share of prompt tokens found in a prefix cache.
    pub prefix_hit_share: f64,
    /// Retries of rejected callers after the delay they were told.
    pub returned: u64,
    /// Those retries that got a complete response.
    pub returned_admitted: u64,
    /// Metrics over time; not part of the JSON output.
    #[serde(skip)]
    pub timeline: Timeline,
}

/// Metrics of a run over time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timeline {
    /// Duration of an interval, in seconds.
    pub interval_s: f64,
    /// Goodput per second by interval, counted for the interval in which a request was sent.
    pub goodput_per_s: Vec<f64>,
    /// Number of prefill, decode and mixed engines at the end of each interval.
    pub roles: Vec<[usize; 3]>,
}

/// Duration of a timeline interval, in seconds.
const TIMELINE_INTERVAL_S: f64 = 5.0;

/// Collects the metrics of a run.
#[derive(Debug)]
pub(crate) struct Metrics {
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

impl Metrics {
    /// Creates empty metrics.
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

    /// Whether an interval has ended whose roles are not recorded yet.
    pub(crate) fn is_roles_sample_due(&self, now_us: u64) -> bool {
        let ended = (now_us as f64 / MICROS_PER_SECOND / TIMELINE_INTERVAL_S) as usize;
        self.roles.len() < ended.min(self.in_time_by_interval.len())
    }

    /// Counts the final outcome of a request.
    pub(crate) fn record_outcome(&mut self, sent_us: u64, outcome: Outcome) {
        match outcome {
            Outcome::NotRun => self.not_run += 1,
            Outcome::Unknown => self.unknown += 1,
            Outcome::Complete { in_time } => {
                self.complete += 1;
                if in_time {
                    self.in_time += 1;
                    let interval =
                        (sent_us as f64 / MICROS_PER_SECOND / TIMELINE_INTERVAL_S) as usize;
                    if let Some(count) = self.in_time_by_interval.get_mut(interval) {
                        *count += 1;
                    }
                }
            }
        }
    }

    /// Computes the result of the policy.
    pub(crate) fn result(&self, name: &str) -> PolicyResult {
        let resolved = self.complete + self.not_run + self.unknown;
        let goodput = self.in_time_by_interval.iter();
        PolicyResult {
            name: name.to_owned(),
            goodput_per_s: round_to_micro(self.in_time as f64 / self.duration_s),
            goodput_share: round_to_micro(self.in_time as f64 / self.offered.max(1) as f64),
            role_changes: self.role_changes,
            not_run: self.not_run,
            lost: self.offered - resolved,
            unknown: self.unknown,
            ran_twice: self.ran_twice,
            p95_first_token_ms: self.first_token.quantile_ms(0.95),
            p95_between_tokens_ms: self.between_tokens.quantile_ms(0.95),
            prefix_hit_share: round_to_micro(
                self.cached_tokens as f64 / self.prompt_tokens.max(1) as f64,
            ),
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

/// Rounds to six decimals, to keep the output short.
pub(crate) fn round_to_micro(value: f64) -> f64 {
    (value * 1e6).round() / 1e6
}
