//! Reports of load runs, as text and as JSON.

use std::time::Duration;

use error_stack::{Report, ResultExt as _};
use hdrhistogram::Histogram;
use serde::Serialize;

use crate::LabError;

use super::measurement::Measurement;
use super::options::Side;
use super::process::ProcessUsage;

/// Median and 99 in 100 of a time, in milliseconds.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Quantiles {
    pub(super) median_ms: f64,
    pub(super) p99_ms: f64,
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1_000.0;
        Self {
            median_ms: at(0.5),
            p99_ms: at(0.99),
        }
    }

    fn minus(self, other: Self) -> Self {
        Self {
            median_ms: self.median_ms - other.median_ms,
            p99_ms: self.p99_ms - other.p99_ms,
        }
    }
}

/// Usage of the node's process around a run.
#[derive(Clone, Copy, Debug)]
pub(super) struct NodeUsage {
    /// Share of a processor that the node uses without load.
    pub(super) idle_share: f64,
    /// Before the run.
    pub(super) before: ProcessUsage,
    /// In the middle of the run.
    pub(super) during: ProcessUsage,
    /// After the run.
    pub(super) after: ProcessUsage,
}

impl NodeUsage {
    /// Processor time of the run, less what the node uses when idle.
    fn processor(&self, elapsed: Duration) -> Duration {
        let used = self.after.processor - self.before.processor;
        used.saturating_sub(elapsed.mul_f64(self.idle_share))
    }

    fn memory_growth_kib(&self) -> f64 {
        self.during.memory_kib as f64 - self.before.memory_kib as f64
    }
}

/// What one run gave.
#[derive(Clone, Debug, Serialize)]
pub(super) struct SideReport {
    #[serde(skip)]
    pub(super) side: Side,
    /// `engine` or `node`.
    against: &'static str,
    streams: usize,
    complete: u64,
    failed: u64,
    tokens_per_s: f64,
    first_token: Quantiles,
    gap: Quantiles,
    /// Processor time of the node a relayed token, in microseconds, less what it uses when idle.
    processor_us_per_token: Option<f64>,
    /// Growth of the node's resident memory a stream, in KiB, in the middle of the run.
    memory_kib_per_stream: Option<f64>,
}

impl SideReport {
    /// A report of what `total` measured.
    pub(super) fn new(
        side: Side,
        streams: usize,
        total: &Measurement,
        elapsed: Duration,
        node: Option<NodeUsage>,
    ) -> Self {
        let processor = node.map(|node| node.processor(elapsed));
        let memory = node.map(|node| node.memory_growth_kib() / streams as f64);
        let per_token = |time: Duration| time.as_secs_f64() * 1e6 / total.tokens.max(1) as f64;
        Self {
            side,
            against: match side {
                Side::Engine => "engine",
                Side::Node => "node",
            },
            streams,
            complete: total.complete,
            failed: total.failed,
            tokens_per_s: total.tokens as f64 / elapsed.as_secs_f64(),
            first_token: Quantiles::of(&total.first_token),
            gap: Quantiles::of(&total.gap),
            processor_us_per_token: processor.map(per_token),
            memory_kib_per_stream: memory,
        }
    }
}

/// All runs of one command.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Comparison {
    /// Share of a processor that the node uses without load.
    pub(super) idle_share: Option<f64>,
    /// The runs.
    pub(super) reports: Vec<SideReport>,
}

/// What the node adds to an engine's own times at one number of streams.
#[derive(Clone, Debug, Serialize)]
struct Added {
    streams: usize,
    first_token: Quantiles,
    gap: Quantiles,
}

#[derive(Serialize)]
struct JsonReport<'a> {
    idle_processor_share: Option<f64>,
    runs: &'a [SideReport],
    added: Vec<Added>,
}

impl Comparison {
    /// Prints the runs and what the node adds.
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
        let context = || LabError::Failed("the report cannot be encoded".to_owned());
        let text = serde_json::to_string_pretty(&report).change_context_lazy(context)?;
        println!("{text}");
        Ok(())
    }

    fn added(&self) -> Vec<Added> {
        let of = |side| self.reports.iter().filter(move |one| one.side == side);
        of(Side::Node)
            .filter_map(|node| {
                let engine = of(Side::Engine).find(|one| one.streams == node.streams)?;
                Some(Added {
                    streams: node.streams,
                    first_token: node.first_token.minus(engine.first_token),
                    gap: node.gap.minus(engine.gap),
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
                optional(run.processor_us_per_token),
                optional(run.memory_kib_per_stream),
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

fn optional(value: Option<f64>) -> String {
    value.map_or_else(|| "-".to_owned(), |value| format!("{value:.2}"))
}
