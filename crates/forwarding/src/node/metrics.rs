//! Counters, histograms and gauges of a forwarding node, in the Prometheus text format.

use std::rc::Rc;
use std::time::Duration;

use dalestand_edge::unknown_headers::{UNKNOWN_SENDERS, UnknownSender};
use dalestand_http_server::{
    Answer, Connections, Request, ServerLimits, StatusCode, serve, status_answer, text_answer,
};
use dalestand_routes::RouteKind;
use dalestand_routing::CallPurpose;
use dalestand_routing::staged::ClosedFor;
use prometheus::{
    Encoder as _, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
    IntGaugeVec, Opts, Registry, TextEncoder,
};
use tokio::net::TcpListener;

use crate::context::Context;
use crate::quarantine::evidence::stopped_count;
use crate::serve::progress::CallRecord;

/// Where the figures are told.
const PATH: &str = "/metrics";

/// Upper bounds of the latency histograms, in seconds.
const LATENCY_BOUNDS: [f64; 11] = [0.01, 0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 0.75, 1.0, 2.5, 5.0];

/// Upper bounds of the histogram of the time that a choice takes, in seconds.
const CHOICE_BOUNDS: [f64; 8] = [25e-6, 50e-6, 100e-6, 250e-6, 500e-6, 1e-3, 5e-3, 25e-3];

/// The figures.
pub(crate) struct ForwardingMetrics {
    registry: Registry,
    requests: IntCounterVec,
    head_seconds: HistogramVec,
    calls: IntCounterVec,
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
    repeats_left: IntGaugeVec,
    in_flight: IntGauge,
    held_bytes: IntGauge,
    engines: IntGauge,
    nodes: IntGauge,
    configuration: IntGauge,
    choice_seconds: Histogram,
    load_age_seconds: Histogram,
    news_dropped: IntCounter,
    bulk_dropped: IntCounter,
    entries: IntGauge,
    parts: IntGauge,
    code_collisions: IntGauge,
    calls_withheld: IntCounterVec,
    entries_unreadable: IntCounter,
    engines_draining: IntGauge,
    engines_backing_off: IntGauge,
    engines_limited: IntGauge,
    limits_unreadable: IntCounter,
    calls_limited: IntCounter,
    permits: IntCounterVec,
    unknown_headers: IntCounterVec,
    issued_for: IntGauge,
    crashes: IntCounter,
    requests_stopped: IntGauge,
}

impl ForwardingMetrics {
    /// Figures that stand at zero.
    pub(crate) fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new_custom(Some("dalestand".to_owned()), None)?;
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let latencies = |name: &str, help: &str, labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(LATENCY_BOUNDS.to_vec());
            let latencies = HistogramVec::new(options, labels)?;
            registry.register(Box::new(latencies.clone()))?;
            Ok::<_, prometheus::Error>(latencies)
        };
        let histogram = |name: &str, help: &str, bounds: &[f64]| {
            let options = HistogramOpts::new(name, help).buckets(bounds.to_vec());
            let histogram = Histogram::with_opts(options)?;
            registry.register(Box::new(histogram.clone()))?;
            Ok::<_, prometheus::Error>(histogram)
        };
        let counter = |name: &str, help: &str| {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok::<_, prometheus::Error>(counter)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        Ok(Self {
            requests: counters(
                "forwarded_requests_total",
                "Requests by kind of route and status.",
                &["kind", "status"],
            )?,
            head_seconds: latencies(
                "forwarded_head_seconds",
                "Time to the answer's head, by kind of route.",
                &["kind"],
            )?,
            calls: counters(
                "engine_calls_total",
                "Calls to engines by purpose and outcome.",
                &["purpose", "outcome"],
            )?,
            call_seconds: latencies(
                "engine_call_seconds",
                "Time of calls to engines, by purpose.",
                &["purpose"],
            )?,
            store_calls: counters(
                "store_calls_total",
                "Calls to the key-value service by call and outcome.",
                &["call", "outcome"],
            )?,
            store_seconds: latencies(
                "store_call_seconds",
                "Time of calls to the key-value service, by call; a watch waits for changes.",
                &["call"],
            )?,
            datagrams: counters(
                "peer_datagrams_total",
                "Datagrams between nodes by message and outcome.",
                &["message", "outcome"],
            )?,
            datagram_bytes: counters(
                "peer_datagram_bytes_total",
                "Bytes of datagrams between nodes by message and outcome.",
                &["message", "outcome"],
            )?,
            is_relay: gauge("is_relay", "1 if this node passes fleet-wide state on.")?,
            reads_store: gauge(
                "reads_store",
                "1 if this node reads fleet-wide state from the key-value service.",
            )?,
            authority_token: gauge(
                "authority_token",
                "Fencing token of the lease, if this node holds it; 0 otherwise.",
            )?,
            duty_calls: counters(
                "duty_calls_total",
                "Calls to the platform that one node makes for all, by duty and outcome.",
                &["duty", "outcome"],
            )?,
            usage_counted: gauge(
                "usage_requests",
                "Requests of tenants that engines began for this node since its start.",
            )?,
            report_age_ms: gauge(
                "load_age_ms",
                "Mean age of the work that other nodes reported, in milliseconds.",
            )?,
            repeats_left: {
                let options = Opts::new(
                    "repeated_sends_left",
                    "Repeated sends that this node may make now, by pool.",
                );
                let gauges = IntGaugeVec::new(options, &["pool"])?;
                registry.register(Box::new(gauges.clone()))?;
                gauges
            },
            in_flight: gauge("forwarded_in_flight", "Requests under way.")?,
            held_bytes: gauge(
                "held_answer_bytes",
                "Bytes of whole answers that callers have not read yet.",
            )?,
            engines: gauge("engines_accepting", "Engines that take new work.")?,
            nodes: gauge("nodes_known", "Nodes, this one among them.")?,
            configuration: gauge("declaration_revision", "Revision in force; 0 for none.")?,
            choice_seconds: histogram(
                "choice_seconds",
                "Time of one choice of engines for a prompt.",
                &CHOICE_BOUNDS,
            )?,
            load_age_seconds: histogram(
                "choice_load_age_seconds",
                "Mean age of the work that others reported, at each choice for a prompt.",
                &LATENCY_BOUNDS,
            )?,
            news_dropped: counter(
                "peer_news_dropped_total",
                "News that were not passed on because too many waited.",
            )?,
            bulk_dropped: counter(
                "peer_answers_dropped_total",
                "Datagrams of long answers to other nodes that were dropped because too many waited.",
            )?,
            entries: gauge("engine_entries", "Engines' entries known.")?,
            parts: gauge(
                "prompt_parts_known",
                "Parts of prompts known to be kept by engines.",
            )?,
            code_collisions: gauge(
                "engine_code_collisions",
                "Engines whose short number another engine has too.",
            )?,
            calls_withheld: counters(
                "engine_calls_withheld_total",
                "Calls that were not made because the engine had said that it drains, had asked for backoff, or takes only so many.",
                &["signal"],
            )?,
            entries_unreadable: counter(
                "engine_entries_unreadable_total",
                "Readings of engines' entries that name no engine.",
            )?,
            engines_draining: gauge(
                "engines_draining",
                "Engines that have said in an answer that they drain, and are still listed.",
            )?,
            engines_backing_off: gauge(
                "engines_backing_off",
                "Engines that want no calls of this node now.",
            )?,
            engines_limited: gauge(
                "engines_limited",
                "Engines that take only so many requests a second of all nodes together.",
            )?,
            limits_unreadable: counter(
                "engine_limits_unreadable_total",
                "Answers of engines that named something as their limit that is no rate.",
            )?,
            calls_limited: counter(
                "engine_calls_limited_total",
                "Requests that this node sent to engines that it knew to have a limit.",
            )?,
            permits: counters(
                "engine_permits_total",
                "Leave to send requests to engines with a limit, by what came of it.",
                &["outcome"],
            )?,
            issued_for: gauge(
                "engine_permits_issued_for",
                "Engines for which nodes lately asked this one for leave.",
            )?,
            unknown_headers: counters(
                "unknown_headers_total",
                "Headers of the platform's kind that this build does not know, by who sent them.",
                &["sender"],
            )?,
            crashes: counter(
                "engine_crashes_attributed_total",
                "Requests that this node had at an engine when that ended.",
            )?,
            requests_stopped: gauge(
                "requests_stopped",
                "Requests that are refused because engines ended under them.",
            )?,
            registry,
        })
    }

    /// Notes a request whose answer's head is decided.
    pub(crate) fn request(&self, kind: Option<RouteKind>, status: StatusCode, took: Duration) {
        let kind = kind.map_or("none", kind_label);
        let requests = self.requests.with_label_values(&[kind, status.as_str()]);
        requests.inc();
        let latency = self.head_seconds.with_label_values(&[kind]);
        latency.observe(took.as_secs_f64());
    }

    /// Notes a call to an engine.
    pub(crate) fn call(&self, call: &CallRecord) {
        let purpose = match call.purpose {
            CallPurpose::Prefill => "prefill",
            CallPurpose::Run => "run",
        };
        let calls = self.calls.with_label_values(&[purpose, call.outcome]);
        calls.inc();
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
        let latency = self.call_seconds.with_label_values(&[purpose]);
        latency.observe(call.took.as_secs_f64());
    }

    /// Notes a call to the key-value service.
    pub(crate) fn store_call(&self, call: &str, outcome: &str, took: Duration) {
        self.store_calls.with_label_values(&[call, outcome]).inc();
        let latency = self.store_seconds.with_label_values(&[call]);
        latency.observe(took.as_secs_f64());
    }

    /// Notes a call that one node makes for all.
    pub(crate) fn duty_call(&self, duty: &str, outcome: &str) {
        self.duty_calls.with_label_values(&[duty, outcome]).inc();
    }

    /// Notes a choice of engines for a prompt, with the age of the work that decided it.
    pub(crate) fn chosen(&self, took: Duration, load_age: Duration) {
        self.choice_seconds.observe(took.as_secs_f64());
        self.load_age_seconds.observe(load_age.as_secs_f64());
    }

    /// Notes news that were not passed on.
    pub(crate) fn news_dropped(&self, count: u64) {
        self.news_dropped.inc_by(count);
    }

    /// Notes datagrams of long answers that were dropped.
    pub(crate) fn bulk_dropped(&self, count: u64) {
        self.bulk_dropped.inc_by(count);
    }

    /// Notes a request that was at an engine when that ended.
    pub(crate) fn crash_attributed(&self) {
        self.crashes.inc();
    }

    /// Notes what came of a question for leave, or of leave.
    pub(crate) fn permit(&self, outcome: &str) {
        self.permits.with_label_values(&[outcome]).inc();
    }

    /// Notes an answer whose limit is no rate.
    pub(crate) fn limit_unreadable(&self) {
        self.limits_unreadable.inc();
    }

    /// Notes an engine's entry that names no engine.
    pub(crate) fn entry_unreadable(&self) {
        self.entries_unreadable.inc();
    }

    /// Notes a datagram between nodes.
    pub(crate) fn datagram(&self, message: &str, outcome: &str, bytes: usize) {
        let labels = [message, outcome];
        self.datagrams.with_label_values(&labels).inc();
        let counted = self.datagram_bytes.with_label_values(&labels);
        counted.inc_by(bytes as u64);
    }

    fn text(&self, context: &Context) -> Result<String, prometheus::Error> {
        self.in_flight.set(context.in_flight.count() as i64);
        self.held_bytes.set(context.held_bytes.get() as i64);
        self.engines.set(context.fleet().len() as i64);
        let collisions = context.fleet().code_collisions();
        self.code_collisions.set(collisions as i64);
        self.entries
            .set(context.spread.entries.borrow().len() as i64);
        self.parts.set(context.router.borrow().parts.len() as i64);
        self.nodes.set(context.node_count() as i64);
        let revision = context.table().map_or(0, |table| table.revision().0);
        self.configuration.set(revision as i64);
        let now = context.now();
        let role = context.spread.role(now);
        self.is_relay.set(i64::from(role.is_relay));
        self.reads_store.set(i64::from(role.reads_store));
        let report_age = context.router.borrow().work.mean_age(now, |_| true);
        let held = context.authority.held_token();
        self.authority_token.set(held.unwrap_or_default() as i64);
        self.usage_counted.set(context.usage.counted() as i64);
        self.report_age_ms.set(report_age.as_millis() as i64);
        self.engines_draining
            .set(context.fleet().draining().len() as i64);
        let router = context.router.borrow();
        let backing_off = router.signals.backing_off(now);
        self.engines_backing_off.set(backing_off as i64);
        let limited = router.signals.limits().iter().count();
        self.engines_limited.set(limited as i64);
        let issued_for = context.permits.issued_for();
        self.issued_for.set(issued_for as i64);
        drop(router);
        self.requests_stopped.set(stopped_count(context) as i64);
        self.set_repeats_left(context);
        self.count_unknown_headers(context);
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8_lossy(&buffer).into_owned())
    }

    fn count_unknown_headers(&self, context: &Context) {
        for sender in UNKNOWN_SENDERS {
            let label = match sender {
                UnknownSender::Engine => "engine",
                UnknownSender::KeyValue => "key-value",
            };
            let counter = self.unknown_headers.with_label_values(&[label]);
            let seen = context.unknown_headers.seen(sender);
            counter.inc_by(seen.saturating_sub(counter.get()));
        }
    }

    /// Only pools of the declaration in force are told, so that labels stay bounded.
    fn set_repeats_left(&self, context: &Context) {
        self.repeats_left.reset();
        let now = context.now();
        let table = context.table();
        for pool in table.iter().flat_map(|table| table.pools()) {
            let left = context.budget.borrow_mut().left(now, &pool.name);
            let gauge = self.repeats_left.with_label_values(&[pool.name.as_str()]);
            gauge.set(left.floor() as i64);
        }
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

/// Tells the figures on `listener` for as long as it is polled.
pub(crate) async fn serve_metrics(context: Rc<Context>, listener: TcpListener) {
    let handler = move |request| answer(Rc::clone(&context), request);
    let limits = ServerLimits::default();
    serve(listener, limits, Connections::default(), handler).await;
}

async fn answer(context: Rc<Context>, request: Request) -> Answer {
    if request.path() != PATH {
        return status_answer(StatusCode::NOT_FOUND);
    }
    match context.metrics.text(&context) {
        Ok(text) => text_answer(StatusCode::OK, text),
        Err(error) => text_answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
