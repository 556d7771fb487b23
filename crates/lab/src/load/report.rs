//! Reports of load runs, as text and as JSON.

use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::LabError;

use super::measurement::Measurement;
use super::options::Target;
use super::process::ProcessUsage;

/// Median and 99th percentile of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Quantiles {
    pub(super) median_ms: f64,
    pub(super) p99_ms: f64,
}

impl Quantiles {
    fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            median_ms: at(0.5),
            p99_ms: at(0.99),
        }
    }

    fn difference(self, other: Self) -> Self {
        Self {
            median_ms: self.median_ms - other.median_ms,
            p99_ms: self.p99_ms - other.p99_ms,
        }
    }
}

/// Resource usage of the node during a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeUsage {
    /// Share of a processor that the idle node uses.
    pub(super) idle_share: f64,
    pub(super) before: ProcessUsage,
    pub(super) during: ProcessUsage,
    pub(super) after: ProcessUsage,
}

impl NodeUsage {
    /// Processor time of the run minus that of an idle node.
    fn cpu_time(&self, elapsed: Duration) -> Duration {
        let used = self.after.cpu_time - self.before.cpu_time;
        used.saturating_sub(elapsed.mul_f64(self.idle_share))
    }

    fn memory_growth_kib(&self) -> f64 {
        self.during.memory_kib as f64 - self.before.memory_kib as f64
    }
}

/// Result of one run.
#[derive(Clone, Debug, Serialize)]
pub(super) struct TargetReport {
    #[serde(skip)]
    pub(super) target: Target,
    /// `engine` or `node`.
    against: &'static str,
    streams: usize,
    complete: u64,
    failed: u64,
    tokens_per_s: f64,
    first_token: Quantiles,
    gap: Quantiles,
    /// The node's processor time per token in microseconds, minus that of an idle node.
    processor_us_per_token: Option<f64>,
    /// Growth of the node's resident memory per stream in KiB, from the start to the middle of the
    /// run.
    memory_kib_per_stream: Option<f64>,
}

impl TargetReport {
    /// Creates a report from the total of all streams.
    pub(super) fn new(
        target: Target,
        streams: usize,
        total: &Measurement,
        elapsed: Duration,
        node: Option<NodeUsage>,
    ) -> Self {
        let cpu_time = node.map(|node| node.cpu_time(elapsed));
        let memory = node.map(|node| node.memory_growth_kib() / streams as f64);
        let per_token = |time: Duration| time.as_secs_f64() * 1e6 / total.tokens.max(1) as f64;
        Self {
            target,
            against: match target {
                Target::Engine => "engine",
                Target::Node => "node",
            },
            streams,
            complete: total.complete,
            failed: total.failed,
            tokens_per_s: total.tokens as f64 / elapsed.as_secs_f64(),
            first_token: Quantiles::from_histogram(&total.first_token),
            gap: Quantiles::from_histogram(&total.gap),
            processor_us_per_token: cpu_time.map(per_token),
            memory_kib_per_stream: memory,
        }
    }
}

/// All runs of a command.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Comparison {
    /// Share of a processor that the idle node uses.
    pub(super) idle_share: Option<f64>,
    pub(super) reports: Vec<TargetReport>,
}

/// Latency that the node adds to that of the engine, at one number of streams.
#[derive(Clone, Debug, Serialize)]
struct Added {
    streams: usize,
    first_token: Quantiles,
    gap: Quantiles,
}

#[derive(Serialize)]
struct JsonReport<'a> {
    idle_processor_share: Option<f64>,
    runs: &'a [TargetReport],
    added: Vec<Added>,
}

impl Comparison {
    /// Prints the runs and the added latency.
    pub(super) fn print(&self, json: bool) -> Result<(), Report<LabError>> {
        if !json {
            self.print_text();
            return Ok(());
        }
        let report = JsonReport {
            idle_processor_share: self.idle_share,
            runs: &self.reports,
            added: self.added(),
        };
        let context = || LabError::Failed("cannot encode the report".to_owned());
        let text = serde_json::to_string_pretty(&report).change_context_lazy(context)?;
        println!("{text}");
        Ok(())
    }

    fn added(&self) -> Vec<Added> {
        let runs_against = |target| self.reports.iter().filter(move |run| run.target == target);
        runs_against(Target::Node)
            .filter_map(|node| {
                let engine =
                    runs_against(Target::Engine).find(|run| run.streams == node.streams)?;
                Some(Added {
                    streams: node.streams,
                    first_token: node.first_token.difference(engine.first_token),
                    gap: node.gap.difference(engine.gap),
                })
            })
            .collect()
    }

    fn print_text(&self) {
        if let Some(share) = self.idle_share {
            println!("node without load: {:.2}% of a processor", share * 100.0);
        }
        println!(
            "against streams complete failed tokens/s  first ms (median p99)  gap ms (median p99)  us/token  KiB/stream"
        );
        for run in &self.reports {
            println!(
                "{:<7} {:>7} {:>8} {:>6} {:>8.0}  {:>10.3} {:>10.3}  {:>9.3} {:>9.3}  {:>8}  {:>10}",
                run.against,
                run.streams,
                run.complete,
                run.failed,
                run.tokens_per_s,
                run.first_token.median_ms,
                run.first_token.p99_ms,
                run.gap.median_ms,
                run.gap.p99_ms,
                format_optional(run.processor_us_per_token),
                format_optional(run.memory_kib_per_stream),
            );
        }
        for added in self.added() {
            println!(
                "added   {:>7} {:>25}  {:>10.3} {:>10.3}  {:>9.3} {:>9.3}",
                added.streams,
                "",
                added.first_token.median_ms,
                added.first_token.p99_ms,
                added.gap.median_ms,
                added.gap.p99_ms,
            );
        }
    }
}

fn format_optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.2}"))
}
