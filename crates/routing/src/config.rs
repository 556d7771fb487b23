//! Router configuration.

use std::time::Duration;

use crate::learning::PriorSpeeds;

/// Configuration of the [`Router`](crate::Router).
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Engines sampled for each decision. A small sample keeps nodes from all selecting the same engine.
    pub sample_size: usize,
    /// Up to this many engines, all are evaluated instead of a sample if this node sends much of their load.
    pub full_scan_limit: usize,
    /// Fraction of the load sent by this node from which all engines are evaluated.
    pub full_scan_own_share: f64,
    /// Engines without a report for longer than this are excluded.
    pub silence_limit: Duration,
    /// Time added to the score of an engine in another zone, in milliseconds.
    pub other_zone_penalty_ms: f64,
    /// Speeds assumed until enough requests have been observed.
    pub prior_speeds: PriorSpeeds,
    /// Weight of the delay that a prefill causes to the decoding of the engine's other requests.
    pub others_delay_weight: f64,
    /// Fraction of the time to a deadline that an admitted request may be expected to take.
    pub admission_share: f64,
    /// Shortest retry delay of a refused caller.
    pub shortest_retry_after: Duration,
    /// Longest retry delay of a refused caller.
    pub longest_retry_after: Duration,
    /// Prompt prefixes remembered.
    pub max_prefixes: usize,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            sample_size: 4,
            full_scan_limit: 16,
            full_scan_own_share: 0.1,
            silence_limit: Duration::from_secs(10),
            other_zone_penalty_ms: 4.0,
            prior_speeds: PriorSpeeds::default(),
            others_delay_weight: 1.0,
            admission_share: 0.9,
            shortest_retry_after: Duration::from_secs(1),
            longest_retry_after: Duration::from_secs(120),
            max_prefixes: 8_192,
        }
    }
}
