//! How spot engines were taken away: how often, in how many zones together, and for how long they were missed.

use std::collections::BTreeMap;
use std::time::Duration;

use dalestand_types::{MonotonicTime, ZoneName};
use serde::{Deserialize, Serialize};

/// A zone whose spot engines leave without an order is a loss from this share of them on: single engines that end
/// are faults of theirs.
const LOST_SHARE: f64 = 0.5;

/// Fewer engines than this are no zone's worth.
const FEWEST_LOST: u32 = 2;

/// Time between two looks beyond which the time between them is not counted as observed.
const LONGEST_LOOK: Duration = Duration::from_secs(3);

/// Spot engines of one zone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneSpotEngines {
    /// Engines that take new work.
    pub serving: u32,
    /// Engines that say that they leave.
    pub leaving: u32,
    /// Engines that were ordered, if any order was given.
    pub ordered: Option<u32>,
}

impl ZoneSpotEngines {
    fn is_lost(&self) -> bool {
        let before = self.serving + self.leaving;
        let by_order = self.ordered.is_some_and(|ordered| ordered < before);
        let share = f64::from(self.leaving) / f64::from(before.max(1));
        !by_order && self.leaving >= FEWEST_LOST && share >= LOST_SHARE
    }
}

/// What is kept of losses beyond one holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct LossRecord {
    /// Losses; zones that were lost together are one.
    pub losses: u32,
    /// Most zones that were without their spot engines at one time.
    pub zones_at_once: u32,
    /// Sum of the times without them, in seconds.
    pub missed_s: f64,
    /// Time over which losses were looked for, in seconds.
    pub observed_s: f64,
}

impl LossRecord {
    /// Whether the figures are such that a holder can have counted them.
    pub fn is_sound(&self) -> bool {
        let is_time = |time: f64| time.is_finite() && time >= 0.0;
        is_time(self.missed_s) && is_time(self.observed_s)
    }

    /// Takes in what another holder kept.
    pub fn merge(&mut self, other: &Self) {
        if !other.is_sound() {
            return;
        }
        self.losses = self.losses.saturating_add(other.losses);
        self.zones_at_once = self.zones_at_once.max(other.zones_at_once);
        self.missed_s += other.missed_s;
        self.observed_s += other.observed_s;
    }

    /// Mean time between two losses, in seconds; `None` if none was seen. They are taken to be looked for over
    /// `least_s` at least.
    pub fn between_s(&self, least_s: f64) -> Option<f64> {
        (self.losses > 0).then(|| self.observed_s.max(least_s) / f64::from(self.losses))
    }

    /// Mean time without the engines that were taken away, in seconds.
    pub fn outage_s(&self) -> f64 {
        self.missed_s / f64::from(self.losses.max(1))
    }
}

/// Follows the losses of one pool.
#[derive(Clone, Debug, Default)]
pub struct SpotLossTracker {
    record: LossRecord,
    looked_at: Option<MonotonicTime>,
    /// Zones without their engines, and how many there were.
    missing: BTreeMap<ZoneName, u32>,
}

impl SpotLossTracker {
    /// Goes on from what another holder kept.
    pub fn from_record(record: LossRecord) -> Self {
        let mut losses = Self::default();
        losses.record.merge(&record);
        losses
    }

    /// What is known.
    pub fn record(&self) -> &LossRecord {
        &self.record
    }

    /// Looks at the spot engines of all zones; yields whether a loss is new.
    pub fn observe(
        &mut self,
        now: MonotonicTime,
        zones: &BTreeMap<ZoneName, ZoneSpotEngines>,
    ) -> bool {
        self.pass_time(now);
        self.missing.retain(|zone, lost| {
            let spot = zones.get(zone).copied().unwrap_or_default();
            let returned = lost.div_ceil(2).min(spot.ordered.unwrap_or(u32::MAX));
            spot.is_lost() || spot.serving < returned
        });
        let was_whole = self.missing.is_empty();
        let mut is_new = false;
        for (zone, spot) in zones {
            if spot.is_lost() && !self.missing.contains_key(zone) {
                self.missing
                    .insert(zone.clone(), spot.serving + spot.leaving);
                is_new = true;
            }
        }
        if is_new {
            self.record.losses = self.record.losses.saturating_add(u32::from(was_whole));
            let together = u32::try_from(self.missing.len()).unwrap_or(u32::MAX);
            self.record.zones_at_once = self.record.zones_at_once.max(together);
        }
        is_new
    }

    fn pass_time(&mut self, now: MonotonicTime) {
        let passed = now.since(self.looked_at.unwrap_or(now));
        self.looked_at = Some(now);
        if passed > LONGEST_LOOK {
            return;
        }
        self.record.observed_s += passed.as_secs_f64();
        if !self.missing.is_empty() {
            self.record.missed_s += passed.as_secs_f64();
        }
    }
}
