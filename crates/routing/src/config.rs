//! Settings of the router.

use std::time::Duration;

use crate::learning::PriorSpeeds;

/// Settings of the router.
#[derive(Clone, Debug, PartialEq)]
pub struct RouterConfig {
    /// Candidates drawn for one choice; drawing few avoids that all nodes take the same engine.
    pub sample_size: usize,
    /// Up to so many candidates are all looked at, if the node sends much of their load itself.
    pub look_at_all: usize,
    /// Share of the load, sent by this node, from which that is safe: its own requests are known
    /// at once, so it does not crowd an engine that an old report shows as idle.
    pub own_share_to_look_at_all: f64,
    /// An engine of which nothing was heard for this long is left out.
    pub silence_limit: Duration,
    /// Added score of an engine in another zone, in milliseconds.
    pub other_zone_penalty_ms: f64,
    /// Speeds assumed until they are learnt.
    pub prior_speeds: PriorSpeeds,
    /// Weight of the delay that a prompt brings to the output of the engine's other requests.
    pub others_delay_weight: f64,
    /// Share of a deadline that the expected time may take for a request to be admitted.
    pub admission_share: f64,
    /// Shortest wait told to a refused caller.
    pub shortest_retry_after: Duration,
    /// Longest wait told to a refused caller.
    pub longest_retry_after: Duration,
    /// Leading prompt blocks remembered.
    pub prefixes_remembered: usize,
}

impl Default for RouterConfig {
    fn default() -> Self {
        Self {
            sample_size: 4,
            look_at_all: 16,
            own_share_to_look_at_all: 0.1,
            silence_limit: Duration::from_secs(10),
            other_zone_penalty_ms: 4.0,
            prior_speeds: PriorSpeeds::default(),
            others_delay_weight: 1.0,
            admission_share: 0.9,
            shortest_retry_after: Duration::from_secs(1),
            longest_retry_after: Duration::from_secs(120),
            prefixes_remembered: 8_192,
        }
    }
}
