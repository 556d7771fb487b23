//! HTTP endpoints of the metrics address: Prometheus metrics and the capacity report.

use std::rc::Rc;

use dalestand_edge::unknown_headers::HEADER_SENDERS;
use dalestand_http_server::{
    Answer, Connections, Request, ServerLimits, StatusCode, json_answer, serve, status_answer,
    text_answer,
};
use prometheus::{Encoder as _, TextEncoder};
use tokio::net::TcpListener;

use super::ForwardingMetrics;
use super::engine_signals::SignalCounts;
use crate::context::Context;
use crate::node::capacity::capacity_report;
use crate::quarantine::evidence::stopped_count;

/// Path of the Prometheus metrics.
const METRICS_PATH: &str = "/metrics";

/// Path of the capacity report.
const CAPACITY_PATH: &str = "/room";

impl ForwardingMetrics {
    /// Updates the gauges and encodes all metrics as text.
    fn encode(&self, context: &Context) -> Result<String, prometheus::Error> {
        self.in_flight.set(context.in_flight.count() as i64);
        self.bodies.set(context.bodies.usage());
        self.held_bytes.set(context.held_bytes.get() as i64);
        self.engines.set(context.fleet().len() as i64);
        let collisions = context.fleet().code_collisions();
        self.code_collisions.set(collisions as i64);
        self.entries
            .set(context.dissemination.entries.borrow().len() as i64);
        let age = context.entries_proof.age();
        self.entries_age_ms
            .set(age.map_or(-1, |age| age.as_millis() as i64));
        let entry_sync = context.dissemination.entry_sync.borrow();
        let differ_for = entry_sync.differs_for(context.now());
        self.entries_differ_ms.set(differ_for.as_millis() as i64);
        self.entry_removals_held
            .set(context.entries_proof.held_removals() as i64);
        self.streams
            .set(context.engine_versions().missing().len(), &context.streams);
        self.parts.set(context.router.borrow().parts.len() as i64);
        self.nodes.set(context.node_count() as i64);
        let revision = context.table().map_or(0, |table| table.revision().0);
        self.declaration_revision.set(revision as i64);
        let now = context.now();
        let role = context.dissemination.role(now);
        self.is_relay.set(i64::from(role.is_relay));
        self.reads_store.set(i64::from(role.reads_store));
        let report_age = context.router.borrow().work.mean_report_age(now, |_| true);
        let held = context.fleet_lease.held_token();
        self.authority_token.set(held.unwrap_or_default() as i64);
        self.usage_counted
            .set(context.usage.counted_requests() as i64);
        self.report_age_ms.set(report_age.as_millis() as i64);
        self.signals.set(&signal_counts(context));
        let detours = &context.detours;
        self.detours.set(
            detours.is_cut_off(),
            detours.tunnels.open(),
            detours.tunnels.counts(),
        );
        for sender in HEADER_SENDERS {
            let seen = context.unknown_headers.count(sender);
            self.signals.count_unknown_headers(sender, seen);
        }
        self.requests_stopped.set(stopped_count(context) as i64);
        if let Some(connections) = context.caller_connections.get() {
            self.caller_connections.set(connections.open() as i64);
            self.caller_connections_refused
                .set(connections.refused() as i64);
            self.caller_connections_displaced
                .set(connections.displaced() as i64);
        }
        self.set_retries_left(context);
        self.scaling.set(&context.scaling_decisions.borrow());
        self.set_tenants_over_share(context);
        self.admission.set(context.admissions.summaries());
        self.sums.set(context, now);
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8_lossy(&buffer).into_owned())
    }

    /// Sets the gauge for pools of the current declaration only, so the number of labels is bounded.
    fn set_retries_left(&self, context: &Context) {
        self.retries_left.reset();
        let now = context.now();
        let table = context.table();
        for pool in table.iter().flat_map(|table| table.pools()) {
            let balance = context.budget.borrow_mut().balance(now, &pool.name);
            for (part, left) in [("earned", balance.earned), ("slack", balance.slack)] {
                let labels = [pool.name.as_str(), part];
                let gauge = self.retries_left.with_label_values(&labels);
                gauge.set(left.floor() as i64);
            }
        }
    }

    fn set_tenants_over_share(&self, context: &Context) {
        self.tenants_over_share.reset();
        for (pool, tenants) in context.tenant_shares.limited_tenants(context.now()) {
            let gauge = self.tenants_over_share.with_label_values(&[pool.as_str()]);
            gauge.set(tenants as i64);
        }
    }
}

fn signal_counts(context: &Context) -> SignalCounts {
    let router = context.router.borrow();
    SignalCounts {
        draining: context.fleet().draining().len(),
        backing_off: router.signals.backing_off_count(context.now()),
        limited: router.signals.limits().iter().count(),
        issuing_for: context.permits.issuing_engine_count(),
    }
}

/// Serves both endpoints on `listener`; never returns.
pub(crate) async fn serve_metrics(context: Rc<Context>, listener: TcpListener) {
    let handler = move |request| answer(Rc::clone(&context), request);
    let limits = ServerLimits::default();
    serve(listener, limits, Connections::default(), handler).await;
}

async fn answer(context: Rc<Context>, request: Request) -> Answer {
    match request.path() {
        METRICS_PATH => metrics_answer(&context),
        CAPACITY_PATH => json_answer(StatusCode::OK, &capacity_report(&context, context.now())),
        _ => status_answer(StatusCode::NOT_FOUND),
    }
}

fn metrics_answer(context: &Context) -> Answer {
    match context.metrics.encode(context) {
        Ok(text) => text_answer(StatusCode::OK, text),
        Err(error) => text_answer(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}
