//! Figures of requests that want a place in a pool that is short.

use std::time::Duration;

use dalestand_types::PoolName;
use prometheus::{Histogram, IntCounterVec, IntGaugeVec};

use super::LATENCY_BOUNDS;
use super::figures::Figures;

/// The figures.
pub(super) struct RoomFigures {
    decisions: IntCounterVec,
    wait_seconds: Histogram,
    waiting: IntGaugeVec,
    places: IntGaugeVec,
}

impl RoomFigures {
    pub(super) fn new(figures: &Figures) -> Result<Self, prometheus::Error> {
        Ok(Self {
            decisions: figures.counters(
                "room_decisions_total",
                "Requests for a place in a pool that is short, by what became of them.",
                &["outcome"],
            )?,
            wait_seconds: figures.histogram(
                "room_wait_seconds",
                "Time for which requests waited for a place in a pool that is short.",
                &LATENCY_BOUNDS,
            )?,
            waiting: figures.gauges(
                "room_waiting",
                "Requests that wait for a place, by pool.",
                &["pool"],
            )?,
            places: figures.gauges(
                "room_places",
                "Requests that this node may have at the engines of a pool, by pool; 0 where it is not known.",
                &["pool"],
            )?,
        })
    }

    /// Notes a decision.
    pub(super) fn decided(&self, outcome: &str, waited: Duration) {
        self.decisions.with_label_values(&[outcome]).inc();
        self.wait_seconds.observe(waited.as_secs_f64());
    }

    /// Sets what is told as it stands.
    pub(super) fn set(&self, standing: Vec<(PoolName, usize, f64)>) {
        self.waiting.reset();
        self.places.reset();
        for (pool, waiting, places) in standing {
            let labels = [pool.as_str()];
            self.waiting.with_label_values(&labels).set(waiting as i64);
            self.places.with_label_values(&labels).set(places as i64);
        }
    }
}
