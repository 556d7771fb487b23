//! Checks whether a request can meet its deadlines, and ages priorities.

use std::time::Duration;

use dalestand_types::Priority;

use crate::config::RouterConfig;
use crate::request::{Deadlines, Expected};

/// Priority from which a request may use the full admission share of its deadline.
const FULL_SHARE_PRIORITY: u8 = 7;

/// Reduction of the admission share for each priority below, so that less important requests are refused first.
const SHARE_STEP: f64 = 0.03;

/// Waiting time that raises the priority by one.
const AGEING_STEP: Duration = Duration::from_secs(4);

/// The priority of a request after it has waited, raised over time so that no request starves.
pub fn aged_priority(priority: Priority, waited: Duration) -> Priority {
    let steps = waited.as_millis() / AGEING_STEP.as_millis();
    let steps = u8::try_from(steps).unwrap_or(u8::MAX);
    Priority(priority.0.saturating_add(steps))
}

/// Returns `None` if a request is expected to meet its deadlines, otherwise the retry delay for its caller: the time by
/// which the deadlines would be missed.
pub(crate) fn retry_after_if_unreachable(
    config: &RouterConfig,
    deadlines: &Deadlines,
    priority: Priority,
    expected: &Expected,
) -> Option<Duration> {
    let below = f64::from(FULL_SHARE_PRIORITY.saturating_sub(priority.0));
    let share = config.admission_share - below * SHARE_STEP;
    let excess = |expected: Duration, left: Option<Duration>| {
        let allowed = left?.mul_f64(share);
        (expected > allowed).then(|| expected - allowed)
    };
    let first = excess(expected.first_token, deadlines.first_token);
    let whole = excess(expected.whole, deadlines.whole);
    let longest = first.max(whole)?;
    Some(longest.clamp(config.shortest_retry_after, config.longest_retry_after))
}
