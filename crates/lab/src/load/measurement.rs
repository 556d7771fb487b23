//! Measurements of the streams of a run.

use std::time::Duration;

use hdrhistogram::Histogram;

/// Maximum time recorded; longer ones are clamped to it.
const MAX_RECORDED: Duration = Duration::from_secs(120);

/// Significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Times and counts of one or more streams.
pub(super) struct Measurement {
    /// Time from sending a request to its first token, in microseconds.
    pub(super) first_token: Histogram<u64>,
    /// Time between consecutive tokens, in microseconds.
    pub(super) gap: Histogram<u64>,
    /// Tokens received.
    pub(super) tokens: u64,
    /// Requests with a complete response.
    pub(super) complete: u64,
    /// Requests that were rejected or whose response was incomplete.
    pub(super) failed: u64,
}

impl Measurement {
    /// Creates an empty measurement.
    pub(super) fn new() -> Self {
        Self {
            first_token: histogram(),
            gap: histogram(),
            tokens: 0,
            complete: 0,
            failed: 0,
        }
    }

    /// Adds another measurement.
    pub(super) fn add(&mut self, other: &Self) {
        // The histograms have the same bounds, so adding cannot fail.
        let _ = self.first_token.add(&other.first_token);
        let _ = self.gap.add(&other.gap);
        self.tokens += other.tokens;
        self.complete += other.complete;
        self.failed += other.failed;
    }
}

/// Records a time in a histogram of microseconds.
pub(super) fn record(histogram: &mut Histogram<u64>, time: Duration) {
    histogram.saturating_record(time.as_micros() as u64);
}

fn histogram() -> Histogram<u64> {
    let largest = MAX_RECORDED.as_micros() as u64;
    Histogram::new_with_max(largest, SIGNIFICANT_DIGITS).expect("fixed bounds are valid")
}
