//! What the streams of a run measured.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Largest time recorded; longer ones count as this.
const MAX_RECORDED: Duration = Duration::from_secs(120);

/// Digits kept of each time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times and counts, of one stream or of many.
pub(super) struct Measurement {
    /// Time from the request's sending to its first token, in microseconds.
    pub(super) first_token: Histogram<u64>,
    /// Time between two tokens that follow each other, in microseconds.
    pub(super) gap: Histogram<u64>,
    /// Tokens received.
    pub(super) tokens: u64,
    /// Requests answered in whole.
    pub(super) complete: u64,
    /// Requests refused or broken off.
    pub(super) failed: u64,
}

impl Measurement {
    /// Nothing measured.
    pub(super) fn new() -> Self {
        Self {
            first_token: histogram(),
            gap: histogram(),
            tokens: 0,
            complete: 0,
            failed: 0,
        }
    }

    /// Adds what another stream measured.
    pub(super) fn add(&mut self, other: &Self) {
        // Both were made with the same bounds, so adding cannot fail.
        let _ = self.first_token.add(&other.first_token);
        let _ = self.gap.add(&other.gap);
        self.tokens += other.tokens;
        self.complete += other.complete;
        self.failed += other.failed;
    }
}

/// Records a time, in microseconds.
pub(super) fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn histogram() -> Histogram<u64> {
    let largest = MAX_RECORDED.as_micros() as u64;
    // Fixed bounds that the library accepts.
    Histogram::new_with_max(largest, SIGNIFICANT_DIGITS).expect("fixed bounds are valid")
}
