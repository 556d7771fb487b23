//! Encodes counts in one byte: exactly below 64, above with a relative error below 1/32.

/// Smaller counts are encoded exactly.
const EXACT_BELOW: u64 = 64;

/// Codes for each doubling of the count.
const STEPS_PER_DOUBLING: u64 = 32;

/// Doublings for which the remaining codes of a byte suffice.
const DOUBLINGS: u64 = 6;

/// Largest representable count; larger counts are encoded as this one.
pub(crate) const MAX_COUNT: u64 =
    (EXACT_BELOW << (DOUBLINGS - 1)) * (2 * STEPS_PER_DOUBLING - 1) / STEPS_PER_DOUBLING;

/// Encodes a count, rounding down.
pub(crate) fn pack(count: u64) -> u8 {
    let count = count.min(MAX_COUNT);
    if count < EXACT_BELOW {
        return count as u8;
    }
    let doubling = u64::from(count.ilog2() - EXACT_BELOW.ilog2());
    let start = EXACT_BELOW << doubling;
    let step = (count - start) * STEPS_PER_DOUBLING / start;
    (EXACT_BELOW + doubling * STEPS_PER_DOUBLING + step) as u8
}

/// Decodes a count.
pub(crate) fn unpack(packed: u8) -> u64 {
    let packed = u64::from(packed);
    if packed < EXACT_BELOW {
        return packed;
    }
    let doubling = (packed - EXACT_BELOW) / STEPS_PER_DOUBLING;
    let step = (packed - EXACT_BELOW) % STEPS_PER_DOUBLING;
    let start = EXACT_BELOW << doubling;
    start + step * start / STEPS_PER_DOUBLING
}
