//! Metrics of admission to overloaded pools.

use std::time::Duration;

use dalestand_types::PoolName;
use prometheus::{Histogram, IntCounterVec, IntGaugeVec};

use super::LATENCY_BOUNDS;
use super::registry::MetricsRegistry;

pub(super) struct AdmissionMetrics {
    decisions: IntCounterVec,
    wait_seconds: Histogram,
    waiting: IntGaugeVec,
    places: IntGaugeVec,
}

impl AdmissionMetrics {
    pub(super) fn new(registry: &MetricsRegistry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            decisions: registry.counters(
                "room_decisions_total",
                "Requests for a place in a pool that is short, by what became of them.",
                &["outcome"],
            )?,
            wait_seconds: registry.histogram(
                "room_wait_seconds",
                "Time for which requests waited for a place in a pool that is short.",
                &LATENCY_BOUNDS,
            )?,
            waiting: registry.gauges(
                "room_waiting",
                "Requests that wait for a place, by pool.",
                &["pool"],
            )?,
            places: registry.gauges(
                "room_places",
                "Requests that this node may have at the engines of a pool, by pool; 0 where it is not known.",
                &["pool"],
            )?,
        })
    }

    /// Records a decision and the time for which the request waited.
    pub(super) fn record_decision(&self, outcome: &str, waited: Duration) {
        self.decisions.with_label_values(&[outcome]).inc();
        self.wait_seconds.observe(waited.as_secs_f64());
    }

    /// Sets the gauges from the waiting requests and the capacity of each pool.
    pub(super) fn set(&self, summaries: Vec<(PoolName, usize, f64)>) {
        self.waiting.reset();
        self.places.reset();
        for (pool, waiting, places) in summaries {
            let labels = [pool.as_str()];
            self.waiting.with_label_values(&labels).set(waiting as i64);
            self.places.with_label_values(&labels).set(places as i64);
        }
    }
}
