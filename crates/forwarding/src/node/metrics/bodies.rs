//! Metrics of the bodies of callers' requests.

use dalestand_http_server::Usage;
use prometheus::{IntCounterVec, IntGauge};

use super::registry::MetricsRegistry;
use crate::serve::answer::Failure;

pub(crate) struct BodyMetrics {
    bytes: IntGauge,
    limit: IntGauge,
    refused: IntCounterVec,
}

impl BodyMetrics {
    pub(super) fn new(registry: &MetricsRegistry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            bytes: registry.gauge("request_body_bytes", "Bytes of request bodies in memory.")?,
            limit: registry.gauge(
                "request_body_bytes_limit",
                "Bound on the bytes of request bodies in memory.",
            )?,
            refused: registry.counters(
                "request_bodies_refused_total",
                "Requests that were refused because of their bodies, by reason.",
                &["reason"],
            )?,
        })
    }

    pub(super) fn set(&self, usage: Usage) {
        self.bytes.set(usage.bytes as i64);
        self.limit.set(usage.limit_bytes as i64);
    }

    pub(crate) fn record_refused(&self, failure: Failure) {
        let reason = format!("{failure:?}");
        self.refused.with_label_values(&[reason.as_str()]).inc();
    }
}
