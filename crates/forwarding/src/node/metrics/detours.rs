//! Metrics of connections to engines through other nodes.

use dalestand_engine_link::{Detour, DetourError};
use dalestand_tunnel::{TunnelCounts, TunnelReply};
use prometheus::{IntCounterVec, IntGauge};

use super::registry::MetricsRegistry;

pub(crate) struct DetourMetrics {
    is_cut_off: IntGauge,
    opened: IntCounterVec,
    replies: IntCounterVec,
    carried: IntGauge,
    carried_bytes: IntCounterVec,
}

impl DetourMetrics {
    pub(super) fn new(registry: &MetricsRegistry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            is_cut_off: registry.gauge(
                "cut_off_from_engines",
                "1 while this node reaches no engine directly.",
            )?,
            opened: registry.counters(
                "detours_total",
                "Connections to engines that other nodes were asked for, by outcome.",
                &["outcome"],
            )?,
            replies: registry.counters(
                "tunnel_requests_total",
                "Connections to engines that other nodes asked this one for, by its reply.",
                &["reply"],
            )?,
            carried: registry.gauge(
                "tunnels_carried",
                "Connections to engines that this node carries for others.",
            )?,
            carried_bytes: registry.counters(
                "tunnel_bytes_total",
                "Bytes that this node carried for others, by direction.",
                &["direction"],
            )?,
        })
    }

    /// Records the outcome of asking other nodes.
    pub(crate) fn record_opening(&self, opened: &Result<Detour, DetourError>) {
        let outcome = match opened {
            Ok(_) => "opened",
            Err(DetourError::NoListener) => "no listener",
            Err(DetourError::NoPeers) => "no peers",
            Err(DetourError::Unavailable) => "unavailable",
        };
        self.opened.with_label_values(&[outcome]).inc();
    }

    /// Records this node's reply to another one.
    pub(crate) fn record_reply(&self, reply: TunnelReply) {
        self.replies.with_label_values(&[reply.label()]).inc();
    }

    /// Sets the gauges, and raises the counters to the totals.
    pub(super) fn set(&self, is_cut_off: bool, carried: usize, counts: TunnelCounts) {
        self.is_cut_off.set(i64::from(is_cut_off));
        self.carried.set(carried as i64);
        let totals = [
            ("to engines", counts.bytes_to_engines),
            ("from engines", counts.bytes_from_engines),
        ];
        for (direction, total) in totals {
            let counter = self.carried_bytes.with_label_values(&[direction]);
            counter.inc_by(total.saturating_sub(counter.get()));
        }
    }
}
