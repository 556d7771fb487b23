//! Figures of what engines say of themselves, and of what follows from it.

use dalestand_edge::unknown_headers::UnknownSender;
use dalestand_routing::staged::ClosedReason;
use prometheus::{IntCounter, IntCounterVec, IntGauge};

use super::figures::Figures;
use crate::serve::progress::CallRecord;

/// Numbers of engines, as they stand.
pub(super) struct StandingSignals {
    /// Those that have said that they drain.
    pub(super) draining: usize,
    /// Those that want no calls now.
    pub(super) backing_off: usize,
    /// Those that take only so many requests.
    pub(super) limited: usize,
    /// Those for which nodes asked this one for leave.
    pub(super) issued_for: usize,
}

/// The figures.
pub(super) struct SignalFigures {
    calls_withheld: IntCounterVec,
    engines_draining: IntGauge,
    engines_backing_off: IntGauge,
    engines_limited: IntGauge,
    pub(super) limits_unreadable: IntCounter,
    calls_limited: IntCounter,
    pub(super) permits: IntCounterVec,
    issued_for: IntGauge,
    unknown_headers: IntCounterVec,
}

impl SignalFigures {
    pub(super) fn new(figures: &Figures) -> Result<Self, prometheus::Error> {
        Ok(Self {
            calls_withheld: figures.counters(
                "engine_calls_withheld_total",
                "Calls that were not made because the engine had said that it drains, had asked for backoff, or takes only so many.",
                &["signal"],
            )?,
            engines_draining: figures.gauge(
                "engines_draining",
                "Engines that have said in an answer that they drain, and are still listed.",
            )?,
            engines_backing_off: figures.gauge(
                "engines_backing_off",
                "Engines that want no calls of this node now.",
            )?,
            engines_limited: figures.gauge(
                "engines_limited",
                "Engines that take only so many requests a second of all nodes together.",
            )?,
            limits_unreadable: figures.counter(
                "engine_limits_unreadable_total",
                "Answers of engines that named something as their limit that is no rate.",
            )?,
            calls_limited: figures.counter(
                "engine_calls_limited_total",
                "Requests that this node sent to engines that it knew to have a limit.",
            )?,
            permits: figures.counters(
                "engine_permits_total",
                "Leave to send requests to engines with a limit, by what came of it.",
                &["outcome"],
            )?,
            issued_for: figures.gauge(
                "engine_permits_issued_for",
                "Engines for which nodes lately asked this one for leave.",
            )?,
            unknown_headers: figures.counters(
                "unknown_headers_total",
                "Headers of the platform's kind that this build does not know, by who sent them.",
                &["sender"],
            )?,
        })
    }

    /// Notes a call to an engine.
    pub(super) fn call(&self, call: &CallRecord) {
        if let Some(closed) = call.signals.closed {
            let signal = match closed {
                ClosedReason::Draining => "draining",
                ClosedReason::Backoff(_) | ClosedReason::Probing => "backoff",
                ClosedReason::Limit(_) => "limit",
            };
            self.calls_withheld.with_label_values(&[signal]).inc();
        }
        if call.signals.known_limit.is_some() {
            self.calls_limited.inc();
        }
    }

    /// Sets what is told as it stands.
    pub(super) fn set(&self, standing: &StandingSignals) {
        self.engines_draining.set(standing.draining as i64);
        self.engines_backing_off.set(standing.backing_off as i64);
        self.engines_limited.set(standing.limited as i64);
        self.issued_for.set(standing.issued_for as i64);
    }

    /// Counts unknown headers of a sender, of which `seen` came since the start.
    pub(super) fn count_unknown_headers(&self, sender: UnknownSender, seen: u64) {
        let label = match sender {
            UnknownSender::Engine => "engine",
            UnknownSender::KeyValue => "key-value",
        };
        let counter = self.unknown_headers.with_label_values(&[label]);
        counter.inc_by(seen.saturating_sub(counter.get()));
    }
}
