//! Metrics in the Prometheus text format.

use prometheus::{Encoder as _, IntCounter, IntCounterVec, IntGauge, Opts, Registry, TextEncoder};

/// Metrics could not be registered or encoded.
#[derive(Debug, thiserror::Error)]
#[error("metrics could not be registered or encoded: {0}")]
pub struct MetricsError(#[from] prometheus::Error);

/// Metrics of one node.
#[derive(Clone)]
pub struct Metrics {
    registry: Registry,
    /// Requests by result (`complete`, `not-run`, `unknown`, `cancelled`).
    pub requests: IntCounterVec,
    /// Attempts sent to engines.
    pub attempts: IntCounter,
    /// Output tokens relayed to callers.
    pub tokens: IntCounter,
    /// Discarded frames that belonged to another attempt.
    pub foreign_frames: IntCounter,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Revision of the configuration in force.
    pub configuration_revision: IntGauge,
    /// Live members of the cluster other than this node.
    pub members: IntGauge,
    /// Members that went down or left.
    pub members_lost: IntCounter,
    /// Bytes of datagrams sent to other nodes.
    pub peer_bytes_sent: IntCounter,
    /// Bytes of datagrams received from other nodes.
    pub peer_bytes_received: IntCounter,
    /// Datagrams sent to other nodes.
    pub peer_datagrams_sent: IntCounter,
    /// Datagrams received from other nodes.
    pub peer_datagrams_received: IntCounter,
    /// Group leases held.
    pub leases: IntGauge,
    /// Calls to the key-value service.
    pub key_value_calls: IntCounter,
}

impl Metrics {
    /// Creates and registers the metrics.
    pub fn new() -> Result<Self, MetricsError> {
        let registry = Registry::new_custom(Some("dalestand".to_owned()), None)?;
        let requests = IntCounterVec::new(
            Opts::new("requests_total", "Requests by result."),
            &["result"],
        )?;
        registry.register(Box::new(requests.clone()))?;
        let counter = |name: &str, help: &str| -> Result<IntCounter, prometheus::Error> {
            let counter = IntCounter::new(name, help)?;
            registry.register(Box::new(counter.clone()))?;
            Ok(counter)
        };
        let gauge = |name: &str, help: &str| -> Result<IntGauge, prometheus::Error> {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok(gauge)
        };
        Ok(Self {
            requests,
            attempts: counter("attempts_total", "Attempts sent to engines.")?,
            tokens: counter("tokens_total", "Output tokens relayed to callers.")?,
            foreign_frames: counter("foreign_frames_total", "Discarded frames.")?,
            in_flight: gauge("requests_in_flight", "Requests in flight.")?,
            configuration_revision: gauge("configuration_revision", "Revision in force.")?,
            members: gauge("members", "Live members besides this node.")?,
            members_lost: counter("members_lost_total", "Members that went down or left.")?,
            peer_bytes_sent: counter("peer_bytes_sent_total", "Bytes sent to nodes.")?,
            peer_bytes_received: counter("peer_bytes_received_total", "Bytes got from nodes.")?,
            peer_datagrams_sent: counter("peer_datagrams_sent_total", "Datagrams sent.")?,
            peer_datagrams_received: counter(
                "peer_datagrams_received_total",
                "Datagrams received.",
            )?,
            leases: gauge("leases", "Group leases held.")?,
            key_value_calls: counter("key_value_calls_total", "Key-value calls.")?,
            registry,
        })
    }

    /// All metrics in the Prometheus text format.
    pub fn text(&self) -> Result<String, MetricsError> {
        let mut buffer = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut buffer)?;
        Ok(String::from_utf8_lossy(&buffer).into_owned())
    }
}
