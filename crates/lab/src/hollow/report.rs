//! What an experiment found.

use std::fmt;
use std::time::Duration;

use serde::Serialize;

/// Figures of one run. Figures of a node are means over the live nodes.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct HollowReport {
    /// Hollow nodes.
    pub(super) nodes: usize,
    /// Engines.
    pub(super) engines: usize,
    /// Tenants of the deployment.
    pub(super) tenants: usize,
    /// Bytes of the deployment file.
    pub(super) deployment_bytes: usize,
    /// Bytes of the whole machine list.
    pub(super) machine_list_bytes: usize,
    /// Bytes of one engine's load report.
    pub(super) load_report_bytes: usize,
    /// Share of datagrams lost.
    pub(super) loss: f64,
    /// Until every node knew all others, the configuration and every engine's load.
    pub(super) join_seconds: f64,
    /// Calls of the key-value service until then.
    pub(super) join_key_value_calls: u64,
    /// Length of the measured window.
    pub(super) window_seconds: f64,
    /// Share of a core a node spent in the window.
    pub(super) cpu_share_of_core: f64,
    /// Datagram bytes a second a node sent.
    pub(super) sent_bytes_per_second: f64,
    /// Datagram bytes a second the busiest node sent.
    pub(super) most_sent_bytes_per_second: f64,
    /// Datagram bytes a second a node received.
    pub(super) received_bytes_per_second: f64,
    /// Datagrams a second a node sent.
    pub(super) sent_datagrams_per_second: f64,
    /// Resident memory a node added to the process.
    pub(super) memory_bytes: f64,
    /// Calls of the key-value service a second, in all.
    pub(super) key_value_calls_per_second: f64,
    /// Live nodes called down, counted once for each node that believed it.
    pub(super) false_alarms: u64,
    /// From the accepted apply to the configuration in force, over all nodes.
    pub(super) apply_in_force: Option<Times>,
    /// Processor time a node spent on one apply, beyond its share in the window.
    pub(super) cpu_seconds_per_apply: Option<f64>,
    /// From a node's death until it was known, over all live nodes.
    pub(super) death_noticed: Option<Times>,
    /// From a node's planned stop until all knew its successor, which had the configuration.
    pub(super) replaced: Option<Times>,
    /// Calls of the key-value service a second, in all, while nodes were replaced.
    pub(super) replacement_key_value_calls_per_second: Option<f64>,
    /// After a zone's cut healed, until every node had the configuration that was applied in it.
    pub(super) cut_in_force_seconds: Option<f64>,
    /// After a zone's cut healed, until all nodes knew each other and the configuration that was
    /// applied during the cut.
    pub(super) cut_healed_seconds: Option<f64>,
    /// Datagram bytes a second a node sent while the cut healed.
    pub(super) heal_sent_bytes_per_second: Option<f64>,
}

/// A distribution of times.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub(super) struct Times {
    /// Number of samples.
    pub(super) samples: usize,
    /// Median, in milliseconds.
    pub(super) median_ms: f64,
    /// 99 of 100 are at most this, in milliseconds.
    pub(super) p99_ms: f64,
    /// Greatest, in milliseconds.
    pub(super) max_ms: f64,
}

impl Times {
    /// The distribution of samples; `None` without any.
    pub(super) fn of(mut samples: Vec<Duration>) -> Option<Self> {
        samples.sort();
        let at = |share: f64| {
            let place = (samples.len() as f64 * share).ceil() as usize;
            samples.get(place.saturating_sub(1)).map(milliseconds)
        };
        Some(Self {
            samples: samples.len(),
            median_ms: at(0.5)?,
            p99_ms: at(0.99)?,
            max_ms: at(1.0)?,
        })
    }
}

fn milliseconds(duration: &Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}

impl fmt::Display for HollowReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "{} nodes, {} engines", self.nodes, self.engines)?;
        writeln!(formatter, "joined after {:.1} s", self.join_seconds)?;
        writeln!(
            formatter,
            "a node: {:.3}% of a core, {:.1} MB, {:.0} bytes/s sent, {:.0} bytes/s received",
            self.cpu_share_of_core * 100.0,
            self.memory_bytes / 1e6,
            self.sent_bytes_per_second,
            self.received_bytes_per_second
        )?;
        writeln!(
            formatter,
            "key-value calls: {:.1}/s in all; false alarms: {}",
            self.key_value_calls_per_second, self.false_alarms
        )?;
        if let Some(times) = &self.apply_in_force {
            writeln!(formatter, "apply to in force: {times}")?;
        }
        if let Some(times) = &self.death_noticed {
            writeln!(formatter, "death noticed: {times}")?;
        }
        if let Some(times) = &self.replaced {
            writeln!(formatter, "a node replaced: {times}")?;
        }
        if let Some(seconds) = self.cut_healed_seconds {
            writeln!(formatter, "whole again {seconds:.1} s after the cut healed")?;
        }
        Ok(())
    }
}

impl fmt::Display for Times {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "median {:.0} ms, p99 {:.0} ms, max {:.0} ms of {}",
            self.median_ms, self.p99_ms, self.max_ms, self.samples
        )
    }
}
