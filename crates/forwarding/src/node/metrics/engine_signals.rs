//! Figures of what engines say of themselves, and of what follows from it.

use dalestand_edge::unknown_headers::UnknownSender;
use dalestand_routing::WorkKind;
use dalestand_routing::speeds::EngineSpeeds;
use dalestand_routing::staged::ClosedFor;
use prometheus::{IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

use super::figures::Figures;
use crate::fleet::engines::Fleet;
use crate::serve::progress::CallRecord;

/// Kinds of work, as figures name them.
const WORK_LABELS: [(WorkKind, &str); 3] = [
    (WorkKind::Prefill, "prefill"),
    (WorkKind::Decode, "decode"),
    (WorkKind::Opaque, "opaque"),
];

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
    pub(super) loads_unreadable: IntCounter,
    calls_limited: IntCounter,
    engines_known: IntGaugeVec,
    slowness_percent: IntGaugeVec,
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
            loads_unreadable: figures.counter(
                "engine_loads_unreadable_total",
                "Answers of engines that reported something as their load that is none.",
            )?,
            engines_known: figures.gauges(
                "engine_speeds_known",
                "Engines of whose speed something is known, by kind of work.",
                &["work"],
            )?,
            slowness_percent: figures.gauges(
                "engine_slowness_percent",
                "Time that the fastest and the slowest engine take, in hundredths of a usual one's, by kind of work.",
                &["work", "engine"],
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
                ClosedFor::Draining => "draining",
                ClosedFor::Backoff(_) | ClosedFor::Returning => "backoff",
                ClosedFor::Limit(_) => "limit",
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

    /// Sets what is believed of engines' speeds.
    pub(super) fn set_speeds(&self, fleet: &Fleet, speeds: &EngineSpeeds) {
        self.engines_known.reset();
        self.slowness_percent.reset();
        for (kind, label) in WORK_LABELS {
            let engines = fleet
                .pools()
                .flat_map(|pool| pool.iter().map(|engine| (pool.key(), engine)))
                .filter(|(_, engine)| WorkKind::from(engine.stage) == kind);
            let believed =
                engines.map(|(pool, engine)| speeds.believed(pool, engine.key, engine.stage));
            let known =
                believed.filter(|believed| believed.own_weight + believed.fleet_weight > 0.0);
            let mut percents: Vec<i64> = known
                .map(|believed| (believed.slowness * 100.0).round() as i64)
                .collect();
            percents.sort_unstable();
            let count = self.engines_known.with_label_values(&[label]);
            count.set(percents.len() as i64);
            for (engine, percent) in [("fastest", percents.first()), ("slowest", percents.last())] {
                if let Some(percent) = percent {
                    let gauge = self.slowness_percent.with_label_values(&[label, engine]);
                    gauge.set(*percent);
                }
            }
        }
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
