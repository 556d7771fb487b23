//! Drawing of candidates.

use rand::{Rng, RngExt as _};

/// Draws up to `count` different items and moves them to the front.
pub(crate) fn draw_front<T, R: Rng>(items: &mut [T], count: usize, random: &mut R) -> usize {
    let count = count.min(items.len());
    for place in 0..count {
        let other = random.random_range(place..items.len());
        items.swap(place, other);
    }
    count
}
