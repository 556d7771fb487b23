//! Token rates of engines, which digests carry, and the token totals that a reader derives from
//! them.
//!
//! A rate takes one byte per engine, a total would take several. A reader that misses a digest
//! applies the next rate to the whole time since the last digest that it received.

use std::time::Duration;

use dalestand_types::{EngineLoad, MonotonicTime};

/// Shortest time between two reports from which a rate is computed.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Longest time to which a rate is applied.
const MAX_INTERVAL: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TokenRates {
    /// Prompt tokens per second.
    pub(crate) prefill_per_s: f64,
    /// Output tokens per second.
    pub(crate) decode_per_s: f64,
}

impl TokenRates {
    /// Rates between two reports: zero if the engine restarted in between, `previous` if the
    /// reports are too close to each other.
    pub(crate) fn between(
        previous: Self,
        earlier: (&EngineLoad, MonotonicTime),
        later: (&EngineLoad, MonotonicTime),
    ) -> Self {
        let elapsed = later.1.since(earlier.1);
        if later.0.incarnation != earlier.0.incarnation {
            return Self::default();
        }
        if elapsed < MIN_INTERVAL {
            return previous;
        }
        let rate = |now: u64, then: u64| now.saturating_sub(then) as f64 / elapsed.as_secs_f64();
        Self {
            prefill_per_s: rate(later.0.prefill_tokens_total, earlier.0.prefill_tokens_total),
            decode_per_s: rate(later.0.decode_tokens_total, earlier.0.decode_tokens_total),
        }
    }
}

/// Estimated tokens that an engine processed since the reader's first digest of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct TokenTotals {
    /// Prompt tokens.
    pub(crate) prefill: f64,
    /// Output tokens.
    pub(crate) decode: f64,
}

impl TokenTotals {
    /// The totals after `elapsed` at the given rates.
    pub(crate) fn after(self, rates: TokenRates, elapsed: Duration) -> Self {
        let seconds = elapsed.min(MAX_INTERVAL).as_secs_f64();
        Self {
            prefill: self.prefill + rates.prefill_per_s * seconds,
            decode: self.decode + rates.decode_per_s * seconds,
        }
    }
}
