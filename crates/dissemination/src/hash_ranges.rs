//! Equal ranges of key hashes, by which tables of entries are compared.

use std::ops::RangeInclusive;

/// Number of ranges, a power of two. The digests of all ranges fit one datagram.
pub(crate) const RANGE_COUNT: usize = 128;

/// Leading bits of a hash that select its range.
const RANGE_BITS: u32 = RANGE_COUNT.trailing_zeros();

/// Index of the range that contains a hash.
pub(crate) fn range_of(hash: u64) -> usize {
    (hash >> (u64::BITS - RANGE_BITS)) as usize
}

/// All hashes of one range.
pub(crate) fn hashes_of_range(range: usize) -> RangeInclusive<u64> {
    let first = (range as u64) << (u64::BITS - RANGE_BITS);
    first..=first | (u64::MAX >> RANGE_BITS)
}
