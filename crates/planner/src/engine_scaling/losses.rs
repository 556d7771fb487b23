//! Tracks losses of spot engines: how often they happen, how many zones at once, and how long they last. A loss is the
//! reclamation of most spot engines of a zone by the platform.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_types::{MonotonicTime, ZoneName};
use serde::{Deserialize, Serialize};

/// Fraction of a zone's spot engines that must leave without an order to count as a loss. Engines that leave one by
/// one are taken for individual failures.
const MIN_LOST_SHARE: f64 = 0.5;

/// Fewest engines that count as a loss.
const MIN_LOST_ENGINES: u32 = 2;

/// Longer gaps between two observations do not count as observation time.
const MAX_OBSERVATION_INTERVAL: Duration = Duration::from_secs(3);

/// Spot engines of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneSpotEngines {
    /// Engines that accept new requests.
    pub serving: u32,
    /// Engines that have announced that they are leaving.
    pub leaving: u32,
    /// Engine count last ordered, if any.
    pub ordered: Option<u32>,
}

impl ZoneSpotEngines {
    fn is_lost(&self) -> bool {
        let before = self.serving + self.leaving;
        let by_order = self.ordered.is_some_and(|ordered| ordered < before);
        let share = f64::from(self.leaving) / f64::from(before.max(1));
        !by_order && self.leaving >= MIN_LOST_ENGINES && share >= MIN_LOST_SHARE
    }
}

/// Loss statistics, which are stored so that they outlive the node that collects them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LossRecord {
    /// Number of losses; zones lost together count as one.
    pub losses: u32,
    /// Highest number of zones without their spot engines at the same time.
    pub zones_at_once: u32,
    /// Total time during which any zone lacked its spot engines, in seconds.
    pub missed_s: f64,
    /// Total observation time, in seconds.
    pub observed_s: f64,
}

impl LossRecord {
    /// Whether all durations are finite and not negative.
    pub fn is_valid(&self) -> bool {
        let is_duration = |seconds: f64| seconds.is_finite() && seconds >= 0.0;
        is_duration(self.missed_s) && is_duration(self.observed_s)
    }

    /// Adds the record of another node. An invalid record is ignored.
    pub fn merge(&mut self, other: &Self) {
        if !other.is_valid() {
            return;
        }
        self.losses = self.losses.saturating_add(other.losses);
        self.zones_at_once = self.zones_at_once.max(other.zones_at_once);
        self.missed_s += other.missed_s;
        self.observed_s += other.observed_s;
    }

    /// Mean time between losses, in seconds; `None` without a loss. The observation time counts as at least
    /// `min_observed_s`.
    pub fn mean_interval_s(&self, min_observed_s: f64) -> Option<f64> {
        (self.losses > 0).then(|| self.observed_s.max(min_observed_s) / f64::from(self.losses))
    }

    /// Mean duration of a loss, in seconds.
    pub fn mean_outage_s(&self) -> f64 {
        self.missed_s / f64::from(self.losses.max(1))
    }
}

/// Tracks the spot losses of one pool.
#[derive(Clone, Debug, Default)]
pub struct SpotLossTracker {
    record: LossRecord,
    observed_at: Option<MonotonicTime>,
    /// Zones that have lost their spot engines, with the number that they had before.
    lost: BTreeMap<ZoneName, u32>,
}

impl SpotLossTracker {
    /// Continues from a stored record.
    pub fn from_record(record: LossRecord) -> Self {
        let mut losses = Self::default();
        losses.record.merge(&record);
        losses
    }

    /// Statistics so far.
    pub fn record(&self) -> &LossRecord {
        &self.record
    }

    /// Records the spot engines of all zones. Returns whether a new loss was detected.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        zones: &BTreeMap<ZoneName, ZoneSpotEngines>,
    ) -> bool {
        self.add_elapsed(now);
        // A loss lasts until half of the engines, or as many as are ordered, serve again.
        self.lost.retain(|zone, before| {
            let spot = zones.get(zone).copied().unwrap_or_default();
            let recovered = before.div_ceil(2).min(spot.ordered.unwrap_or(u32::MAX));
            spot.is_lost() || spot.serving < recovered
        });
        let had_no_loss = self.lost.is_empty();
        let mut is_new = false;
        for (zone, spot) in zones {
            if spot.is_lost() && !self.lost.contains_key(zone) {
                self.lost.insert(zone.clone(), spot.serving + spot.leaving);
                is_new = true;
            }
        }
        if is_new {
            self.record.losses = self.record.losses.saturating_add(u32::from(had_no_loss));
            let at_once = u32::try_from(self.lost.len()).unwrap_or(u32::MAX);
            self.record.zones_at_once = self.record.zones_at_once.max(at_once);
        }
        is_new
    }

    fn add_elapsed(&mut self, now: MonotonicTime) {
        let elapsed = now.since(self.observed_at.unwrap_or(now));
        self.observed_at = Some(now);
        if elapsed > MAX_OBSERVATION_INTERVAL {
            return;
        }
        self.record.observed_s += elapsed.as_secs_f64();
        if !self.lost.is_empty() {
            self.record.missed_s += elapsed.as_secs_f64();
        }
    }
}
