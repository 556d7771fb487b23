//! Figures of the numbers of engines that this node orders.

use std::collections::BTreeMap;

use dalestand_planner::ScalingDecision;
use dalestand_types::PoolName;
use prometheus::IntGaugeVec;

use super::figures::Figures;

/// Gauges by pool; without a pool at nodes that order no engines.
pub(super) struct ScalingFigures {
    wanted: IntGaugeVec,
    needed: IntGaugeVec,
    losses: IntGaugeVec,
}

impl ScalingFigures {
    pub(super) fn new(figures: &Figures) -> Result<Self, prometheus::Error> {
        Ok(Self {
            wanted: figures.gauges(
                "engines_wanted",
                "Engines that this node wants, by pool and terms.",
                &["pool", "terms"],
            )?,
            needed: figures.gauges(
                "engines_needed",
                "Engines that the demand would keep busy all the time, by pool.",
                &["pool"],
            )?,
            losses: figures.gauges(
                "spot_losses",
                "Times that spot engines of a zone were taken away, by pool.",
                &["pool"],
            )?,
        })
    }

    /// Only pools for which this node decides are told.
    pub(super) fn set(&self, accounts: &BTreeMap<PoolName, ScalingDecision>) {
        self.wanted.reset();
        self.needed.reset();
        self.losses.reset();
        for (pool, account) in accounts {
            let pool = pool.as_str();
            let wanted = account.wanted();
            for (terms, count) in [("spot", wanted.spot), ("on-demand", wanted.on_demand)] {
                let gauge = self.wanted.with_label_values(&[pool, terms]);
                gauge.set(i64::from(count));
            }
            if let Some(need) = &account.need {
                let gauge = self.needed.with_label_values(&[pool]);
                gauge.set(need.forecast.ceil() as i64);
            }
            let losses = self.losses.with_label_values(&[pool]);
            losses.set(i64::from(account.losses.record.losses));
        }
    }
}
