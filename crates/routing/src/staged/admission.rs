//! Whether a request is begun at all, and for how long an engine may keep it waiting.
//!
//! Above capacity every request that is begun delays all others. One that cannot be answered in time
//! is refused before any engine has worked on it, and one that was begun is not thrown away while it
//! keeps to what was expected: work thrown away is work done twice.

use std::time::Duration;

/// A request is begun if queues leave it this multiple of its objective.
const BEGUN_WITHIN_OBJECTIVES: f64 = 0.9;

/// Share of the time left that the expected time may take: expectations err.
const SHARE_OF_TIME_LEFT: f64 = 0.9;

/// Times that an engine may take against what was expected of it before it counts as failed.
const PATIENCE_FACTOR: f64 = 2.0;

/// Callers come back within this share of the time that they have left.
const RETURN_SHARE: f64 = 1.0 / 3.0;

/// Shortest time after which a caller is asked to come back.
const SHORTEST_RETURN: Duration = Duration::from_millis(50);

/// What a request still has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TimeBounds {
    /// Time until its final answer is due.
    pub left: Duration,
    /// Time within which its answer is to begin; zero where none is stated.
    pub objective: Duration,
}

/// What is expected of a request before it is begun.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LatencyEstimate {
    /// Seconds until its answer begins.
    pub total_s: f64,
    /// Those of them that go to work which is there before.
    pub queue_s: f64,
}

impl LatencyEstimate {
    /// The same behind a further queue of `queue_s` seconds.
    #[must_use]
    pub fn with_added_queue(self, queue_s: f64) -> Self {
        Self {
            total_s: self.total_s + queue_s,
            queue_s: self.queue_s + queue_s,
        }
    }
}

/// For how long a request's caller should stay away, if it cannot be answered in time; `None` if it
/// is to be begun.
///
/// Late is what comes after the objective because of queues. A request that takes longer by itself
/// is not to blame on the load, so it is refused only if the queues alone are as long.
pub fn rejection_retry_after(expected: LatencyEstimate, bounds: TimeBounds) -> Option<Duration> {
    let left_s = bounds.left.as_secs_f64();
    let objective_s = bounds.objective.as_secs_f64();
    let own_s = expected.total_s - expected.queue_s;
    let wanted_s = objective_s * BEGUN_WITHIN_OBJECTIVES;
    // Without a queue it is begun whatever is expected: only answers show that engines are faster.
    let is_hopeless = expected.queue_s > 0.0 && expected.total_s > left_s * SHARE_OF_TIME_LEFT;
    let allowed_s = if own_s <= wanted_s {
        wanted_s - own_s
    } else {
        wanted_s
    };
    let is_late = objective_s > 0.0 && expected.queue_s > allowed_s;
    if !is_hopeless && !is_late {
        return None;
    }
    let queue_s = (expected.total_s - objective_s).min(left_s * RETURN_SHARE);
    Some(Duration::from_secs_f64(queue_s.max(0.0)).max(SHORTEST_RETURN))
}

/// How long an engine may leave a call without an answer: `least`, or longer where longer was
/// expected when it was chosen.
pub fn response_timeout(expected_s: f64, least: Duration) -> Duration {
    let expected = Duration::try_from_secs_f64(expected_s * PATIENCE_FACTOR);
    expected.unwrap_or(Duration::MAX).max(least)
}
