//! Metrics of prompt parts that are held because they crash engines.

use prometheus::{IntCounter, IntGauge};

use super::registry::MetricsRegistry;

pub(crate) struct HeldPartMetrics {
    held: IntGauge,
    refused: IntCounter,
    interrupted: IntCounter,
    trials: IntCounter,
}

impl HeldPartMetrics {
    pub(super) fn new(registry: &MetricsRegistry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            held: registry.gauge(
                "prompt_parts_held",
                "Prompt parts whose requests are refused because engines ended under them.",
            )?,
            refused: registry.counter(
                "requests_with_held_part_refused_total",
                "Requests that were refused because a part of their prompt is held.",
            )?,
            interrupted: registry.counter(
                "requests_with_held_part_interrupted_total",
                "Requests that were under way when a part of their prompt became held, and were not sent again.",
            )?,
            trials: registry.counter(
                "held_part_trials_total",
                "Requests with a held part that ran once at this node, to see whether an engine ends again.",
            )?,
        })
    }

    pub(crate) fn set_held(&self, parts: usize) {
        self.held.set(parts as i64);
    }

    pub(crate) fn record_refused(&self) {
        self.refused.inc();
    }

    pub(crate) fn record_interrupted(&self) {
        self.interrupted.inc();
    }

    pub(crate) fn record_trial(&self) {
        self.trials.inc();
    }
}
