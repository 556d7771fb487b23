//! Metrics of the signals in engine answers (draining, backoff, rate limit) and their effects.

use dalestand_edge::unknown_headers::HeaderSender;
use dalestand_routing::staged::ClosedReason;
use prometheus::{IntCounter, IntCounterVec, IntGauge};

use super::registry::MetricsRegistry;
use crate::serve::progress::CallRecord;

/// Current number of engines by signal.
pub(super) struct SignalCounts {
    /// Engines that announced that they drain.
    pub(super) draining: usize,
    /// Engines in backoff.
    pub(super) backing_off: usize,
    /// Engines with a rate limit.
    pub(super) limited: usize,
    /// Engines for which this node issues permits.
    pub(super) issuing_for: usize,
}

pub(super) struct SignalMetrics {
    calls_withheld: IntCounterVec,
    engines_draining: IntGauge,
    engines_backing_off: IntGauge,
    engines_limited: IntGauge,
    pub(super) limits_unreadable: IntCounter,
    calls_limited: IntCounter,
    pub(super) permits: IntCounterVec,
    issuing_for: IntGauge,
    unknown_headers: IntCounterVec,
}

impl SignalMetrics {
    pub(super) fn new(registry: &MetricsRegistry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            calls_withheld: registry.counters(
                "engine_calls_withheld_total",
                "Calls that were not made because the engine had said that it drains, had asked for backoff, or takes only so many.",
                &["signal"],
            )?,
            engines_draining: registry.gauge(
                "engines_draining",
                "Engines that have said in an answer that they drain, and are still listed.",
            )?,
            engines_backing_off: registry.gauge(
                "engines_backing_off",
                "Engines that want no calls of this node now.",
            )?,
            engines_limited: registry.gauge(
                "engines_limited",
                "Engines that take only so many requests a second of all nodes together.",
            )?,
            limits_unreadable: registry.counter(
                "engine_limits_unreadable_total",
                "Answers of engines that named something as their limit that is no rate.",
            )?,
            calls_limited: registry.counter(
                "engine_calls_limited_total",
                "Requests that this node sent to engines that it knew to have a limit.",
            )?,
            permits: registry.counters(
                "engine_permits_total",
                "Leave to send requests to engines with a limit, by what came of it.",
                &["outcome"],
            )?,
            issuing_for: registry.gauge(
                "engine_permits_issued_for",
                "Engines for which nodes lately asked this one for leave.",
            )?,
            unknown_headers: registry.counters(
                "unknown_headers_total",
                "Headers of the platform's kind that this build does not know, by who sent them.",
                &["sender"],
            )?,
        })
    }

    /// Records a call to an engine.
    pub(super) fn call(&self, call: &CallRecord) {
        if let Some(closed) = call.signals.closed {
            let signal = match closed {
                ClosedReason::Draining => "draining",
                ClosedReason::Removed => "removed",
                ClosedReason::Backoff(_) | ClosedReason::Probing => "backoff",
                ClosedReason::Limit(_) => "limit",
            };
            self.calls_withheld.with_label_values(&[signal]).inc();
        }
        if call.signals.known_limit.is_some() {
            self.calls_limited.inc();
        }
    }

    /// Sets the gauges.
    pub(super) fn set(&self, counts: &SignalCounts) {
        self.engines_draining.set(counts.draining as i64);
        self.engines_backing_off.set(counts.backing_off as i64);
        self.engines_limited.set(counts.limited as i64);
        self.issuing_for.set(counts.issuing_for as i64);
    }

    /// Raises the counter of unknown headers from `sender` to `seen`, the total since the start.
    pub(super) fn count_unknown_headers(&self, sender: HeaderSender, seen: u64) {
        let label = match sender {
            HeaderSender::Engine => "engine",
            HeaderSender::KeyValue => "key-value",
        };
        let counter = self.unknown_headers.with_label_values(&[label]);
        counter.inc_by(seen.saturating_sub(counter.get()));
    }
}
