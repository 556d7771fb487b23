//! Equal ranges of the hashes of keys, by which tables of entries are compared.

use std::ops::RangeInclusive;

/// Ranges of hashes, a power of two: their digests fit one datagram.
pub(crate) const RANGES: usize = 128;

/// Bits of a hash that name its range.
const RANGE_BITS: u32 = RANGES.trailing_zeros();

/// The range in which a hash lies.
pub(crate) fn range_of(hash: u64) -> usize {
    (hash >> (u64::BITS - RANGE_BITS)) as usize
}

/// The hashes of one range.
pub(crate) fn hashes(range: usize) -> RangeInclusive<u64> {
    let first = (range as u64) << (u64::BITS - RANGE_BITS);
    first..=first | (u64::MAX >> RANGE_BITS)
}
