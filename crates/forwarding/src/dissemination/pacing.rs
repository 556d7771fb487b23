//! How often messages go out.

use std::time::Duration;

use crate::node::settings::ForwardingSettings;

/// Shortest time between two reports of a member, and between two exchanges of relays that have
/// members. A table's way is a report, an exchange and the table: with these and what a member may
/// receive, the work that a member knows is 50 to 100 ms old on average.
pub(super) const REPORT_INTERVAL: Duration = Duration::from_millis(25);

/// Time between two exchanges of a relay for each other relay: it sends 680 messages a second at most,
/// whatever the number of relays, so that their cost at a relay stays and the age of the work grows
/// instead, to 50 ms at 36 relays.
const EXCHANGE_INTERVAL_PER_RELAY: Duration = Duration::from_micros(1_470);

/// Shortest time between two exchanges of a relay that has members.
pub(super) fn exchange_interval(other_relays: usize) -> Duration {
    let others = u32::try_from(other_relays).unwrap_or(u32::MAX);
    REPORT_INTERVAL.max(EXCHANGE_INTERVAL_PER_RELAY.saturating_mul(others))
}

/// Share of the node's link that messages may take.
pub(super) const MESSAGES_LINK_SHARE: f64 = 0.5;

/// Longest time between two messages: reports count for little longer.
pub(super) const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// Time until the next message may go out after so many bytes, so that messages take a bounded share
/// of the node's link: callers' requests go over the same link.
pub(super) fn pause(settings: &ForwardingSettings, sent_bytes: usize) -> Duration {
    let carried = settings.link_time(sent_bytes);
    carried
        .mul_f64(1.0 / MESSAGES_LINK_SHARE)
        .min(LONGEST_PAUSE)
}
