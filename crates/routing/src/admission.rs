//! Whether a request can still meet its deadline, and when its caller should come back.

use std::time::Duration;

use dalestand_types::Priority;

use crate::config::RouterConfig;
use crate::request::{Deadlines, Expected};

/// Priority from which a request may use the whole share of its deadline.
const FULL_SHARE_PRIORITY: u8 = 7;

/// Smaller share for each priority below, so that what matters less is refused first.
const SHARE_STEP: f64 = 0.03;

/// Waiting time after which a request counts as one priority higher.
const AGEING_STEP: Duration = Duration::from_secs(4);

/// The priority of a request that has waited so long: none waits for ever behind more important
/// ones.
pub fn aged_priority(priority: Priority, waited: Duration) -> Priority {
    let steps = waited.as_millis() / AGEING_STEP.as_millis();
    let steps = u8::try_from(steps).unwrap_or(u8::MAX);
    Priority(priority.0.saturating_add(steps))
}

/// Yields `None` if a request is expected to meet its deadlines, and else how long its caller
/// should stay away: the time by which the queues ahead are too long.
pub(crate) fn wait_if_unreachable(
    config: &RouterConfig,
    deadlines: &Deadlines,
    priority: Priority,
    expected: &Expected,
) -> Option<Duration> {
    let below = f64::from(FULL_SHARE_PRIORITY.saturating_sub(priority.0));
    let share = config.admission_share - below * SHARE_STEP;
    let late = |expected: Duration, left: Option<Duration>| {
        let allowed = left?.mul_f64(share);
        (expected > allowed).then(|| expected - allowed)
    };
    let first = late(expected.first_token, deadlines.first_token);
    let whole = late(expected.whole, deadlines.whole);
    let over = first.max(whole)?;
    Some(over.clamp(config.shortest_retry_after, config.longest_retry_after))
}
