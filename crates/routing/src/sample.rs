//! Random sampling of candidates.

use rand::{Rng, RngExt as _};

/// Samples up to `count` items without replacement and moves them to the front. Returns their number.
pub(crate) fn sample_to_front<T, R: Rng>(items: &mut [T], count: usize, random: &mut R) -> usize {
    let count = count.min(items.len());
    for index in 0..count {
        let other = random.random_range(index..items.len());
        items.swap(index, other);
    }
    count
}
