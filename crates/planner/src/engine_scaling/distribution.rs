//! Distributes engines among zones.

use std::collections::BTreeMap;

use dalestand_types::ZoneName;

/// Bisection steps; enough to settle the budget of a zone to less than one engine at any fleet size.
const BISECTION_STEPS: u32 = 64;

/// Limits and price of one zone.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ZoneLimits {
    /// Minimum engines.
    pub(crate) min: u32,
    /// Maximum engines.
    pub(crate) max: u32,
    /// Price of an engine, as a multiple of the usual price; above 0.
    pub(crate) price: f64,
}

impl ZoneLimits {
    /// Engines that `budget` buys, within the limits.
    fn engines_for(&self, budget: f64) -> u32 {
        let engines = (budget / self.price) as u32;
        engines.max(self.min).min(self.max)
    }
}

/// Distributes `total` engines, as far as the limits allow, giving each zone the same budget: expensive zones get
/// fewer engines, and no zone gets much more than the others.
pub(crate) fn distribute(
    zones: &BTreeMap<ZoneName, ZoneLimits>,
    total: u32,
) -> BTreeMap<ZoneName, u32> {
    let max_price = zones
        .values()
        .map(|limits| limits.price)
        .fold(0.0, f64::max);
    let sum = |budget| -> u64 {
        let counts = zones
            .values()
            .map(|limits| u64::from(limits.engines_for(budget)));
        counts.sum()
    };
    let (mut affordable, mut too_much) = (0.0, (f64::from(total) + 1.0) * max_price);
    for _ in 0..BISECTION_STEPS {
        let middle = f64::midpoint(affordable, too_much);
        if sum(middle) <= u64::from(total) {
            affordable = middle;
        } else {
            too_much = middle;
        }
    }
    let counts = zones
        .iter()
        .map(|(zone, limits)| (zone.clone(), limits.engines_for(affordable)));
    let mut counts: BTreeMap<ZoneName, u32> = counts.collect();
    // Zones whose next engine costs the same compete for the remainder: one more each, in name order.
    let mut left = u64::from(total).saturating_sub(sum(affordable));
    for (zone, limits) in zones {
        if left > 0 && counts[zone] < limits.engines_for(too_much) {
            counts.entry(zone.clone()).and_modify(|count| *count += 1);
            left -= 1;
        }
    }
    counts
}
