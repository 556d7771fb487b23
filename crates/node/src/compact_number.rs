//! Counts in one byte: exact when small, within one part in 32 when large.

/// Counts below this are exact.
const EXACT_BELOW: u64 = 64;

/// Steps of each doubling above.
const STEPS: u64 = 32;

/// Doublings that a byte has room for.
const DOUBLINGS: u64 = 6;

/// The greatest count; greater ones are packed as this.
pub(crate) const MAX_COUNT: u64 = (EXACT_BELOW << (DOUBLINGS - 1)) * (2 * STEPS - 1) / STEPS;

/// Packs a count, rounding down.
pub(crate) fn pack(count: u64) -> u8 {
    let count = count.min(MAX_COUNT);
    if count < EXACT_BELOW {
        return count as u8;
    }
    let doubling = u64::from(count.ilog2() - EXACT_BELOW.ilog2());
    let start = EXACT_BELOW << doubling;
    let step = (count - start) * STEPS / start;
    (EXACT_BELOW + doubling * STEPS + step) as u8
}

/// The count that was packed.
pub(crate) fn unpack(packed: u8) -> u64 {
    let packed = u64::from(packed);
    if packed < EXACT_BELOW {
        return packed;
    }
    let doubling = (packed - EXACT_BELOW) / STEPS;
    let step = (packed - EXACT_BELOW) % STEPS;
    let start = EXACT_BELOW << doubling;
    start + step * start / STEPS
}
