//! Token rates of engines, as they travel in digests, and the totals a reader makes of them.
//!
//! Totals would take several bytes an engine. A rate takes one, and a lost digest costs a reader
//! little: the next rate stands for the time since the last digest it has.

use std::time::Duration;

use dalestand_types::{EngineLoad, MonotonicTime};

/// Shortest time between two reports that a rate is made of.
const SHORTEST_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time that one rate stands for.
const LONGEST_INTERVAL: Duration = Duration::from_secs(10);

/// What an engine ran in a second.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TokenRates {
    /// Prompt tokens a second.
    pub(crate) prefill_per_s: f64,
    /// Output tokens a second.
    pub(crate) decode_per_s: f64,
}

impl TokenRates {
    /// The rates between two reports of one run; `before` if they are too close.
    pub(crate) fn between(
        before: Self,
        earlier: (&EngineLoad, MonotonicTime),
        later: (&EngineLoad, MonotonicTime),
    ) -> Self {
        let elapsed = later.1.since(earlier.1);
        if later.0.incarnation != earlier.0.incarnation {
            return Self::default();
        }
        if elapsed < SHORTEST_INTERVAL {
            return before;
        }
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / elapsed.as_secs_f64();
        Self {
            prefill_per_s: rate(later.0.prefill_tokens_total, earlier.0.prefill_tokens_total),
            decode_per_s: rate(later.0.decode_tokens_total, earlier.0.decode_tokens_total),
        }
    }
}

/// Tokens that an engine ran since a reader first heard of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TokenTotals {
    /// Prompt tokens.
    pub(crate) prefill: f64,
    /// Output tokens.
    pub(crate) decode: f64,
}

impl TokenTotals {
    /// The totals after a rate has stood for `elapsed`.
    pub(crate) fn advanced(self, rates: TokenRates, elapsed: Duration) -> Self {
        let seconds = elapsed.min(LONGEST_INTERVAL).as_secs_f64();
        Self {
            prefill: self.prefill + rates.prefill_per_s * seconds,
            decode: self.decode + rates.decode_per_s * seconds,
        }
    }
}
