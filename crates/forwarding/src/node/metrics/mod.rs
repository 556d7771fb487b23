//! Prometheus metrics of a forwarding node.

mod admission;
pub(crate) mod bodies;
mod detours;
mod engine_signals;
pub(crate) mod held_parts;
pub(crate) mod page;
mod registry;
mod scaling;
pub(crate) mod streams;
mod sums;

use std::time::Duration;

use dalestand_engine_link::BodyFraming;
use dalestand_http_server::StatusCode;
use dalestand_routes::RouteKind;
use dalestand_routing::CallPurpose;
use dalestand_types::PoolName;
use prometheus::{
    Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec, Registry,
};

use self::admission::AdmissionMetrics;
use self::bodies::BodyMetrics;
use self::detours::DetourMetrics;
use self::engine_signals::SignalMetrics;
use self::held_parts::HeldPartMetrics;
use self::registry::MetricsRegistry;
use self::scaling::ScalingMetrics;
use self::streams::StreamMetrics;
use self::sums::FleetSumMetrics;
use crate::serve::caller_watch::RequestPhase;
use crate::serve::progress::CallRecord;

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 2.5, 5.0];

/// Upper bounds of the histogram of the time to choose engines, in seconds.
const CHOICE_BOUNDS: [f64; 8] = [25e-6, 50e-6, 100e-6, 250e-6, 500e-6, 1e-3, 5e-3, 25e-3];

/// What became of a repeated send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RetryOutcome {
    /// It was taken from the budget.
    Taken,
    /// It was given back, as it does not count.
    Returned,
    /// The budget did not allow it.
    Denied,
    /// An engine read a call late, after it had been given up.
    ReadLate,
}

impl RetryOutcome {
    fn label(self) -> &'static str {
        match self {
            Self::Taken => "taken",
            Self::Returned => "returned",
            Self::Denied => "denied",
            Self::ReadLate => "read late",
        }
    }
}

/// How an engine's answer ended that was passed on as it arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunEnd {
    /// After its last event.
    Complete,
    /// Within an event, though its end was marked.
    InsideEvent,
    /// Before its end was marked.
    BrokenOff,
    /// An event was too long to be held.
    EventTooLong,
    /// The engine sent nothing for too long.
    Silent,
}

impl RunEnd {
    fn label(self) -> &'static str {
        match self {
            Self::Complete => "complete",
            Self::InsideEvent => "inside an event",
            Self::BrokenOff => "broken off",
            Self::EventTooLong => "event too long",
            Self::Silent => "silent",
        }
    }
}

/// Metrics of a forwarding node.
pub(crate) struct ForwardingMetrics {
    registry: Registry,
    requests: IntCounterVec,
    head_seconds: HistogramVec,
    calls: IntCounterVec,
    answers: IntCounterVec,
    stray_answers: IntCounter,
    malformed_answers: IntCounterVec,
    run_ends: IntCounterVec,
    pub(crate) held_parts: HeldPartMetrics,
    pub(crate) streams: StreamMetrics,
    pub(crate) detours: DetourMetrics,
    call_seconds: HistogramVec,
    store_calls: IntCounterVec,
    store_seconds: HistogramVec,
    datagrams: IntCounterVec,
    datagram_bytes: IntCounterVec,
    is_relay: IntGauge,
    reads_store: IntGauge,
    report_age_ms: IntGauge,
    usage_counted: IntGauge,
    authority_token: IntGauge,
    duty_calls: IntCounterVec,
    retries: IntCounterVec,
    retries_left: IntGaugeVec,
    in_flight: IntGauge,
    held_bytes: IntGauge,
    pub(crate) bodies: BodyMetrics,
    callers_left: IntCounterVec,
    engines: IntGauge,
    nodes: IntGauge,
    declaration_revision: IntGauge,
    choice_seconds: Histogram,
    load_age_seconds: Histogram,
    news_dropped: IntCounter,
    invalid_rows: IntCounter,
    admission: AdmissionMetrics,
    bulk_dropped: IntCounter,
    entries: IntGauge,
    entries_age_ms: IntGauge,
    entries_differ_ms: IntGauge,
    entry_removals_held: IntGauge,
    parts: IntGauge,
    code_collisions: IntGauge,
    entries_unreadable: IntCounter,
    signals: SignalMetrics,
    sums: FleetSumMetrics,
    crashes: IntCounter,
    requests_stopped: IntGauge,
    caller_connections: IntGauge,
    caller_connections_refused: IntGauge,
    caller_connections_displaced: IntGauge,
    scaling: ScalingMetrics,
    over_share: IntCounterVec,
    tenants_over_share: IntGaugeVec,
}

impl ForwardingMetrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let metrics = MetricsRegistry::new()?;
        Ok(Self {
            requests: metrics.counters(
                "forwarded_requests_total",
                "Requests by kind of route and status.",
                &["kind", "status"],
            )?,
            head_seconds: metrics.histograms(
                "forwarded_head_seconds",
                "Time to the answer's head, by kind of route.",
                &LATENCY_BOUNDS,
                &["kind"],
            )?,
            calls: metrics.counters(
                "engine_calls_total",
                "Calls to engines by purpose and outcome.",
                &["purpose", "outcome"],
            )?,
            answers: metrics.counters(
                "engine_answers_total",
                "Answers of engines to calls, by whether the connection was new or kept.",
                &["connection"],
            )?,
            stray_answers: metrics.counter(
                "engine_stray_answers_total",
                "Answers of engines that belong to other requests than the one that was due.",
            )?,
            malformed_answers: metrics.counters(
                "engine_malformed_answers_total",
                "What engines sent in the place of an answer, by why it was not one.",
                &["reason"],
            )?,
            run_ends: metrics.counters(
                "streamed_runs_total",
                "Engines' answers that were passed on as they arrived, by how their end is marked and how they ended.",
                &["framing", "end"],
            )?,
            held_parts: HeldPartMetrics::new(&metrics)?,
            streams: StreamMetrics::new(&metrics)?,
            call_seconds: metrics.histograms(
                "engine_call_seconds",
                "Time of calls to engines, by purpose.",
                &LATENCY_BOUNDS,
                &["purpose"],
            )?,
            store_calls: metrics.counters(
                "store_calls_total",
                "Calls to the key-value service by call and outcome.",
                &["call", "outcome"],
            )?,
            store_seconds: metrics.histograms(
                "store_call_seconds",
                "Time of calls to the key-value service, by call; a watch waits for changes.",
                &LATENCY_BOUNDS,
                &["call"],
            )?,
            datagrams: metrics.counters(
                "peer_datagrams_total",
                "Datagrams between nodes by message and outcome.",
                &["message", "outcome"],
            )?,
            datagram_bytes: metrics.counters(
                "peer_datagram_bytes_total",
                "Bytes of datagrams between nodes by message and outcome.",
                &["message", "outcome"],
            )?,
            is_relay: metrics.gauge("is_relay", "1 if this node passes fleet-wide state on.")?,
            reads_store: metrics.gauge(
                "reads_store",
                "1 if this node reads fleet-wide state from the key-value service.",
            )?,
            authority_token: metrics.gauge(
                "authority_token",
                "Fencing token of the lease, if this node holds it; 0 otherwise.",
            )?,
            duty_calls: metrics.counters(
                "duty_calls_total",
                "Calls to the platform that one node makes for all, by duty and outcome.",
                &["duty", "outcome"],
            )?,
            usage_counted: metrics.gauge(
                "usage_requests",
                "Requests of tenants that engines began for this node since its start.",
            )?,
            report_age_ms: metrics.gauge(
                "load_age_ms",
                "Mean age of the work that other nodes reported, in milliseconds.",
            )?,
            retries: metrics.counters(
                "repeated_sends_total",
                "Repeated sends taken from the budget, given back to it as not sent, denied by it, and charged as read late, by pool.",
                &["pool", "outcome"],
            )?,
            retries_left: metrics.gauges(
                "repeated_sends_left",
                "Repeated sends that this node may make now, by pool and by what allows them.",
                &["pool", "part"],
            )?,
            in_flight: metrics.gauge("forwarded_in_flight", "Requests under way.")?,
            held_bytes: metrics.gauge(
                "held_answer_bytes",
                "Bytes of whole answers that callers have not read yet.",
            )?,
            bodies: BodyMetrics::new(&metrics)?,
            callers_left: metrics.counters(
                "callers_left_total",
                "Requests whose callers' connections ended before their answers were complete, by how far they had come.",
                &["phase"],
            )?,
            engines: metrics.gauge("engines_accepting", "Engines that take new work.")?,
            nodes: metrics.gauge("nodes_known", "Nodes, this one among them.")?,
            declaration_revision: metrics.gauge("declaration_revision", "Revision in force; 0 for none.")?,
            choice_seconds: metrics.histogram(
                "choice_seconds",
                "Time of one choice of engines for a prompt.",
                &CHOICE_BOUNDS,
            )?,
            load_age_seconds: metrics.histogram(
                "choice_load_age_seconds",
                "Mean age of the work that others reported, at each choice for a prompt.",
                &LATENCY_BOUNDS,
            )?,
            news_dropped: metrics.counter(
                "peer_news_dropped_total",
                "News that were not passed on because too many waited.",
            )?,
            invalid_rows: metrics.counter(
                "peer_sums_unsound_total",
                "Rows of figures of other nodes that were passed over because no node can have counted them.",
            )?,
            admission: AdmissionMetrics::new(&metrics)?,
            bulk_dropped: metrics.counter(
                "peer_answers_dropped_total",
                "Datagrams of long answers to other nodes that were dropped because too many waited.",
            )?,
            entries: metrics.gauge("engine_entries", "Engines' entries known.")?,
            entries_age_ms: metrics.gauge(
                "engine_entries_age_ms",
                "Time since the known engine entries were last proved complete; -1 if they never were.",
            )?,
            entries_differ_ms: metrics.gauge(
                "engine_entries_differ_ms",
                "Time since requests for the engine entries that differ from the relay's bring no progress; 0 if none differ.",
            )?,
            entry_removals_held: metrics.gauge(
                "engine_entry_removals_held",
                "Removals of engine entries that are held back for a grace period.",
            )?,
            parts: metrics.gauge(
                "prompt_parts_known",
                "Parts of prompts known to be kept by engines.",
            )?,
            code_collisions: metrics.gauge(
                "engine_code_collisions",
                "Engines whose short number another engine has too.",
            )?,
            entries_unreadable: metrics.counter(
                "engine_entries_unreadable_total",
                "Readings of engines' entries that name no engine.",
            )?,
            crashes: metrics.counter(
                "engine_crashes_attributed_total",
                "Requests that this node had at an engine when that ended.",
            )?,
            requests_stopped: metrics.gauge(
                "requests_stopped",
                "Requests that are refused because engines ended under them.",
            )?,
            caller_connections: metrics.gauge(
                "caller_connections",
                "Open connections of callers.",
            )?,
            caller_connections_refused: metrics.gauge(
                "caller_connections_refused",
                "Connections of callers that were closed on arrival since the start, because too many were open.",
            )?,
            caller_connections_displaced: metrics.gauge(
                "caller_connections_displaced",
                "Connections of callers that were ended since the start in favour of new ones, as they were quiet.",
            )?,
            over_share: metrics.counters(
                "requests_over_share_total",
                "Requests that were refused because their tenant was over its share, by pool.",
                &["pool"],
            )?,
            tenants_over_share: metrics.gauges(
                "tenants_over_share",
                "Tenants that ask for more than their share, by pool; all small ones count as one.",
                &["pool"],
            )?,
            detours: DetourMetrics::new(&metrics)?,
            signals: SignalMetrics::new(&metrics)?,
            scaling: ScalingMetrics::new(&metrics)?,
            sums: FleetSumMetrics::new(&metrics)?,
            registry: metrics.into_registry(),
        })
    }

    /// Records the answer head of a request.
    pub(crate) fn request(&self, kind: Option<RouteKind>, status: StatusCode, took: Duration) {
        let kind = kind.map_or("none", kind_label);
        let requests = self.requests.with_label_values(&[kind, status.as_str()]);
        requests.inc();
        let latency = self.head_seconds.with_label_values(&[kind]);
        latency.observe(took.as_secs_f64());
    }

    /// Records a request whose caller's connection ended before its answer was complete.
    pub(crate) fn caller_left(&self, phase: RequestPhase) {
        self.callers_left.with_label_values(&[phase.label()]).inc();
    }

    /// Records a call to an engine.
    pub(crate) fn call(&self, call: &CallRecord) {
        let purpose = match call.purpose {
            CallPurpose::Prefill => "prefill",
            CallPurpose::Run => "run",
        };
        let calls = self.calls.with_label_values(&[purpose, call.outcome]);
        calls.inc();
        self.signals.call(call);
        if let Some(used) = call.signals.connection {
            let connection = if used.call > 1 { "kept" } else { "new" };
            self.answers.with_label_values(&[connection]).inc();
        }
        self.stray_answers.inc_by(call.signals.stray_answers as u64);
        if let Some(reason) = call.signals.malformed {
            self.malformed_answers.with_label_values(&[reason]).inc();
        }
        let latency = self.call_seconds.with_label_values(&[purpose]);
        latency.observe(call.took.as_secs_f64());
    }

    /// Records the end of an engine's answer that was passed on as it arrived.
    pub(crate) fn streamed_run(&self, framing: BodyFraming, end: RunEnd) {
        let labels = [framing.label(), end.label()];
        self.run_ends.with_label_values(&labels).inc();
    }

    /// Records what became of a repeated send.
    pub(crate) fn retry(&self, pool: &PoolName, outcome: RetryOutcome) {
        let labels = [pool.as_str(), outcome.label()];
        self.retries.with_label_values(&labels).inc();
    }

    /// Records a call to the key-value service.
    pub(crate) fn store_call(&self, call: &str, outcome: &str, took: Duration) {
        self.store_calls.with_label_values(&[call, outcome]).inc();
        let latency = self.store_seconds.with_label_values(&[call]);
        latency.observe(took.as_secs_f64());
    }

    /// Records a call to the platform that the lease holder makes for the fleet.
    pub(crate) fn duty_call(&self, duty: &str, outcome: &str) {
        self.duty_calls.with_label_values(&[duty, outcome]).inc();
    }

    /// Records a choice of engines for a prompt, with the mean age of the load reports that it used.
    pub(crate) fn chosen(&self, took: Duration, load_age: Duration) {
        self.choice_seconds.observe(took.as_secs_f64());
        self.load_age_seconds.observe(load_age.as_secs_f64());
    }

    /// Counts updates that were dropped instead of passed on.
    pub(crate) fn news_dropped(&self, count: u64) {
        self.news_dropped.inc_by(count);
    }

    /// Counts rows of reported figures that are out of range.
    pub(crate) fn invalid_rows(&self, count: usize) {
        self.invalid_rows.inc_by(count as u64);
    }

    /// Records the outcome of a request for admission to an overloaded pool, and how long it waited.
    pub(crate) fn admission_decision(&self, outcome: &str, waited: Duration) {
        self.admission.record_decision(outcome, waited);
    }

    /// Counts dropped datagrams of bulk answers.
    pub(crate) fn bulk_dropped(&self, count: u64) {
        self.bulk_dropped.inc_by(count);
    }

    /// Counts a request that was refused because its tenant exceeded its share.
    pub(crate) fn over_share(&self, pool: &PoolName) {
        self.over_share.with_label_values(&[pool.as_str()]).inc();
    }

    /// Counts a request that was running on an engine when the engine ended.
    pub(crate) fn crash_attributed(&self) {
        self.crashes.inc();
    }

    /// Counts the outcome of a permit request or of a permit.
    pub(crate) fn permit(&self, outcome: &str) {
        self.signals.permits.with_label_values(&[outcome]).inc();
    }

    /// Counts an engine answer whose rate limit cannot be parsed.
    pub(crate) fn limit_unreadable(&self) {
        self.signals.limits_unreadable.inc();
    }

    /// Counts an engine entry that cannot be parsed.
    pub(crate) fn entry_unreadable(&self) {
        self.entries_unreadable.inc();
    }

    /// Records a datagram between nodes.
    pub(crate) fn datagram(&self, message: &str, outcome: &str, bytes: usize) {
        let labels = [message, outcome];
        self.datagrams.with_label_values(&labels).inc();
        let bytes_total = self.datagram_bytes.with_label_values(&labels);
        bytes_total.inc_by(bytes as u64);
    }
}

fn kind_label(kind: RouteKind) -> &'static str {
    match kind {
        RouteKind::Repeatable => "repeatable",
        RouteKind::Once => "once",
        RouteKind::Stream => "stream",
        RouteKind::ResumableStream => "resumable-stream",
    }
}
