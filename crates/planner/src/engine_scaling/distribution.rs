//! Divides engines among zones.

use std::collections::BTreeMap;

use dalestand_types::ZoneName;

/// Halvings until the money of a zone is known to less than an engine, for any number of engines.
const HALVINGS: u32 = 64;

/// What a zone may have.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ZoneRoom {
    /// Fewest engines.
    pub(crate) least: u32,
    /// Most engines.
    pub(crate) most: u32,
    /// Price of an engine, as a multiple of the usual one; above 0.
    pub(crate) price: f64,
}

impl ZoneRoom {
    /// Engines for so much money.
    fn for_money(&self, money: f64) -> u32 {
        let engines = (money / self.price) as u32;
        engines.max(self.least).min(self.most)
    }
}

/// So many engines among zones, as far as there is room, such that the same money goes to each: dearer zones have
/// fewer, and no zone has much more than the others.
pub(crate) fn spread(zones: &BTreeMap<ZoneName, ZoneRoom>, total: u32) -> BTreeMap<ZoneName, u32> {
    let dearest = zones.values().map(|room| room.price).fold(0.0, f64::max);
    let sum = |money| -> u64 {
        let counts = zones.values().map(|room| u64::from(room.for_money(money)));
        counts.sum()
    };
    let (mut affordable, mut too_much) = (0.0, (f64::from(total) + 1.0) * dearest);
    for _ in 0..HALVINGS {
        let middle = f64::midpoint(affordable, too_much);
        if sum(middle) <= u64::from(total) {
            affordable = middle;
        } else {
            too_much = middle;
        }
    }
    let counts = zones
        .iter()
        .map(|(zone, room)| (zone.clone(), room.for_money(affordable)));
    let mut counts: BTreeMap<ZoneName, u32> = counts.collect();
    // Zones whose next engine costs the same: each gets one more in turn.
    let mut left = u64::from(total).saturating_sub(sum(affordable));
    for (zone, room) in zones {
        if left > 0 && counts[zone] < room.for_money(too_much) {
            counts.entry(zone.clone()).and_modify(|count| *count += 1);
            left -= 1;
        }
    }
    counts
}
