//! Metrics of the engine counts that this node orders.

use std::collections::BTreeMap;

use dalestand_planner::ScalingDecision;
use dalestand_types::PoolName;
use prometheus::IntGaugeVec;

use super::registry::MetricsRegistry;

/// Gauges by pool; empty at nodes that order no engines.
pub(super) struct ScalingMetrics {
    wanted: IntGaugeVec,
    needed: IntGaugeVec,
    losses: IntGaugeVec,
}

impl ScalingMetrics {
    pub(super) fn new(registry: &MetricsRegistry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            wanted: registry.gauges(
                "engines_wanted",
                "Engines that this node wants, by pool and terms.",
                &["pool", "terms"],
            )?,
            needed: registry.gauges(
                "engines_needed",
                "Engines that the demand would keep busy all the time, by pool.",
                &["pool"],
            )?,
            losses: registry.gauges(
                "spot_losses",
                "Times that spot engines of a zone were taken away, by pool.",
                &["pool"],
            )?,
        })
    }

    /// Sets the gauges; pools without a decision are removed.
    pub(super) fn set(&self, decisions: &BTreeMap<PoolName, ScalingDecision>) {
        self.wanted.reset();
        self.needed.reset();
        self.losses.reset();
        for (pool, decision) in decisions {
            let pool = pool.as_str();
            let wanted = decision.wanted();
            for (terms, count) in [("spot", wanted.spot), ("on-demand", wanted.on_demand)] {
                let gauge = self.wanted.with_label_values(&[pool, terms]);
                gauge.set(i64::from(count));
            }
            if let Some(need) = &decision.need {
                let gauge = self.needed.with_label_values(&[pool]);
                gauge.set(need.forecast.ceil() as i64);
            }
            let losses = self.losses.with_label_values(&[pool]);
            losses.set(i64::from(decision.losses.record.losses));
        }
    }
}
