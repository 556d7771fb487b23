//! Metrics of pools, summed over all nodes as far as this node knows.

use std::collections::BTreeSet;

use dalestand_routing::ClassFigures;
use dalestand_types::{MonotonicTime, PoolName};
use prometheus::{GaugeVec, IntGaugeVec};

use super::registry::MetricsRegistry;
use crate::context::Context;
use crate::node::capacity::{class_demand, figure_ages};

/// Gauges of the fleet-wide sums.
pub(super) struct FleetSumMetrics {
    requests_per_s: GaugeVec,
    requests: GaugeVec,
    slots: IntGaugeVec,
    ages_ms: IntGaugeVec,
}

impl FleetSumMetrics {
    pub(super) fn new(registry: &MetricsRegistry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            requests_per_s: registry.float_gauges(
                "pool_requests_per_second",
                "Requests a second of all nodes, by pool, priority and what came of them.",
                &["pool", "priority", "what"],
            )?,
            requests: registry.float_gauges(
                "pool_requests",
                "Requests of all nodes at one moment, by pool, priority and state.",
                &["pool", "priority", "state"],
            )?,
            slots: registry.gauges(
                "pool_slots",
                "Requests that engines which take new work can run at once, by pool.",
                &["pool"],
            )?,
            ages_ms: registry.gauges(
                "peer_sums_age_ms",
                "Age of the newest figures of other nodes, in milliseconds.",
                &["figures"],
            )?,
        })
    }

    /// Sets the gauges. Only pools and priorities of the current declaration get labels, so the number of
    /// labels is bounded whatever other nodes report.
    pub(super) fn set(&self, context: &Context, now: MonotonicTime) {
        self.requests_per_s.reset();
        self.requests.reset();
        self.slots.reset();
        let table = context.table();
        let priorities = table.as_ref().map(|table| table.priorities());
        let priorities = priorities.unwrap_or_default();
        for pool in table.iter().flat_map(|table| table.pools()) {
            self.set_pool(context, &pool.name, &priorities);
        }
        self.set_ages(context, now);
    }

    fn set_pool(&self, context: &Context, pool: &PoolName, priorities: &BTreeSet<u8>) {
        let fleet = context.fleet();
        let slots = fleet
            .pool(pool)
            .iter()
            .map(|engine| i64::from(engine.slots));
        let gauge = self.slots.with_label_values(&[pool.as_str()]);
        gauge.set(slots.sum());
        for class in class_demand(&context.sums, pool) {
            if priorities.contains(&class.priority) {
                self.set_class(pool, class.priority, &class.figures);
            }
        }
    }

    fn set_class(&self, pool: &PoolName, priority: u8, figures: &ClassFigures) {
        let priority = priority.to_string();
        let set = |gauges: &GaugeVec, label: &str, value: f32| {
            let gauge = gauges.with_label_values(&[pool.as_str(), &priority, label]);
            gauge.set(f64::from(value));
        };
        set(&self.requests_per_s, "asked", figures.asked_per_s);
        set(&self.requests_per_s, "returned", figures.returned_per_s);
        set(&self.requests_per_s, "begun", figures.begun_per_s);
        set(&self.requests_per_s, "refused", figures.refused_per_s);
        let engine_refusals = figures.engine_refusals_per_s;
        set(&self.requests_per_s, "engine_refused", engine_refusals);
        set(&self.requests, "running", figures.busy_slots);
        set(&self.requests, "waiting", figures.waiting);
        set(&self.requests, "returns_due", figures.returns_due);
    }

    /// Sets the ages; figures that no other node reported have none.
    fn set_ages(&self, context: &Context, now: MonotonicTime) {
        self.ages_ms.reset();
        let ages = figure_ages(&context.sums, now);
        let ages = [
            ("demand", ages.demand_ms),
            ("tenants", ages.tenants_ms),
            ("speeds", ages.speeds_ms),
        ];
        for (figures, age_ms) in ages {
            if let Some(age_ms) = age_ms {
                let gauge = self.ages_ms.with_label_values(&[figures]);
                gauge.set(age_ms as i64);
            }
        }
    }
}
