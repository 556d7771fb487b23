//! Load shedding before a request is sent, and the response timeout after it was sent.
//!
//! Under overload, every request sent to an engine delays all others there. A request that cannot be answered
//! in time is refused before any engine works on it. A request that was sent is not cancelled while it takes no
//! longer than estimated, because its work would have to be repeated.

use std::time::Duration;

/// Share of the objective within which a response must be expected to start.
const OBJECTIVE_SHARE: f64 = 0.9;

/// Share of the remaining time that the estimated latency may take; a margin for estimation errors.
const REMAINING_TIME_SHARE: f64 = 0.9;

/// Response timeout as a multiple of the estimated latency.
const RESPONSE_TIMEOUT_FACTOR: f64 = 2.0;

/// Maximum retry delay as a share of the request's remaining time.
const RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

/// Minimum retry delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(50);

/// Time limits of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// Remaining time until the deadline for the whole response.
    pub left: Duration,
    /// Time within which the response should start; zero if no objective is set.
    pub objective: Duration,
}

/// Estimated latency of a request before it is sent.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyEstimate {
    /// Seconds until the response starts.
    pub total_s: f64,
    /// The share of `total_s` spent waiting for work queued before the request, in seconds.
    pub queue_s: f64,
}

impl LatencyEstimate {
    /// Adds a queueing delay of `queue_s` seconds.
    #[must_use]
    pub fn with_added_queue(self, queue_s: f64) -> Self {
        Self {
            total_s: self.total_s + queue_s,
            queue_s: self.queue_s + queue_s,
        }
    }
}

/// The retry delay for the caller if the request is to be refused; `None` if it is to be sent.
///
/// A request is refused if queueing makes it miss its objective. One that would miss it even without queueing is
/// refused only if the queueing time alone reaches the objective, because load is not the cause of its latency.
pub fn rejection_retry_after(expected: LatencyEstimate, bounds: TimeBounds) -> Option<Duration> {
    let left_s = bounds.left.as_secs_f64();
    let objective_s = bounds.objective.as_secs_f64();
    let own_s = expected.total_s - expected.queue_s;
    let target_s = objective_s * OBJECTIVE_SHARE;
    // Without a queue it is always sent: only responses can correct an estimate that is too high.
    let misses_deadline =
        expected.queue_s > 0.0 && expected.total_s > left_s * REMAINING_TIME_SHARE;
    let allowed_queue_s = if own_s <= target_s {
        target_s - own_s
    } else {
        target_s
    };
    let misses_objective = objective_s > 0.0 && expected.queue_s > allowed_queue_s;
    if !misses_deadline && !misses_objective {
        return None;
    }
    let excess_s = (expected.total_s - objective_s).min(left_s * RETRY_AFTER_SHARE);
    Some(Duration::from_secs_f64(excess_s.max(0.0)).max(MIN_RETRY_AFTER))
}

/// How long to wait for an engine's response: a multiple of the estimated latency, but at least `min`.
pub fn response_timeout(expected_s: f64, min: Duration) -> Duration {
    let expected = Duration::try_from_secs_f64(expected_s * RESPONSE_TIMEOUT_FACTOR);
    expected.unwrap_or(Duration::MAX).max(min)
}
