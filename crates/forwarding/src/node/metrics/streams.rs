//! Metrics of streams that go on at another engine, and of the engines' software versions.

use prometheus::{IntCounterVec, IntGauge, IntGaugeVec};

use super::registry::MetricsRegistry;
use crate::streams::state::StreamState;

/// The software of the engine that goes on with a stream, compared with that of the former one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ResumedSoftware {
    /// Both have the same version.
    Same,
    /// They have different versions.
    Other,
    /// The version of one is not known.
    Unknown,
}

impl ResumedSoftware {
    fn label(self) -> &'static str {
        match self {
            Self::Same => "same",
            Self::Other => "other",
            Self::Unknown => "unknown",
        }
    }
}

/// What came of the search for another engine while one was silent within a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SilenceEnd {
    /// The engine went on first.
    WentOn,
    /// Another engine took over.
    Replaced,
    /// No other engine took over, and the silent one is waited for.
    NoReplacement,
}

impl SilenceEnd {
    /// Name for logs and metrics.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::WentOn => "went on",
            Self::Replaced => "replaced",
            Self::NoReplacement => "no replacement",
        }
    }
}

pub(crate) struct StreamMetrics {
    resumed: IntCounterVec,
    silences: IntCounterVec,
    versions_missing: IntGauge,
    resumptions: IntCounterVec,
    origins: IntCounterVec,
    recorded: IntGaugeVec,
    shared_pools: IntGauge,
}

impl StreamMetrics {
    pub(super) fn new(registry: &MetricsRegistry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            resumed: registry.counters(
                "streams_resumed_total",
                "Streams that went on at another engine within one answer, by whether its software has the former's version.",
                &["software"],
            )?,
            silences: registry.counters(
                "stream_silences_total",
                "Searches for another engine while one was silent within a stream, by what came of them.",
                &["outcome"],
            )?,
            versions_missing: registry.gauge(
                "engine_versions_missing",
                "Listed engines whose software version is not known.",
            )?,
            resumptions: registry.counters(
                "stream_resumptions_total",
                "Requests that resume a stream of an earlier attempt, by how its version was known or why they were refused.",
                &["outcome"],
            )?,
            origins: registry.counters(
                "stream_origins_total",
                "Origins of streams that were sent to relays, received from nodes, or dropped from the queue.",
                &["what"],
            )?,
            recorded: registry.gauges(
                "stream_origins",
                "Origins of streams that this node has, of its own streams and of others.",
                &["of"],
            )?,
            shared_pools: registry.gauge(
                "stream_origin_pools_shared",
                "Pools whose streams may be of several software versions, so that origins are shared.",
            )?,
        })
    }

    /// Records that a stream goes on at another engine within the same answer.
    pub(crate) fn record_resumed(&self, software: ResumedSoftware) {
        self.resumed.with_label_values(&[software.label()]).inc();
    }

    /// Records what came of a search for another engine.
    pub(crate) fn record_silence(&self, end: SilenceEnd) {
        self.silences.with_label_values(&[end.label()]).inc();
    }

    /// Records how a request that resumes a stream was bound, or why it was refused.
    pub(crate) fn record_resumption(&self, outcome: &str) {
        self.resumptions.with_label_values(&[outcome]).inc();
    }

    /// Records origins of streams that were `sent`, `received` or `dropped`.
    pub(crate) fn record_origins(&self, what: &str, count: usize) {
        self.origins.with_label_values(&[what]).inc_by(count as u64);
    }

    /// Sets the gauges.
    pub(super) fn set(&self, versions_missing: usize, state: &StreamState) {
        self.versions_missing.set(versions_missing as i64);
        self.shared_pools.set(state.shared_pool_count() as i64);
        let (own, held) = state.recorded();
        self.recorded.with_label_values(&["own"]).set(own as i64);
        self.recorded.with_label_values(&["held"]).set(held as i64);
    }
}
